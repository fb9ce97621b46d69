package member

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// five makes a cluster of five daemons that know each other: "a" and "b" in "x", "c" and "d"
// in "y", "e" in "z".
func five(self string) *Cluster {
	all := map[string]string{"a": "x", "b": "x", "c": "y", "d": "y", "e": "z"}
	c := New(member(self, all[self], 1), t0)
	for name, place := range all {
		c.Heard(at(10), member(name, place, 1), Status{})
	}
	return c
}

// spares lists who takes itself for the spare beside a leader, if all learn what one does.
func spares(leader string, learn func(*Cluster)) []string {
	var out []string
	for _, self := range []string{"a", "b", "c", "d", "e"} {
		c := five(self)
		learn(c)
		if c.IsSpare(at(10.1), leader) {
			out = append(out, self)
		}
	}
	return out
}

// Guards against servers that get requests for seconds after they left, since the platform refuses the only reader.
func TestSpareReader(t *testing.T) {
	nothing := func(*Cluster) {}
	fails := func(names ...string) func(*Cluster) {
		return func(c *Cluster) {
			for _, name := range names {
				if name == c.Self().Name {
					c.StoreFailed(at(10))
					continue
				}
				p := *c.peers[name]
				c.Heard(at(10), p.Member, Status{Failed: at(10)})
			}
		}
	}
	Convey("One daemon reads beside the leader, of another data centre", t, func() {
		So(spares("a", nothing), ShouldResemble, []string{"c"})
		So(spares("c", nothing), ShouldResemble, []string{"a"})
		So(spares("", nothing), ShouldBeEmpty)
	})
	Convey("The next takes its place when the platform fails it, or it is lost", t, func() {
		So(spares("a", fails("c")), ShouldResemble, []string{"d"})
		So(spares("a", fails("c", "d")), ShouldResemble, []string{"e"})
		So(spares("a", func(c *Cluster) { c.Refused("c:1") }), ShouldResemble, []string{"c", "d"}) // "c" itself cannot know
		So(spares("a", fails("c", "d", "e")), ShouldResemble, []string{"b"})
	})
	Convey("It may be the spare again once the platform has answered it, or after a while", t, func() {
		c := five("c")
		c.StoreFailed(at(10))
		So(c.IsSpare(at(10.1), "a"), ShouldBeFalse)
		c.Stored(at(10.2))
		So(c.IsSpare(at(10.3), "a"), ShouldBeTrue)
		c.StoreFailed(at(10.4))
		So(c.IsSpare(at(10.4).Add(failedFor), "a"), ShouldBeTrue)
	})
}

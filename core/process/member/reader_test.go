package member

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// newFiveDaemonCluster returns the cluster of one of five daemons that know each other: "a" and
// "b" in data centre "x", "c" and "d" in "y", "e" in "z".
func newFiveDaemonCluster(self string) *Cluster {
	dataCentres := map[string]string{"a": "x", "b": "x", "c": "y", "d": "y", "e": "z"}
	c := New(newMember(self, dataCentres[self], 1), t0)
	for name, dataCentre := range dataCentres {
		c.RecordGossip(at(10), newMember(name, dataCentre, 1), Status{})
	}
	return c
}

// standbyReaders returns the daemons that consider themselves the standby reader for a leader,
// after learn has been applied to the cluster of each.
func standbyReaders(leader string, learn func(*Cluster)) []string {
	var out []string
	for _, self := range []string{"a", "b", "c", "d", "e"} {
		c := newFiveDaemonCluster(self)
		learn(c)
		if c.IsStandbyReader(at(10.1), leader) {
			out = append(out, self)
		}
	}
	return out
}

// Guards against requests that are sent to draining servers for seconds because the store
// refuses the only daemon that reads it.
func TestStandbyReader(t *testing.T) {
	noFailure := func(*Cluster) {}
	storeFails := func(names ...string) func(*Cluster) {
		return func(c *Cluster) {
			for _, name := range names {
				if name == c.Self().Name {
					c.RecordStoreFailure(at(10))
					continue
				}
				p := *c.peers[name]
				c.RecordGossip(at(10), p.Member, Status{LastStoreFailure: at(10)})
			}
		}
	}
	Convey("One daemon of another data centre reads in addition to the leader", t, func() {
		So(standbyReaders("a", noFailure), ShouldResemble, []string{"c"})
		So(standbyReaders("c", noFailure), ShouldResemble, []string{"a"})
		So(standbyReaders("", noFailure), ShouldBeEmpty)
	})
	Convey("The next daemon replaces the standby reader when that one's calls to the store fail or it is lost", t, func() {
		So(standbyReaders("a", storeFails("c")), ShouldResemble, []string{"d"})
		So(standbyReaders("a", storeFails("c", "d")), ShouldResemble, []string{"e"})
		So(standbyReaders("a", func(c *Cluster) { c.RecordRefused("c:1") }), ShouldResemble, []string{"c", "d"}) // "c" itself cannot know
		So(standbyReaders("a", storeFails("c", "d", "e")), ShouldResemble, []string{"b"})
	})
	Convey("A daemon may be the standby reader again once the store has responded to it, or after the backoff", t, func() {
		c := newFiveDaemonCluster("c")
		c.RecordStoreFailure(at(10))
		So(c.IsStandbyReader(at(10.1), "a"), ShouldBeFalse)
		c.RecordStoreResponse(at(10.2))
		So(c.IsStandbyReader(at(10.3), "a"), ShouldBeTrue)
		c.RecordStoreFailure(at(10.4))
		So(c.IsStandbyReader(at(10.4).Add(storeFailureBackoff), "a"), ShouldBeTrue)
	})
}

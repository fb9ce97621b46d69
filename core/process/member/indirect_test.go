package member

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against calls through a daemon that cannot help, and against repeated calls through the same one.
func TestReleasePeer(t *testing.T) {
	peers := func(c *Cluster, dataCentre string, tries int) (out []string) {
		for try := 1; try <= tries; try++ {
			out = append(out, c.ReleasePeer(at(10), dataCentre, "s1", try))
		}
		return out
	}
	newCluster := func() *Cluster {
		c := newTestCluster()
		c.RecordGossip(at(10), newMember("d", "y", 1), Status{})
		c.RecordGossip(at(10), newMember("e", "y", 1), Status{})
		return c
	}
	Convey("Consecutive tries go through different daemons of the data centre", t, func() {
		tries := peers(newCluster(), "y", 4)
		So(tries[0], ShouldNotEqual, tries[1])
		So(tries[:3], ShouldContain, "c:1")
		So(tries[:3], ShouldContain, "d:1")
		So(tries[:3], ShouldContain, "e:1")
		So(tries[3], ShouldEqual, tries[0])
		So(peers(newCluster(), "x", 2), ShouldResemble, []string{"a:1", "a:1"}) // "b" is this daemon
	})
	Convey("Different servers begin with different daemons", t, func() {
		c, first := newCluster(), map[string]bool{}
		for _, server := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
			first[c.ReleasePeer(at(10), "y", server, 1)] = true
		}
		So(first, ShouldHaveLength, 3)
	})
	Convey("Daemons that have gone, leave or reach no servers themselves are left out", t, func() {
		c := newCluster()
		c.RecordRefused("c:1")
		c.RecordGossip(at(10), newMember("d", "y", 1), Status{CutOff: true})
		So(peers(c, "y", 2), ShouldResemble, []string{"e:1", "e:1"})
		c.RecordGossip(at(10), newMember("e", "y", 1), Status{Leaving: true})
		So(peers(c, "y", 2), ShouldResemble, []string{"a:1", "a:1"}) // nobody there: any data centre
	})
	Convey("Daemons with recent contact come before those known from the store only", t, func() {
		c := newCluster()
		c.AddDiscovered(newMember("f", "y", 1))
		tries := peers(c, "y", 4)
		So(tries[:3], ShouldNotContain, "f:1")
		So(tries[3], ShouldEqual, "f:1")
	})
	Convey("If the data centre is unknown all take turns, and there may be none", t, func() {
		So(peers(newCluster(), "", 4), ShouldContain, "a:1")
		So(New(newMember("b", "x", 1), t0).ReleasePeer(at(10), "x", "s1", 1), ShouldEqual, "")
	})
}

package member

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// newLargeCluster returns the cluster of daemon "d05" in a data centre of twenty daemons, of which
// "d07" and "d11" run on strong hosts. A second data centre has three daemons.
func newLargeCluster() *Cluster {
	self := newMember("d05", "x", 1)
	c := New(self, t0)
	for i := range 20 {
		m := newMember(fmt.Sprintf("d%02d", i), "x", 1)
		if i == 7 || i == 11 {
			m.CPUCapacity = 0.8
		}
		c.AddDiscovered(m)
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		c.AddDiscovered(newMember(name, "y", 1))
	}
	return c
}

// Guards against gossip between all pairs of daemons, which grows with the square of their number.
func TestRelays(t *testing.T) {
	Convey("The strongest daemons are relays, and the next ones replace them while they are lost", t, func() {
		c := newLargeCluster()
		So(c.LocalRelays(at(1)), ShouldResemble, []string{"d07:1", "d11:1"})
		So(c.IsRelay(at(1)), ShouldBeFalse)
		So(c.RemoteRelays(at(1)), ShouldResemble, []string{"e1:1", "e2:1"})
		c.RecordRefused("d07:1")
		So(c.LocalRelays(at(1)), ShouldResemble, []string{"d00:1", "d11:1"})
		c.RecordGossip(at(2), newMember("d07", "x", 1), Status{})
		So(c.LocalRelays(at(2)), ShouldResemble, []string{"d00:1", "d11:1"}) // its gossip reports a weak host
	})
	Convey("A daemon that did not answer is a relay again after the backoff", t, func() {
		c := newLargeCluster()
		c.RecordUnanswered(at(1), "d11:1")
		So(c.LocalRelays(at(1.1)), ShouldResemble, []string{"d00:1", "d07:1"})
		So(c.LocalRelays(at(1).Add(unansweredBackoff)), ShouldResemble, []string{"d07:1", "d11:1"})
	})
	Convey("A daemon is its own relay when all others are lost", t, func() {
		c := newLargeCluster()
		for i := range 20 {
			c.RecordRefused(fmt.Sprintf("d%02d:1", i))
		}
		So(c.IsRelay(at(1)), ShouldBeTrue)
		So(c.LocalRelays(at(1)), ShouldBeEmpty)
	})
	Convey("Of two relays of different data centres one calls the other", t, func() {
		c := newLargeCluster()
		So(c.RemoteRelaysAfterSelf(at(1)), ShouldResemble, []string{"e1:1", "e2:1"})
		remote := New(newMember("e1", "y", 1), t0)
		remote.AddDiscovered(newMember("d05", "x", 1))
		So(remote.RemoteRelaysAfterSelf(at(1)), ShouldBeEmpty)
		So(remote.RemoteRelays(at(1)), ShouldResemble, []string{"d05:1"})
	})
	Convey("The gossip interval grows with the number of daemons, so that a relay's message rate does not", t, func() {
		c := newLargeCluster()
		So(c.GossipInterval(), ShouldEqual, 20*gossipIntervalPerDaemon)
		So(New(newMember("a", "x", 1), t0).GossipInterval(), ShouldEqual, minGossipInterval)
	})
}

// Guards against daemons taking the leader for lost because they hear of it through relays only.
func TestRecordIndirectContact(t *testing.T) {
	Convey("A relay's report of the leader counts from the relay's own contact", t, func() {
		c := newTestCluster()
		c.RecordIndirectContact("c", 1, at(11))
		So(c.LastHeard("c"), ShouldEqual, at(11))
		c.RecordIndirectContact("c", 2, at(12))
		c.RecordIndirectContact("c", 1, at(10.5))
		So(c.LastHeard("c"), ShouldEqual, at(11))
	})
}

// Guards against daemons reading the store although their relays are about to update them.
func TestNonRelaysReadLater(t *testing.T) {
	Convey("Relays refresh a stale copy first, other daemons some rounds of gossip later", t, func() {
		c := newLargeCluster()
		currentAt := at(10)
		So(c.ShouldRead(currentAt.Add(staleAfter+rankDelay), currentAt, false), ShouldBeFalse)
		So(c.ShouldRead(currentAt.Add(staleAfter+nonRelayRounds*c.GossipInterval()+20*rankDelay+time.Millisecond), currentAt, false), ShouldBeTrue)
	})
}

// Guards against daemons choosing different issuers of permits, or lost ones: issuers are chosen
// among the reachable daemons.
func TestReachableAddresses(t *testing.T) {
	Convey("All daemons that are not known to be unreachable are listed, this one too", t, func() {
		c := newTestCluster()
		addresses := c.ReachableAddresses(at(1))
		So(addresses[c.Self().DataCentre], ShouldContain, c.Self().Address)
		unanswered := ""
		for _, list := range addresses {
			for _, address := range list {
				if address != c.Self().Address {
					unanswered = address
				}
			}
		}
		c.RecordUnanswered(at(1), unanswered)
		for _, list := range c.ReachableAddresses(at(1.1)) {
			So(list, ShouldNotContain, unanswered)
		}
	})
}

// Guards against daemons that choose different pools for the allowances once the leader is lost.
func TestSuccessor(t *testing.T) {
	Convey("It is the first relay of all data centres but the leader, on the strongest host that answers", t, func() {
		c := New(Member{Name: "d", Address: "d", DataCentre: "x", CPUCapacity: 1}, t0)
		for _, m := range []Member{{Name: "a", Address: "a", DataCentre: "y", CPUCapacity: 2}, {Name: "b", Address: "b", DataCentre: "z", CPUCapacity: 2}, {Name: "e", Address: "e", DataCentre: "x", CPUCapacity: 1}} {
			c.RecordGossip(t0, m, Status{})
		}
		So(c.Successor(t0, ""), ShouldEqual, "a")
		So(c.Successor(t0, "a"), ShouldEqual, "b")
		c.RecordRefused("b")
		So(c.Successor(t0, "a"), ShouldEqual, "d")
		So(c.LocalRelay(t0), ShouldEqual, "d")
	})
	Convey("A daemon alone has no other", t, func() {
		So(New(Member{Name: "d", Address: "d"}, t0).Successor(t0, "d"), ShouldEqual, "")
	})
}

// Guards against shares that add up to more than everything, since each part of a partition forgets the others.
func TestShareCount(t *testing.T) {
	Convey("A daemon that was forgotten counts for minutes, or once it is back", t, func() {
		c := New(Member{Name: "d", Address: "d", DataCentre: "x"}, t0)
		e := Member{Name: "e", Address: "e", DataCentre: "x"}
		c.RecordGossip(t0, e, Status{})
		c.RecordUnanswered(t0, "e")
		later := t0.Add(forgetAfter + time.Second)
		c.AllPeers(later)
		So(c.Count(), ShouldEqual, 1)
		So(c.ShareCount(later), ShouldEqual, 2)
		c.RecordGossip(later, e, Status{})
		So(c.ShareCount(later), ShouldEqual, 2)
		c.RecordUnanswered(later, "e")
		c.AllPeers(later.Add(forgetAfter + time.Second))
		So(c.ShareCount(later.Add(shareRetention)), ShouldEqual, 1)
	})
}

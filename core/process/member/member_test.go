package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

var t0 = time.Unix(1000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func newMember(name, dataCentre string, incarnation uint64) Member {
	return Member{Name: name, Address: name + ":1", DataCentre: dataCentre, Incarnation: incarnation}
}

// newTestCluster returns the cluster of daemon "b", which has just got gossip from "a" in its own
// data centre and "c" in another one.
func newTestCluster() *Cluster {
	c := New(newMember("b", "x", 1), t0)
	c.RecordStoreResponse(at(9.9))
	c.RecordGossip(at(10), newMember("a", "x", 1), Status{LastStoreResponse: at(9.9)})
	c.RecordGossip(at(10), newMember("c", "y", 1), Status{LastStoreResponse: at(9.9)})
	return c
}

func TestShouldTakeLead(t *testing.T) {
	triesToLead := func(c *Cluster, now time.Time, l grant.Leader) bool {
		c.RecordStoreResponse(now.Add(-100 * time.Millisecond))
		try, _ := c.ShouldTakeLead(now, l)
		return try
	}
	Convey("A leader with recent gossip keeps the lead, a silent one is replaced", t, func() {
		c := newTestCluster()
		l := grant.Leader{Daemon: "c", Incarnation: 1}
		So(triesToLead(c, at(10.5), l), ShouldBeFalse)
		So(triesToLead(c, at(11.6), l), ShouldBeTrue)
	})
	Convey("Candidates wait in the order of their names; the first live one does not wait", t, func() {
		c := newTestCluster()
		l := grant.Leader{Daemon: "c", Incarnation: 1}
		c.RecordRefused("c:1")
		So(triesToLead(c, at(10.1), l), ShouldBeFalse) // "a" is alive and ranks first
		So(triesToLead(c, at(10.3), l), ShouldBeTrue)
	})
	Convey("A new leader that has sent no gossip yet is given the silence timeout", t, func() {
		c := New(newMember("b", "x", 1), t0)
		So(triesToLead(c, at(60), grant.Leader{Daemon: "new", Incarnation: 1}), ShouldBeFalse)
		So(triesToLead(c, at(61.6), grant.Leader{Daemon: "new", Incarnation: 1}), ShouldBeTrue)
	})
	Convey("A newer incarnation of the leader proves that the old one has ended", t, func() {
		c := newTestCluster()
		c.RecordGossip(at(10.2), newMember("c", "y", 2), Status{})
		_, ended := c.ShouldTakeLead(at(10.2), grant.Leader{Daemon: "c", Incarnation: 1})
		So(ended, ShouldBeTrue)
	})
	Convey("A daemon to which the store does not respond never tries", t, func() {
		c := newTestCluster()
		try, _ := c.ShouldTakeLead(at(20), grant.Leader{Daemon: "c", Incarnation: 1})
		So(try, ShouldBeFalse)
	})
}

// Guards against a daemon that all others take for the leader, and which does not lead: its claim was stored
// and the response lost. All grants would run out.
func TestOwnClaimWithoutResponse(t *testing.T) {
	own := grant.Leader{Daemon: "b", Incarnation: 1}
	Convey("It claims the lead again at once", t, func() {
		c := newTestCluster() // in which "a" ranks first
		c.RecordStoreResponse(at(10))
		try, ended := c.ShouldTakeLead(at(10.1), own)
		So(try, ShouldBeTrue)
		So(ended, ShouldBeTrue)
	})
	Convey("but not while the store does not respond to it, or its host reaches no servers", t, func() {
		c := newTestCluster()
		try, _ := c.ShouldTakeLead(at(20), own)
		So(try, ShouldBeFalse)
		c.RecordStoreResponse(at(10))
		c.SetCutOff(true)
		try, _ = c.ShouldTakeLead(at(10.1), own)
		So(try, ShouldBeFalse)
	})
}

// Guards against treating a refused connection as proof that a leader has ended. A firewall may
// reject connections from one daemon while the leader runs and others reach it.
func TestRefusedConnectionDoesNotProveEnd(t *testing.T) {
	Convey("A leader that refuses connections is lost, but not known to have stopped", t, func() {
		c := newTestCluster()
		l := grant.Leader{Daemon: "c", Incarnation: 1}
		c.RecordRefused("c:1")
		_, ended := c.ShouldTakeLead(at(10.2), l)
		So(ended, ShouldBeFalse)
		So(c.HasSteppedDown(l, 5), ShouldBeFalse)
		c.RecordGossip(at(12), newMember("c", "y", 1), Status{Epoch: 5})
		So(c.HasSteppedDown(l, 5), ShouldBeTrue)
	})
}

// Guards against a leader that keeps the lead while it is the only daemon that the store refuses.
func TestShouldStepDown(t *testing.T) {
	Convey("A leader steps down when the store responds to other daemons but not to it", t, func() {
		c := newTestCluster()
		So(c.ShouldStepDown(at(10)), ShouldBeFalse)
		c.RecordGossip(at(11.4), newMember("a", "x", 1), Status{LastStoreResponse: at(11.3)})
		So(c.ShouldStepDown(at(11.5)), ShouldBeTrue)
	})
	Convey("A leader keeps the lead when the store responds to no daemon", t, func() {
		c := newTestCluster()
		c.RecordGossip(at(11.4), newMember("a", "x", 1), Status{LastStoreResponse: at(9.9)})
		So(c.ShouldStepDown(at(11.5)), ShouldBeFalse)
	})
}

func TestShouldRead(t *testing.T) {
	Convey("Only the leader reads while the copies are fresh; stale ones are refreshed by one daemon of each data centre", t, func() {
		c := newTestCluster()
		So(c.ShouldRead(at(10), at(9.5), false), ShouldBeFalse)
		So(c.ShouldRead(at(10), at(9.5), true), ShouldBeTrue)
		So(c.ShouldRead(at(11), at(9.35), false), ShouldBeFalse) // "a" ranks first in this data centre
		So(c.ShouldRead(at(11), at(9.2), false), ShouldBeTrue)
	})
	Convey("Delayed gossip of an earlier incarnation changes nothing", t, func() {
		c := newTestCluster()
		c.RecordGossip(at(10.1), newMember("a", "x", 2), Status{Epoch: 4})
		c.RecordGossip(at(10.2), newMember("a", "x", 1), Status{Leaving: true})
		So(c.Count(), ShouldEqual, 3)
		So(slices.Sorted(slices.Values(c.PeerNames())), ShouldResemble, []string{"a", "c"})
		So(c.peers["a"].Leaving, ShouldBeFalse)
	})
}

// Guards against hundreds of daemons retrying the store throughout an outage.
func TestFewDaemonsRetryStore(t *testing.T) {
	const outage, pause, daemons = 8 * time.Second, 600 * time.Millisecond, 32
	Convey("During an outage a data centre makes only a few times the calls of one daemon", t, func() {
		calls := 0
		for i := range daemons {
			c := New(newMember(fmt.Sprintf("d%02d", i), "x", 1), t0)
			for j := range daemons {
				c.RecordGossip(at(9), newMember(fmt.Sprintf("d%02d", j), "x", 1), Status{})
			}
			So(c.LocalRank(at(9.1)), ShouldEqual, i)
			calls += int(outage/RetryDelay(c.LocalRank(at(9.1)), pause)) + 1
		}
		alone := int(outage/pause) + 1
		So(calls, ShouldBeLessThan, daemons*alone/3)
	})
	Convey("A daemon ranks first when those before it are lost", t, func() {
		c := New(newMember("d2", "x", 1), t0)
		c.RecordGossip(at(9), newMember("d1", "x", 1), Status{})
		c.RecordRefused("d1:1")
		So(RetryDelay(c.LocalRank(at(9.1)), pause), ShouldEqual, pause)
	})
}

// Guards against a leader on a weak host, whose reads of the store stall while servers drain.
func TestStrongHostTakesLead(t *testing.T) {
	memberWithCapacity := func(name, dataCentre string, capacity float64) Member {
		m := newMember(name, dataCentre, 1)
		m.CPUCapacity = capacity
		return m
	}
	clusterWithWeakLeader := func(self Member, lastStoreResponse time.Time) *Cluster {
		c := New(self, t0)
		c.RecordStoreResponse(lastStoreResponse)
		c.RecordGossip(at(10), memberWithCapacity("weak", "y", 0.2), Status{LastStoreResponse: at(10)})
		return c
	}
	l := grant.Leader{Daemon: "weak", Incarnation: 1}
	triesToLead := func(c *Cluster, now time.Time) bool {
		try, ended := c.ShouldTakeLead(now, l)
		So(ended, ShouldBeFalse)
		return try
	}
	Convey("A daemon on a much stronger host takes over if the store responds to it", t, func() {
		c := clusterWithWeakLeader(memberWithCapacity("b", "x", 0.8), at(9.9))
		So(triesToLead(c, at(10.1)), ShouldBeTrue)
		So(triesToLead(clusterWithWeakLeader(memberWithCapacity("b", "x", 0.8), at(8)), at(10.1)), ShouldBeFalse)
		Convey("and reads the store to find that out", func() {
			So(c.ShouldRead(at(10.1), at(10), false), ShouldBeTrue)
		})
		Convey("but does not read once the leader has been silent for the timeout", func() {
			So(c.ShouldRead(at(10).Add(silenceTimeout), at(10).Add(silenceTimeout), false), ShouldBeFalse)
		})
	})
	Convey("A daemon on a host that is only a little stronger, or of unknown capacity, does not take over", t, func() {
		for _, capacity := range []float64{0, 0.2, 0.3} {
			c := clusterWithWeakLeader(memberWithCapacity("b", "x", capacity), at(9.9))
			So(triesToLead(c, at(10.1)), ShouldBeFalse)
			So(c.ShouldRead(at(10.1), at(10), false), ShouldBeFalse)
		}
	})
	Convey("Of several daemons on much stronger hosts, only the relays take over, in the order of their rank", t, func() {
		c := clusterWithWeakLeader(memberWithCapacity("c", "x", 0.8), at(9.9))
		c.RecordGossip(at(10), memberWithCapacity("a", "x", 0.8), Status{LastStoreResponse: at(10)})
		So(triesToLead(c, at(10.1)), ShouldBeFalse)
		So(triesToLead(c, at(10.1).Add(rankDelay)), ShouldBeTrue)
		c.RecordGossip(at(10.1), memberWithCapacity("b", "x", 0.8), Status{LastStoreResponse: at(10)})
		So(c.ShouldRead(at(10.2), at(10.2), false), ShouldBeFalse)
	})
}

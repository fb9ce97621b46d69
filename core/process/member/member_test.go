package member

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

var t0 = time.Unix(1000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func member(name, place string, life uint64) Member {
	return Member{Name: name, Address: name + ":1", DataCentre: place, Incarnation: life}
}

// heard makes a cluster of daemon "b" that has just heard of "a" and "c".
func heard() *Cluster {
	c := New(member("b", "x", 1), t0)
	c.Stored(at(9.9))
	c.Heard(at(10), member("a", "x", 1), Status{Stored: at(9.9)})
	c.Heard(at(10), member("c", "y", 1), Status{Stored: at(9.9)})
	return c
}

func TestMayLead(t *testing.T) {
	lead := func(c *Cluster, now time.Time, l grant.Leader) bool {
		c.Stored(now.Add(-100 * time.Millisecond))
		try, _ := c.MayLead(now, l)
		return try
	}
	Convey("A leader whose word is fresh is left alone, a silent one replaced", t, func() {
		c := heard()
		l := grant.Leader{Daemon: "c", Incarnation: 1}
		So(lead(c, at(10.5), l), ShouldBeFalse)
		So(lead(c, at(11.6), l), ShouldBeTrue)
	})
	Convey("Daemons take turns by name, the first living one at once", t, func() {
		c := heard()
		l := grant.Leader{Daemon: "c", Incarnation: 1}
		c.Refused("c:1")
		So(lead(c, at(10.1), l), ShouldBeFalse) // "a" lives and comes first
		So(lead(c, at(10.3), l), ShouldBeTrue)
	})
	Convey("A leader that has just come up, and was not heard of yet, is not missed at once", t, func() {
		c := New(member("b", "x", 1), t0)
		So(lead(c, at(60), grant.Leader{Daemon: "new", Incarnation: 1}), ShouldBeFalse)
		So(lead(c, at(61.6), grant.Leader{Daemon: "new", Incarnation: 1}), ShouldBeTrue)
	})
	Convey("A restarted leader's new life proves the end of the old", t, func() {
		c := heard()
		c.Heard(at(10.2), member("c", "y", 2), Status{})
		_, ended := c.MayLead(at(10.2), grant.Leader{Daemon: "c", Incarnation: 1})
		So(ended, ShouldBeTrue)
	})
	Convey("A daemon that the platform does not answer never tries", t, func() {
		c := heard()
		try, _ := c.MayLead(at(20), grant.Leader{Daemon: "c", Incarnation: 1})
		So(try, ShouldBeFalse)
	})
}

// Guards against a refused connection being taken for the end of a leader.
func TestRefusalProvesNothing(t *testing.T) {
	Convey("A refused leader is missed, but not known to have stopped", t, func() {
		c := heard()
		l := grant.Leader{Daemon: "c", Incarnation: 1}
		c.Refused("c:1")
		_, ended := c.MayLead(at(10.2), l)
		So(ended, ShouldBeFalse)
		So(c.GaveWay(l, 5), ShouldBeFalse)
		c.Heard(at(12), member("c", "y", 1), Status{Epoch: 5})
		So(c.GaveWay(l, 5), ShouldBeTrue)
	})
}

// Guards against a leader that leads on while the platform refuses it alone.
func TestGivesWay(t *testing.T) {
	Convey("A leader gives way when the platform answers others only", t, func() {
		c := heard()
		So(c.GivesWay(at(10)), ShouldBeFalse)
		c.Heard(at(11.4), member("a", "x", 1), Status{Stored: at(11.3)})
		So(c.GivesWay(at(11.5)), ShouldBeTrue)
	})
	Convey("It stays when the platform answers nobody", t, func() {
		c := heard()
		c.Heard(at(11.4), member("a", "x", 1), Status{Stored: at(9.9)})
		So(c.GivesWay(at(11.5)), ShouldBeFalse)
	})
}

func TestReads(t *testing.T) {
	Convey("Only the leader reads while its news is fresh; old news is read by one of each data centre", t, func() {
		c := heard()
		So(c.Reads(at(10), at(9.5), false), ShouldBeFalse)
		So(c.Reads(at(10), at(9.5), true), ShouldBeTrue)
		So(c.Reads(at(11), at(9.35), false), ShouldBeFalse) // "a" comes first here
		So(c.Reads(at(11), at(9.2), false), ShouldBeTrue)
	})
	Convey("A delayed word of an ended life changes nothing", t, func() {
		c := heard()
		c.Heard(at(10.1), member("a", "x", 2), Status{Epoch: 4})
		c.Heard(at(10.2), member("a", "x", 1), Status{Leaving: true})
		So(c.Count(), ShouldEqual, 3)
		So(c.Index(), ShouldEqual, 1)
		So(c.peers["a"].Leaving, ShouldBeFalse)
	})
}

// Guards against hundreds of daemons that call the platform again and again while it is away.
func TestFewDaemonsRetryThePlatform(t *testing.T) {
	const outage, pause, daemons = 8 * time.Second, 600 * time.Millisecond, 32
	Convey("In an outage a data centre makes a few times the calls of one daemon", t, func() {
		calls := 0
		for i := range daemons {
			c := New(member(fmt.Sprintf("d%02d", i), "x", 1), t0)
			for j := range daemons {
				c.Heard(at(9), member(fmt.Sprintf("d%02d", j), "x", 1), Status{})
			}
			So(c.Turn(at(9.1)), ShouldEqual, i)
			calls += int(outage/RetryPause(c.Turn(at(9.1)), pause)) + 1
		}
		alone := int(outage/pause) + 1
		So(calls, ShouldBeLessThan, daemons*alone/3)
	})
	Convey("When those before it are lost a daemon comes first", t, func() {
		c := New(member("d2", "x", 1), t0)
		c.Heard(at(9), member("d1", "x", 1), Status{})
		c.Refused("d1:1")
		So(RetryPause(c.Turn(at(9.1)), pause), ShouldEqual, pause)
	})
}

// Guards against a leader on a weak host, whose reading of the platform stands still while servers leave.
func TestStrongHostsLead(t *testing.T) {
	strong := func(name, place string, strength float64) Member {
		m := member(name, place, 1)
		m.Strength = strength
		return m
	}
	weakLeads := func(self Member, stored time.Time) *Cluster {
		c := New(self, t0)
		c.Stored(stored)
		c.Heard(at(10), strong("weak", "y", 0.2), Status{Stored: at(10)})
		return c
	}
	l := grant.Leader{Daemon: "weak", Incarnation: 1}
	leads := func(c *Cluster, now time.Time) bool {
		try, ended := c.MayLead(now, l)
		So(ended, ShouldBeFalse)
		return try
	}
	Convey("A daemon of a much stronger host takes over while the platform answers it", t, func() {
		c := weakLeads(strong("b", "x", 0.8), at(9.9))
		So(leads(c, at(10.1)), ShouldBeTrue)
		So(leads(weakLeads(strong("b", "x", 0.8), at(8)), at(10.1)), ShouldBeFalse)
		Convey("and reads to find that out", func() {
			So(c.Reads(at(10.1), at(10), false), ShouldBeTrue)
		})
		Convey("but not from a leader that was not heard lately, before that counts as lost", func() {
			So(c.Reads(at(10).Add(silentAfter), at(10).Add(silentAfter), false), ShouldBeFalse)
		})
	})
	Convey("One of a host that is hardly stronger, or unknown, does not", t, func() {
		for _, strength := range []float64{0, 0.2, 0.3} {
			c := weakLeads(strong("b", "x", strength), at(9.9))
			So(leads(c, at(10.1)), ShouldBeFalse)
			So(c.Reads(at(10.1), at(10), false), ShouldBeFalse)
		}
	})
	Convey("Of several the first relays do", t, func() {
		c := weakLeads(strong("c", "x", 0.8), at(9.9))
		c.Heard(at(10), strong("a", "x", 0.8), Status{Stored: at(10)})
		So(leads(c, at(10.1)), ShouldBeFalse)
		So(leads(c, at(10.1).Add(rankStep)), ShouldBeTrue)
		c.Heard(at(10.1), strong("b", "x", 0.8), Status{Stored: at(10)})
		So(c.Reads(at(10.2), at(10.2), false), ShouldBeFalse)
	})
}

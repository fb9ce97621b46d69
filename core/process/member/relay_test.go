package member

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// place makes a cluster of daemon "d05" in a data centre of twenty, of which "d11"
// and "d07" stand on strong hosts, beside one of three.
func place() *Cluster {
	self := member("d05", "x", 1)
	c := New(self, t0)
	for i := range 20 {
		m := member(fmt.Sprintf("d%02d", i), "x", 1)
		if i == 7 || i == 11 {
			m.Strength = 0.8
		}
		c.Met(m)
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		c.Met(member(name, "y", 1))
	}
	return c
}

// Guards against daemons that all talk to each other.
func TestRelays(t *testing.T) {
	Convey("The strongest speak, and the next in their place while they are lost", t, func() {
		c := place()
		So(c.Relays(at(1)), ShouldResemble, []string{"d07:1", "d11:1"})
		So(c.IsRelay(at(1)), ShouldBeFalse)
		So(c.FarRelays(at(1)), ShouldResemble, []string{"e1:1", "e2:1"})
		c.Refused("d07:1")
		So(c.Relays(at(1)), ShouldResemble, []string{"d00:1", "d11:1"})
		c.Heard(at(2), member("d07", "x", 1), Status{})
		So(c.Relays(at(2)), ShouldResemble, []string{"d00:1", "d11:1"}) // it says that its host is no strong one
	})
	Convey("One that did not answer is tried again after a while", t, func() {
		c := place()
		c.Missed(at(1), "d11:1")
		So(c.Relays(at(1.1)), ShouldResemble, []string{"d00:1", "d07:1"})
		So(c.Relays(at(1).Add(missedFor)), ShouldResemble, []string{"d07:1", "d11:1"})
	})
	Convey("When all others are lost a daemon is its own relay", t, func() {
		c := place()
		for i := range 20 {
			c.Refused(fmt.Sprintf("d%02d:1", i))
		}
		So(c.IsRelay(at(1)), ShouldBeTrue)
		So(c.Relays(at(1)), ShouldBeEmpty)
	})
	Convey("Of two relays of different data centres one calls the other", t, func() {
		c := place()
		So(c.LaterRelays(at(1)), ShouldResemble, []string{"e1:1", "e2:1"})
		far := New(member("e1", "y", 1), t0)
		far.Met(member("d05", "x", 1))
		So(far.LaterRelays(at(1)), ShouldBeEmpty)
		So(far.FarRelays(at(1)), ShouldResemble, []string{"d05:1"})
	})
	Convey("A relay's words a second stay the same however many daemons there are", t, func() {
		c := place()
		So(c.Pace(), ShouldEqual, 20*paceEach)
		So(New(member("a", "x", 1), t0).Pace(), ShouldEqual, paceLeast)
	})
}

// Guards against a leader that is missed by daemons which hear of it by relays only.
func TestHeardOf(t *testing.T) {
	Convey("A relay's word of the leader counts from when the relay had it", t, func() {
		c := heard()
		c.HeardOf("c", 1, at(11))
		So(c.HeardAt("c"), ShouldEqual, at(11))
		c.HeardOf("c", 2, at(12))
		c.HeardOf("c", 1, at(10.5))
		So(c.HeardAt("c"), ShouldEqual, at(11))
	})
}

// Guards against daemons that read the store although their relays will tell them.
func TestMembersReadLast(t *testing.T) {
	Convey("A relay reads old news first, the others rounds later", t, func() {
		c := place()
		current := at(10)
		So(c.Reads(current.Add(staleAfter+rankStep), current, false), ShouldBeFalse)
		So(c.Reads(current.Add(staleAfter+memberRounds*c.Pace()+20*rankStep+time.Millisecond), current, false), ShouldBeTrue)
	})
}

// Guards against daemons that name different issuers of permits, or lost ones.
func TestLiving(t *testing.T) {
	Convey("Whoever is not known to be lost is listed, this daemon too", t, func() {
		c := heard()
		before := c.Living(at(1))
		So(before[c.Self().DataCentre], ShouldContain, c.Self().Address)
		lost := ""
		for _, m := range before {
			for _, address := range m {
				if address != c.Self().Address {
					lost = address
				}
			}
		}
		c.Missed(at(1), lost)
		for _, m := range c.Living(at(1.1)) {
			So(m, ShouldNotContain, lost)
		}
	})
}

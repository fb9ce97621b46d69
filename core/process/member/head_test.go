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
func TestHeads(t *testing.T) {
	Convey("The strongest speak, and the next in their place while they are lost", t, func() {
		c := place()
		So(c.Heads(at(1)), ShouldResemble, []string{"d07:1", "d11:1"})
		So(c.IsHead(at(1)), ShouldBeFalse)
		So(c.FarHeads(at(1)), ShouldResemble, []string{"e1:1", "e2:1"})
		c.Refused("d07:1")
		So(c.Heads(at(1)), ShouldResemble, []string{"d00:1", "d11:1"})
		c.Heard(at(2), member("d07", "x", 1), Status{})
		So(c.Heads(at(2)), ShouldResemble, []string{"d00:1", "d11:1"}) // it says that its host is no strong one
	})
	Convey("One that did not answer is tried again after a while", t, func() {
		c := place()
		c.Missed(at(1), "d11:1")
		So(c.Heads(at(1.1)), ShouldResemble, []string{"d00:1", "d07:1"})
		So(c.Heads(at(1).Add(missedFor)), ShouldResemble, []string{"d07:1", "d11:1"})
	})
	Convey("When all others are lost a daemon is its own head", t, func() {
		c := place()
		for i := range 20 {
			c.Refused(fmt.Sprintf("d%02d:1", i))
		}
		So(c.IsHead(at(1)), ShouldBeTrue)
		So(c.Heads(at(1)), ShouldBeEmpty)
	})
	Convey("Of two heads of different data centres one calls the other", t, func() {
		c := place()
		So(c.LaterHeads(at(1)), ShouldResemble, []string{"e1:1", "e2:1"})
		far := New(member("e1", "y", 1), t0)
		far.Met(member("d05", "x", 1))
		So(far.LaterHeads(at(1)), ShouldBeEmpty)
		So(far.FarHeads(at(1)), ShouldResemble, []string{"d05:1"})
	})
	Convey("A head's words a second stay the same however many daemons there are", t, func() {
		c := place()
		So(c.Pace(), ShouldEqual, 20*paceEach)
		So(New(member("a", "x", 1), t0).Pace(), ShouldEqual, paceLeast)
	})
}

// Guards against a leader that is missed by daemons which hear of it by heads only.
func TestHeardOf(t *testing.T) {
	Convey("A head's word of the leader counts from when the head had it", t, func() {
		c := heard()
		c.HeardOf("c", 1, at(11))
		So(c.HeardAt("c"), ShouldEqual, at(11))
		c.HeardOf("c", 2, at(12))
		c.HeardOf("c", 1, at(10.5))
		So(c.HeardAt("c"), ShouldEqual, at(11))
	})
}

// Guards against daemons that read the store although their heads will tell them.
func TestMembersReadLast(t *testing.T) {
	Convey("A head reads old news first, the others rounds later", t, func() {
		c := place()
		current := at(10)
		So(c.Reads(current.Add(staleAfter+rankStep), current, false), ShouldBeFalse)
		So(c.Reads(current.Add(staleAfter+memberRounds*c.Pace()+20*rankStep+time.Millisecond), current, false), ShouldBeTrue)
	})
}

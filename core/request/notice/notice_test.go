package notice

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/fleet"
)

var t0 = time.Unix(5000, 0)

// Guards against values of a server that end a daemon, overflow a time, or keep the server out for good.
func TestParse(t *testing.T) {
	rests := map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, " 2 ": 2 * time.Second, "1e300": maxRest, "99999999999999999999999999999": maxRest,
		"": 0, "0": 0, "-3": 0, "soon": 0, "NaN": 0, "+Inf": 0, "1e999": 0, "3, 5": 0, "3s": 0, "\x00": 0,
		"Thu, 01 Jan 1970 01:23:25 GMT": 5 * time.Second, "Thu, 01 Jan 1970 01:23:15 GMT": 0, "Fri, 31 Dec 9999 23:59:59 GMT": maxRest,
	}
	Convey("A 503 asks for rest by seconds or a date; what is neither asks for none", t, func() {
		for value, rest := range rests {
			SoMsg(value, Parse(503, Fields{RetryAfter: []string{value}}, t0).Rest, ShouldEqual, rest)
		}
		So(Parse(503, Fields{RetryAfter: []string{"1", "x", "3", "2"}}, t0).Rest, ShouldEqual, 3*time.Second)
		So(Parse(503, Fields{RetryAfter: []string{"Thu, 01 Jan 1970 02:00:07 GMT"}, Date: "Thu, 01 Jan 1970 02:00:00 GMT"}, t0).Rest, ShouldEqual, 7*time.Second)
	})
	Convey("Other statuses ask for none", t, func() {
		for _, status := range []int{200, 421, 429, 500, 502, 504} {
			So(Parse(status, Fields{RetryAfter: []string{"3"}}, t0).IsEmpty(), ShouldBeTrue)
		}
	})
	Convey("A server leaves unless it says no", t, func() {
		for value, leaves := range map[string]bool{"1": true, "true": true, "soon": true, "0": false, "false": false, "": false, " ": false} {
			So(Parse(200, Fields{Leaving: []string{value}}, t0).Leaving, ShouldEqual, leaves)
		}
		So(Parse(200, Fields{Leaving: []string{"0", "1"}}, t0).Leaving, ShouldBeTrue)
	})
}

func instance(startMillis int64) fleet.Server {
	return fleet.Server{ID: "a", Address: "a:1", StartMillis: startMillis}
}

func at(d time.Duration) time.Time { return t0.Add(d) }

// rest is the notice of a server that asks for rest.
func rest(d time.Duration) Notice { return Notice{Rest: d} }

// Guards against a rest that a later, shorter one cuts off.
func TestLatestEndCounts(t *testing.T) {
	Convey("The latest of several ends counts", t, func() {
		table, s := NewTable(1), instance(1)
		So(table.Add(t0, s, t0, rest(3*time.Second)).Rests, ShouldBeTrue)
		until := table.Status(t0, s).RestUntil
		So(until, ShouldHappenOnOrBetween, at(3*time.Second), at(3600*time.Millisecond))
		So(table.Add(at(time.Second), s, t0, rest(time.Second)).Rests, ShouldBeFalse)
		So(table.Status(at(time.Second), s).RestUntil, ShouldEqual, until)
		So(table.Add(at(time.Second), s, t0, rest(5*time.Second)).Rests, ShouldBeTrue)
		So(table.Status(at(time.Second), s).Rests(at(6*time.Second-1)), ShouldBeTrue)
	})
}

// Guards against a new instance that is kept out by the word of the one before, and against its own word being lost.
func TestInstances(t *testing.T) {
	started := at(10 * time.Second)
	next := instance(started.UnixMilli())
	Convey("A new instance has asked for nothing", t, func() {
		table := NewTable(1)
		table.Add(at(9*time.Second), instance(1), at(time.Second), Notice{Rest: time.Minute, Leaving: true})
		So(table.Status(started, next), ShouldResemble, Status{})
		So(table.Status(started, instance(1)).Leaving, ShouldBeTrue)
	})
	Convey("What it says before its entry has arrived counts", t, func() {
		table := NewTable(1)
		table.Add(at(9*time.Second), instance(1), at(time.Second), rest(time.Minute))
		table.Add(at(11*time.Second), instance(1), at(10500*time.Millisecond), Notice{Rest: 2 * time.Second, Leaving: true})
		status := table.Status(at(11*time.Second), next)
		So(status.Leaving, ShouldBeTrue)
		So(status.RestUntil, ShouldHappenOnOrBetween, at(13*time.Second), at(13400*time.Millisecond))
		elsewhere := next
		elsewhere.Address = "b:1"
		So(table.Status(at(11*time.Second), elsewhere), ShouldResemble, Status{})
	})
}

// Guards against servers that count as leaving for good, or are forgotten while their entries come and go.
func TestPrune(t *testing.T) {
	listed, empty := fleet.New([]fleet.Server{instance(1)}), fleet.New(nil)
	Convey("It is remembered for a while that an instance left that is not listed", t, func() {
		table := NewTable(1)
		table.Add(t0, instance(1), t0, Notice{Leaving: true})
		table.Prune(at(time.Minute), empty)
		So(table.Status(at(time.Minute), instance(1)).Leaving, ShouldBeTrue)
		table.Prune(at(time.Hour), listed)
		So(table.Status(at(time.Hour), instance(1)).Leaving, ShouldBeTrue)
		table.Prune(at(time.Hour), empty)
		So(table.Len(), ShouldEqual, 0)
	})
	Convey("A server without a start time is tried again after a while", t, func() {
		table := NewTable(1)
		table.Add(t0, instance(0), t0, Notice{Leaving: true})
		So(table.Status(at(leavingTTL-1), instance(0)).Leaving, ShouldBeTrue)
		So(table.Status(at(leavingTTL), instance(0)).Leaving, ShouldBeFalse)
		So(table.AddLeaving(at(leavingTTL), Leaving{Server: "a", SaidAt: t0}), ShouldBeFalse)
	})
	Convey("Rests that are over are forgotten", t, func() {
		table := NewTable(1)
		table.Add(t0, instance(1), t0, rest(time.Second))
		table.Prune(at(2*time.Second), listed)
		So(table.Len(), ShouldEqual, 0)
	})
}

// Guards against daemons that do not learn from others which instances leave.
func TestLeavingIsPassedOn(t *testing.T) {
	Convey("Listed instances that leave are named, and known once", t, func() {
		table, other, listed := NewTable(1), NewTable(2), fleet.New([]fleet.Server{instance(1)})
		table.Add(t0, instance(1), t0, Notice{Leaving: true})
		leaving := table.Leaving(t0, listed)
		So(leaving, ShouldResemble, []Leaving{{Server: "a", StartMillis: 1, SaidAt: t0}})
		So(other.AddLeaving(t0, leaving[0]), ShouldBeTrue)
		So(other.AddLeaving(t0, leaving[0]), ShouldBeFalse)
		So(other.Status(t0, instance(1)).Leaving, ShouldBeTrue)
		So(other.Status(t0, instance(2)).Leaving, ShouldBeFalse)
		So(table.Leaving(t0, fleet.New(nil)), ShouldBeEmpty)
	})
}

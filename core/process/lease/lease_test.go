package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

var t0 = time.Unix(1000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func witness(name string) grant.Witness { return grant.Witness{Name: name, Incarnation: 1} }

func witnesses(names ...string) []grant.Witness {
	var out []grant.Witness
	for _, n := range names {
		out = append(out, witness(n))
	}
	return out
}

// Guards against a leader that relies on a late reply: its witness may have reported a newer epoch
// to the successor before the reply arrived.
func TestSupportCountsFromTheSending(t *testing.T) {
	Convey("Replies that arrive late or out of order count from the sending of their calls", t, func() {
		s := NewSupport(witnesses("a", "b", "c", "d"))
		So(s.SupportedAt().IsZero(), ShouldBeTrue)
		s.Record(witness("a"), at(5))
		So(s.SupportedAt().IsZero(), ShouldBeTrue)
		s.Record(witness("b"), at(3))
		So(s.SupportedAt(), ShouldEqual, at(3))
		s.Record(witness("b"), at(2))
		So(s.SupportedAt(), ShouldEqual, at(3))
	})
	Convey("Other daemons and other incarnations of a witness are no support", t, func() {
		s := NewSupport(witnesses("a", "b", "c", "d"))
		s.Record(witness("a"), at(5))
		s.Record(witness("e"), at(5))
		s.Record(grant.Witness{Name: "b", Incarnation: 2}, at(5))
		So(s.SupportedAt().IsZero(), ShouldBeTrue)
	})
}

// Guards against a leader that relies on a new set of witnesses while its successor finds the old
// one in the store, or the other way round.
func TestBothSetsMustSupport(t *testing.T) {
	Convey("Until a change is settled, a majority of each set is needed", t, func() {
		s := NewSupport(witnesses("a", "b", "c", "d"))
		s.Change(witnesses("a", "b", "e", "f"))
		s.Record(witness("c"), at(5))
		s.Record(witness("d"), at(5))
		So(s.SupportedAt().IsZero(), ShouldBeTrue)
		s.Record(witness("e"), at(4))
		s.Record(witness("f"), at(4))
		So(s.SupportedAt(), ShouldEqual, at(4))
		s.Change(witnesses("g", "h", "i", "j"))
		So(s.Latest(), ShouldResemble, witnesses("a", "b", "e", "f"))
		s.Settle(s.Latest())
		So(s.SupportedAt(), ShouldEqual, at(4))
		So(s.LastSupport(witness("c")).IsZero(), ShouldBeTrue)
	})
	Convey("A leader without witnesses needs support as soon as it begins to store some", t, func() {
		s := NewSupport(nil)
		So(s.Required(), ShouldBeFalse)
		s.Change(witnesses("a", "b"))
		So(s.Required(), ShouldBeTrue)
		So(s.SupportedAt().IsZero(), ShouldBeTrue)
		s.Record(witness("a"), at(1))
		So(s.SupportedAt(), ShouldEqual, at(1))
	})
}

// Guards against a successor that waits 35 s for a leader whose witnesses have all left it, and
// against one that does not wait for a leader that a majority may still support.
func TestEndIsDerivedFromCounts(t *testing.T) {
	term := grant.Term{Epoch: 4, Leader: grant.Leader{Daemon: "l", Incarnation: 1}, Witnesses: witnesses("a", "b", "c", "d")}
	Convey("The end is known once no majority can be left", t, func() {
		e := NewEnding(at(0), term)
		So(e.Needed(), ShouldEqual, 3)
		So(e.Record(at(0.1), witness("a"), 5), ShouldBeFalse)
		So(e.Record(at(0.2), witness("a"), 5), ShouldBeFalse)
		So(e.Record(at(0.3), witness("b"), 4), ShouldBeFalse) // still supports the leader
		So(e.Record(at(0.3), witness("b"), 6), ShouldBeFalse)
		_, known := e.StoppedBy()
		So(known, ShouldBeFalse)
		So(e.Missing(), ShouldResemble, witnesses("c", "d"))
		So(e.Record(at(1), witness("c"), 5), ShouldBeTrue)
		stoppedBy, known := e.StoppedBy()
		So(known, ShouldBeTrue)
		So(stoppedBy, ShouldEqual, at(3.04))
		So(e.Missing(), ShouldBeEmpty)
	})
	Convey("A restarted witness counts whatever epoch it knows, an earlier incarnation never", t, func() {
		e := NewEnding(at(0), term)
		e.Record(at(0.1), witness("a"), 5)
		e.Record(at(0.1), witness("b"), 5)
		So(e.Record(at(0.1), grant.Witness{Name: "c"}, 9), ShouldBeFalse)
		So(e.Record(at(0.2), grant.Witness{Name: "c", Incarnation: 2}, 0), ShouldBeTrue)
	})
	Convey("A leader without witnesses, or with unknown ones, is not known to have stopped", t, func() {
		for _, term := range []grant.Term{{Epoch: 4, Leader: term.Leader}, {}} {
			e := NewEnding(at(0), term)
			So(e.Record(at(0.1), witness("a"), 5), ShouldBeFalse)
			_, known := e.StoppedBy()
			So(known, ShouldBeFalse)
		}
	})
	Convey("Once the leader was found to have ended or to know a newer epoch, its term has ended, also after a later end was derived", t, func() {
		e := NewEnding(at(0), term)
		for _, w := range term.Witnesses[:3] {
			e.Record(at(0.1), w, 5)
		}
		e.RecordStopped(at(0.5))
		stoppedBy, known := e.StoppedBy()
		So(known, ShouldBeTrue)
		So(stoppedBy, ShouldEqual, at(0.5))
	})
}

// Guards against a leader that stays without one of its witnesses, so that the loss of others ends
// its support.
func TestLostWitnessIsReplaced(t *testing.T) {
	lost := func(names ...string) func(grant.Witness) bool {
		return func(w grant.Witness) bool {
			for _, n := range names {
				if w == witness(n) {
					return true
				}
			}
			return false
		}
	}
	Convey("Live daemons that are no witnesses replace lost ones, as far as there are any", t, func() {
		So(Replace(witnesses("a", "b", "c", "d"), witnesses("a", "e"), lost("b", "c")), ShouldResemble, witnesses("a", "e", "c", "d"))
		So(Replace(witnesses("a", "b"), witnesses("a", "b"), lost("b")), ShouldResemble, witnesses("a", "b"))
	})
	Convey("A restarted witness replaces its earlier incarnation", t, func() {
		restarted := grant.Witness{Name: "b", Incarnation: 2}
		So(Replace(witnesses("a", "b"), []grant.Witness{witness("a"), restarted}, lost("b")), ShouldResemble, []grant.Witness{witness("a"), restarted})
	})
	Convey("A leader has no witnesses if too few daemons are live", t, func() {
		So(Choose(witnesses("a", "b", "c"), 4), ShouldBeNil)
		So(Choose(witnesses("a", "b", "c"), 2), ShouldResemble, witnesses("a", "b"))
		So(Choose(witnesses("a"), 0), ShouldBeNil)
	})
}

package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
)

func answer(o wire.Outcome, code string) *wire.Answer { return &wire.Answer{Outcome: o, Code: code} }

func TestNext(t *testing.T) {
	Convey("Only what surely did not run, or may run twice, is sent again", t, func() {
		for _, c := range []struct {
			a          *wire.Answer
			idempotent bool
			want       Step
		}{
			{answer(wire.Outcome_OUTCOME_ANSWERED, ""), true, Stop},
			{answer(wire.Outcome_OUTCOME_UNKNOWN, OutcomeLost), false, Stop},
			{answer(wire.Outcome_OUTCOME_UNKNOWN, OutcomeLost), true, Elsewhere},
			{answer(wire.Outcome_OUTCOME_NOT_RUN, Shed), false, Elsewhere},
			{answer(wire.Outcome_OUTCOME_NOT_RUN, Moving), false, Again},
			{answer(wire.Outcome_OUTCOME_NOT_RUN, CrashSuspect), true, Stop},
			{answer(wire.Outcome_OUTCOME_NOT_RUN, TooLate), true, Stop},
		} {
			So(Next(c.a, c.idempotent), ShouldEqual, c.want)
		}
	})
}

// A caller sends a lookup; its first attempt is lost with a server, the second
// is refused. "Not run" would be false: the first may have run.
func TestFinal(t *testing.T) {
	refused := answer(wire.Outcome_OUTCOME_NOT_RUN, QueueFull)
	Convey("Not run is told only when it is true of every try", t, func() {
		So(Final(refused, true, false).Outcome, ShouldEqual, wire.Outcome_OUTCOME_NOT_RUN)
		So(Final(refused, true, true).Outcome, ShouldEqual, wire.Outcome_OUTCOME_UNKNOWN)
		So(Final(refused, false, false).Outcome, ShouldEqual, wire.Outcome_OUTCOME_UNKNOWN)
		refused.Judged = true
		So(Final(refused, false, false).Outcome, ShouldEqual, wire.Outcome_OUTCOME_NOT_RUN)
	})
}

func TestBudget(t *testing.T) {
	Convey("Extra attempts stay within their share after the burst", t, func() {
		b := NewBudget(0.1, 5)
		taken := 0
		for range 1000 {
			b.Request()
			if b.Take() {
				taken++
			}
		}
		So(taken, ShouldBeBetweenOrEqual, 95, 106)
	})
}

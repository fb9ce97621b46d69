package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a second run of a request that is not idempotent and may have run.
func TestRetryable(t *testing.T) {
	failed := State{SentAttempts: 1, MaxAttempts: 2, TimeLeft: time.Second, MinLatency: 100 * time.Millisecond}
	for _, tc := range []struct {
		name   string
		change func(s *State)
		want   bool
	}{
		{"an idempotent request that may have run", func(s *State) { s.Idempotent = true }, true},
		{"an idempotent request after an earlier attempt that may have run", func(s *State) { s.Idempotent, s.MaybeRan = true, true }, true},
		{"a request that is not idempotent and may have run", func(*State) {}, false},
		{"a request that is not idempotent and certainly did not run", func(s *State) { s.NotRun = true }, true},
		{"a declined request that is not idempotent, after an attempt that may have run", func(s *State) { s.NotRun, s.MaybeRan = true, true }, false},
		{"no attempt is left", func(s *State) { s.Idempotent, s.SentAttempts = true, 2 }, false},
		{"a route without a number of attempts allows one", func(s *State) { s.Idempotent, s.MaxAttempts = true, 0 }, false},
		{"two connections were refused and one attempt was sent", func(s *State) { s.Idempotent, s.UnsentAttempts = true, 2 }, true},
		{"the limit of attempts that reach no server", func(s *State) { s.Idempotent, s.SentAttempts, s.UnsentAttempts = true, 0, maxUnsentAttempts }, false},
		{"too many servers were lost while the request may have been running there", func(s *State) { s.Idempotent, s.CrashSuspect = true, true }, false},
		{"no response can come in time", func(s *State) { s.Idempotent, s.TimeLeft = true, 100*time.Millisecond }, false},
	} {
		Convey(tc.name, t, func() {
			s := failed
			tc.change(&s)
			So(s.Retryable(), ShouldEqual, tc.want)
		})
	}
}

// Guards against refused connections that use up a daemon's retry budget.
func TestUnsentAttemptsUseNoBudget(t *testing.T) {
	Convey("Only a retry after an attempt that may have reached a server uses the budget", t, func() {
		So(State{UnsentAttempts: 2}.UsesBudget(), ShouldBeFalse)
		So(State{SentAttempts: 1}.UsesBudget(), ShouldBeTrue)
	})
}

func TestBudget(t *testing.T) {
	Convey("Retries stay within their share after the burst", t, func() {
		b := NewBudget(0.1, 5)
		withdrawn := 0
		for range 1000 {
			b.Deposit()
			if b.TryWithdraw() {
				withdrawn++
			}
		}
		So(withdrawn, ShouldBeBetweenOrEqual, 95, 106)
	})
	Convey("A larger share or a smaller burst takes effect at once", t, func() {
		b := NewBudget(0, 5)
		b.SetBurst(1)
		So(b.TryWithdraw(), ShouldBeTrue)
		So(b.TryWithdraw(), ShouldBeFalse)
		b.SetShare(1)
		b.Deposit()
		So(b.TryWithdraw(), ShouldBeTrue)
	})
}

// Guards against less urgent requests that use up the retry budget before more urgent ones need it.
func TestBudgetKeepsReserve(t *testing.T) {
	withdrawn := func(burst, rank int) (n int) {
		for b := NewBudget(0, burst); b.TryWithdrawFor(rank); n++ {
		}
		return n
	}
	Convey("Each rank leaves a quarter of the burst more, at most three quarters", t, func() {
		for rank, want := range []int{40, 30, 20, 10, 10} {
			So(withdrawn(40, rank), ShouldEqual, want)
		}
	})
	Convey("What one rank leaves, a more urgent one may use", t, func() {
		b := NewBudget(0, 4)
		So(b.TryWithdrawFor(3), ShouldBeTrue)
		So(b.TryWithdrawFor(3), ShouldBeFalse)
		So(b.TryWithdrawFor(1), ShouldBeTrue)
		So(b.TryWithdraw(), ShouldBeTrue)
	})
	Convey("A full budget may be used by any rank, however small the burst is", t, func() {
		So(withdrawn(1, 3), ShouldEqual, 1)
		So(withdrawn(2, 3), ShouldEqual, 1)
	})
}

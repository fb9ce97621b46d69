package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a daemon that has something in hand at its start, while what its incarnation before had
// lent may still be used.
func TestNothingInHandAtStart(t *testing.T) {
	Convey("It lends its share only once a loan of the incarnation before has ended", t, func() {
		l, p := NewLender(t0, "d", 2), NewPool(t0, 1)
		l.SetDaemons(2, true)
		p.SetDaemons(t0, 2, true)
		l.SetPools([]string{"d"})
		for at := time.Duration(0); at < loanTime(2); at += step {
			for _, address := range l.Due(t0.Add(at)) {
				g, _ := p.Renew(t0.Add(at), l.Begin(t0.Add(at), address), find)
				l.Answered(t0.Add(at), address, g)
			}
			So(p.Share(t0.Add(at)), ShouldEqual, 0)
			_, ok := p.Take(t0.Add(at), mill)
			So(ok, ShouldBeFalse)
		}
	})
	Convey("It lends it at once to the pool that still counts that loan, and to no other", t, func() {
		s := newSingle(1)
		l := NewLender(t0, "d", 2)
		l.SetDaemons(1, true)
		l.SetPools([]string{"e", "d"})
		g, _ := s.Renew(t0, l.Begin(t0, "d"), find)
		So(g.HadLoan, ShouldBeTrue)
		l.Answered(t0, "d", g)
		So(l.loan(t0, l.contact("d")), ShouldBeGreaterThan, 0)
		l.Answered(t0, "e", Grant{Seq: l.contact("e").seq, Pool: 9})
		So(l.loan(t0, l.contact("e")), ShouldEqual, 0)
	})
	Convey("If all daemons have just started, they lend once each has said so after the last one started", t, func() {
		p, free := NewPool(t0, 1), map[string]time.Duration{}
		p.SetDaemons(t0, 3, true)
		lenders := map[string]*Lender{}
		for at := time.Duration(0); at < 3*time.Second; at += step {
			now := t0.Add(at)
			for name, start := range map[string]time.Duration{"d": 0, "e": 100 * time.Millisecond, "f": 200 * time.Millisecond} {
				if at == start {
					lenders[name] = NewLender(now, name, 2)
					lenders[name].SetDaemons(3, true)
					lenders[name].SetPools([]string{"p"})
				}
			}
			for name, l := range lenders {
				for _, address := range l.Due(now) {
					g, _ := p.Renew(now, l.Begin(now, address), find)
					l.Answered(now, address, g)
				}
				if l.isFree && free[name] == 0 {
					free[name] = at
				}
			}
		}
		for _, at := range free {
			So(at, ShouldBeBetween, 200*time.Millisecond, 200*time.Millisecond+4*RenewInterval(3))
		}
	})
	Convey("It lends nothing while it does not know how many daemons there are", t, func() {
		l := NewLender(t0, "d", 2)
		l.SetPools([]string{"d"})
		l.Answered(t0, "d", Grant{Pool: 1})
		So(l.loan(t0.Add(time.Hour), l.contact("d")), ShouldEqual, 0)
	})
}

// Guards against a share that two pools hand out, when the pool that is preferred changes.
func TestShareMoves(t *testing.T) {
	Convey("A share is recalled from a pool that answers, and lent to the next one once it is back", t, func() {
		a, b := NewPool(t0, 1), NewPool(t0, 2)
		a.SetDaemons(t0, 1, true)
		b.SetDaemons(t0, 1, true)
		l := NewLender(t0.Add(-time.Minute), "d", 1)
		l.SetDaemons(1, true)
		pools := map[string]*Pool{"a": a, "b": b}
		l.SetPools([]string{"a", "b"})
		moved := time.Duration(0)
		for at := time.Duration(0); at < 3*time.Second; at += step {
			now := t0.Add(at)
			if at == time.Second {
				l.SetPools([]string{"b", "a"})
			}
			for _, address := range l.Due(now) {
				g, _ := pools[address].Renew(now, l.Begin(now, address), find)
				l.Answered(now, address, g)
			}
			So(a.Share(now)+b.Share(now), ShouldBeLessThanOrEqualTo, 1)
			if moved == 0 && b.Share(now) == 1 {
				moved = at
			}
		}
		So(moved, ShouldBeBetween, time.Second, time.Second+loanTime(1))
	})
}

// Guards against a share that is not given back when it is recalled, after all daemons had started together.
func TestShareMovesAfterFullRestart(t *testing.T) {
	Convey("It is back once the tokens that were handed out have ended, long before the loan does", t, func() {
		a, b := NewPool(t0, 1), NewPool(t0, 2)
		l := NewLender(t0, "d", 1)
		l.SetDaemons(1, true)
		pools := map[string]*Pool{"a": a, "b": b}
		for _, p := range pools {
			p.SetDaemons(t0, 1, true)
		}
		moved := time.Duration(0)
		for at := time.Duration(0); at < 3*time.Second && moved == 0; at += 10 * time.Millisecond {
			now := t0.Add(at)
			if l.SetPools([]string{"a", "b"}); at >= time.Second {
				l.SetPools([]string{"b", "a"})
			}
			for _, address := range l.Due(now) {
				g, _ := pools[address].Renew(now, l.Begin(now, address), find)
				l.Answered(now, address, g)
			}
			if b.Share(now) == 1 {
				moved = at
			}
		}
		So(moved, ShouldBeBetween, time.Second, time.Second+RenewInterval(1)+shareTTL+tokenTTL+2*minRetryInterval)
	})
}

package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/permit"
)

// overloaded plays one data centre of a site with 195 daemons, at so much of what its servers
// can run, and returns the parts of the requests that are answered in time, and late.
func overloaded(offered float64, permits *permit.Issuer) (inAim, late float64) {
	const capacity = 350
	p := newPlace(32, 40, 240*time.Millisecond, 660*time.Millisecond)
	for _, d := range p.daemons {
		d.limits.Daemons = 195
	}
	p.permits = permits
	p.run(offered*capacity, 40*time.Second)
	return float64(p.inAim) / float64(p.asked), float64(p.late) / float64(p.asked)
}

// Guards against requests that wait in queues which no daemon knows, while all slots are taken.
func TestPermitsInAnOverload(t *testing.T) {
	const more, nearly = 1.1, 0.02
	for _, offered := range []float64{0.5, 0.8, 1.2, 1.5} {
		Convey("More is answered in time, and as much where there is no overload", t, func() {
			without, lateWithout := overloaded(offered, nil)
			with, lateWith := overloaded(offered, permit.NewIssuer(1))
			t.Logf("offered %.1f: in time %.3f, late %.3f; with permits %.3f, %.3f", offered, without, lateWithout, with, lateWith)
			So(with, ShouldBeGreaterThan, without-nearly)
			if offered > 1 {
				So(with, ShouldBeGreaterThan, more*without)
				So(lateWith, ShouldBeLessThan, lateWithout)
			}
		})
	}
}

// Guards against servers that are refused by a guess, and permits that few daemons do not need.
func TestContended(t *testing.T) {
	busy := func(daemons int) Choice {
		s, vs := New(1, Limits{ColdFactor: 1.5, ColdSlack: 5, Daemons: daemons}), servers(2)
		for i := range 8 {
			now := t0.Add(time.Duration(i) * time.Millisecond)
			s.Begin(now, vs[0], need(now))
			s.End(now, vs[0], need(now), now, Answered, &Report{Running: 4, Waiting: 6, Slots: 4})
		}
		return s.Choose(t0.Add(time.Second), need(t0.Add(time.Second)), vs)
	}
	Convey("A queue that many daemons fill may be another one than this daemon thinks", t, func() {
		So(busy(195).Contended, ShouldBeTrue)
		So(busy(2).Contended, ShouldBeFalse)
	})
	Convey("Only a refusal for a queue is doubtful", t, func() {
		So(Choice{Reason: Busy, Contended: true}.Doubtful(), ShouldBeTrue)
		So(Choice{Reason: Busy}.Doubtful(), ShouldBeFalse)
		So(Choice{Reason: ColdFull, Contended: true}.Doubtful(), ShouldBeFalse)
	})
}

// Guards against a holder that the leader takes for idle, since all its requests are refused without being sent.
func TestRefusedPermitsTellOfTheQueue(t *testing.T) {
	Convey("A server that gave no permit counts as full, and has nothing under way", t, func() {
		s, v := fresh(), servers(1)[0]
		s.Begin(t0, v, need(t0))
		s.End(t0, v, need(t0), t0, NotPermitted, nil)
		So(s.TakePaces(false), ShouldResemble, []Pace{{Server: "s0", Heard: 1, Full: 1}})
		So(s.Own(), ShouldBeEmpty)
	})
}

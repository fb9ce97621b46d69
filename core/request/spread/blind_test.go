package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// inAim is the part of the requests that a data centre answers in time.
func inAim(daemons, servers int, perSecond float64) float64 {
	p := newPlace(daemons, servers, 240*time.Millisecond, 660*time.Millisecond)
	p.run(perSecond, 40*time.Second)
	return float64(p.inAim) / float64(p.asked)
}

// Guards against an overload in which nobody refuses, and nearly all answers are late.
func TestOverloadIsRefusedInTime(t *testing.T) {
	Convey("Of half as much again as servers can run, most is answered in time or refused at once", t, func() {
		const capacity = 350
		p := newPlace(32, 40, 240*time.Millisecond, 660*time.Millisecond)
		p.run(1.5*capacity, 30*time.Second)
		t.Logf("%d asked, %d in time, %d late, %d refused", p.asked, p.inAim, p.late, p.refused)
		So(p.refused, ShouldBeGreaterThan, p.asked/5)
		So(p.late, ShouldBeLessThan, p.inAim/2)
	})
}

// Guards against daemons that all queue at the same servers while others have free slots.
func TestManyDaemonsServeAsWellAsFew(t *testing.T) {
	const nearly = 0.05
	for _, v := range []struct {
		daemons, servers int
		perSecond        float64
	}{{12, 40, 300}, {32, 40, 250}, {32, 40, 300}} {
		Convey("Requests of many daemons are answered nearly as often in time as those of two", t, func() {
			few, many := inAim(2, v.servers, v.perSecond), inAim(v.daemons, v.servers, v.perSecond)
			t.Logf("%d daemons, %d servers, %.0f requests/s: %.3f in time, with two daemons %.3f", v.daemons, v.servers, v.perSecond, many, few)
			So(many, ShouldBeGreaterThan, few-nearly)
		})
	}
}

package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// answerWithSlowdown runs a request at server i, which reports a slowdown with its response.
func answerWithSlowdown(b *Balancer, now time.Time, i int, took time.Duration, slowdown float64) {
	server, req := servers(i + 1)[i], requirements(now)
	b.Begin(now, server, req)
	b.End(now.Add(took), server, req, now, Answered, &Report{Slots: 4, Slowdown: slowdown})
}

// Guards against sending requests to a server that has just reported a slowdown while another
// one is idle.
func TestTemporarySlowdown(t *testing.T) {
	start := func() (*Balancer, time.Time) {
		b, now := newBalancer(), t0
		for range 20 {
			for i := range 2 {
				answerWithSlowdown(b, now, i, 100*time.Millisecond, 1)
			}
			now = now.Add(time.Second)
		}
		answerWithSlowdown(b, now, 0, 100*time.Millisecond, 3)
		return b, now.Add(100 * time.Millisecond)
	}
	countFirst := func(b *Balancer, now time.Time) (n int) {
		for range 100 {
			if b.Choose(now, requirements(now), servers(2)).Server.ID == "s0" {
				n++
			}
		}
		return n
	}
	Convey("A server that has just reported a slowdown is not chosen", t, func() {
		b, now := start()
		So(countFirst(b, now), ShouldEqual, 0)
	})
	Convey("Two seconds later it is expected to be about as fast as the other server", t, func() {
		b, now := start()
		now = now.Add(2 * time.Second)
		slowed, other := b.Evaluate(now, requirements(now), servers(2)[0]).ExpectedLatency, b.Evaluate(now, requirements(now), servers(2)[1]).ExpectedLatency
		So(float64(slowed), ShouldBeBetween, 0.9*float64(other), 1.15*float64(other))
	})
}

// Guards against counting the slowdown of a server as part of a route's service time.
func TestTypicalServiceTimeExcludesSlowdown(t *testing.T) {
	Convey("The reported slowdown of a slow server is divided out", t, func() {
		b, now := newBalancer(), t0
		for range 100 {
			answerWithSlowdown(b, now, 0, 150*time.Millisecond, 1.5)
			now = now.Add(time.Second)
		}
		So(b.TypicalServiceTime(requirements(now)), ShouldAlmostEqual, 100*time.Millisecond, 5*time.Millisecond)
	})
	Convey("A temporary slowdown does not change the typical service time", t, func() {
		b, now := newBalancer(), t0
		for i := range 200 {
			slowdown := []float64{1, 3}[i%2]
			answerWithSlowdown(b, now, 0, time.Duration(slowdown*float64(100*time.Millisecond)), slowdown)
			now = now.Add(time.Second)
			if i >= 150 { // the initial value no longer counts
				So(b.TypicalServiceTime(requirements(now)), ShouldAlmostEqual, 100*time.Millisecond, 500*time.Microsecond)
			}
		}
	})
}

package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// reported plays an answered request after which the server says how fast it is now.
func reported(s *Spread, now time.Time, i int, took time.Duration, pace float64) {
	v, n := servers(i + 1)[i], need(now)
	s.Begin(now, v, n)
	s.End(now.Add(took), v, n, now, Answered, &Report{Slots: 4, Pace: pace})
}

// Guards against requests to a server that has just said that it is slow, beside an idle one.
func TestSpellsOfSlowness(t *testing.T) {
	start := func() (*Spread, time.Time) {
		s, now := fresh(), t0
		for range 20 {
			for i := range 2 {
				reported(s, now, i, 100*time.Millisecond, 1)
			}
			now = now.Add(time.Second)
		}
		reported(s, now, 0, 100*time.Millisecond, 3)
		return s, now.Add(100 * time.Millisecond)
	}
	first := func(s *Spread, now time.Time) (n int) {
		for range 100 {
			if s.Choose(now, need(now), servers(2)).Server.ID == "s0" {
				n++
			}
		}
		return n
	}
	Convey("A server that has just said that it is slow is left alone", t, func() {
		s, now := start()
		So(first(s, now), ShouldEqual, 0)
	})
	Convey("Two seconds later it is expected to be about as fast as the other", t, func() {
		s, now := start()
		now = now.Add(2 * time.Second)
		spell, other := s.Judge(now, need(now), servers(2)[0]).Expected, s.Judge(now, need(now), servers(2)[1]).Expected
		So(float64(spell), ShouldBeBetween, 0.9*float64(other), 1.15*float64(other))
	})
}

// Guards against the time at slow servers being taken for the usual one.
func TestUsualTimeIsThatOfAUsualServer(t *testing.T) {
	Convey("The server's own pace tells work from slowness", t, func() {
		s, now := fresh(), t0
		for range 100 {
			reported(s, now, 0, 150*time.Millisecond, 1.5)
			now = now.Add(time.Second)
		}
		So(s.Usual(need(now)), ShouldAlmostEqual, 100*time.Millisecond, 5*time.Millisecond)
	})
	Convey("Neither is a spell of slowness taken for longer work", t, func() {
		s, now := fresh(), t0
		for i := range 200 {
			pace := []float64{1, 3}[i%2]
			reported(s, now, 0, time.Duration(pace*float64(100*time.Millisecond)), pace)
			now = now.Add(time.Second)
			if i >= 150 { // the first guess is forgotten
				So(s.Usual(need(now)), ShouldAlmostEqual, 100*time.Millisecond, 500*time.Microsecond)
			}
		}
	})
}

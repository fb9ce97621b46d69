package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against keys that keep as large a share of the slots busy at slow servers as at fast ones.
func TestSlowServersHandleLessLoad(t *testing.T) {
	fast, slow := New(4, 0.063, 0.3, 0), New(4, 0.19, 0.3, 0)
	Convey("With the same share of its slots busy, a slow server loses far more requests", t, func() {
		rate := func(s Server) float64 { return 0.6 * 4 / s.serviceTime }
		So(slow.LostRate(rate(slow))/rate(slow), ShouldBeGreaterThan, 4*fast.LostRate(rate(fast))/rate(fast))
	})
	Convey("One more request costs less at a fast server, even if it is busier", t, func() {
		atFast := fast.LostRate(0.7*4/fast.serviceTime+1) - fast.LostRate(0.7*4/fast.serviceTime)
		atSlow := slow.LostRate(0.5*4/slow.serviceTime+1) - slow.LostRate(0.5*4/slow.serviceTime)
		So(atFast, ShouldBeLessThan, atSlow)
	})
}

// Guards against an estimate that counts requests beyond the capacity of a server as answered in
// time.
func TestOverload(t *testing.T) {
	Convey("Nearly all requests beyond the capacity of the slots are lost", t, func() {
		s := New(4, 0.1, 0.3, 0)
		So(s.LostRate(150)-s.LostRate(100), ShouldAlmostEqual, 50, 0.1*50)
	})
	Convey("A cold server loses the requests that it must not be sent", t, func() {
		s := New(4, 0.05, 0.3, 11)
		So(s.LostRate(31)-s.LostRate(11), ShouldAlmostEqual, 20, 1e-9)
	})
}

// Guards against an estimate by which an overloaded server can take more keys at no cost.
func TestOverloadIsShared(t *testing.T) {
	Convey("One more request costs less at a server that is nearly full than at an overloaded one", t, func() {
		s := New(4, 0.1, 0.3, 0)
		So(s.LostRate(37)-s.LostRate(32), ShouldBeLessThan, s.LostRate(65)-s.LostRate(60))
	})
}

func TestLostRateGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(rapid.IntRange(1, 16).Draw(t, "slots"), rapid.Float64Range(0.01, 2).Draw(t, "serviceTime"),
			rapid.Float64Range(0.05, 3).Draw(t, "latencyTarget"), 0)
		rate := rapid.Float64Range(0, 500).Draw(t, "rate")
		less, more := s.LostRate(rate), s.LostRate(rate*1.05+0.01)
		if less < 0 || less > rate || more < less-1e-9 {
			t.Fatalf("of %v requests a second %v are lost; at a rate 5%% higher %v are lost", rate, less, more)
		}
	})
}

package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against slow servers with as large a share of their slots busy as fast ones.
func TestSlowServersBearLess(t *testing.T) {
	fast, slow := New(4, 0.063, 0.3, 0), New(4, 0.19, 0.3, 0)
	Convey("At the same share of its slots a slow server loses far more", t, func() {
		rate := func(s Server) float64 { return 0.6 * 4 / s.work }
		So(slow.Lost(rate(slow))/rate(slow), ShouldBeGreaterThan, 4*fast.Lost(rate(fast))/rate(fast))
	})
	Convey("A request more costs less at a fast server, also when that is busier", t, func() {
		atFast := fast.Lost(0.7*4/fast.work+1) - fast.Lost(0.7*4/fast.work)
		atSlow := slow.Lost(0.5*4/slow.work+1) - slow.Lost(0.5*4/slow.work)
		So(atFast, ShouldBeLessThan, atSlow)
	})
}

// More requests come for one key than its holder can run.
func TestOverload(t *testing.T) {
	Convey("Nearly all of what is beyond the slots is lost", t, func() {
		s := New(4, 0.1, 0.3, 0)
		So(s.Lost(150)-s.Lost(100), ShouldAlmostEqual, 50, 0.1*50)
	})
	Convey("A cold server loses what it must not be sent", t, func() {
		s := New(4, 0.05, 0.3, 11)
		So(s.Lost(31)-s.Lost(11), ShouldAlmostEqual, 20, 1e-9)
	})
}

// Guards against one overloaded server that is thought to lose nothing by more keys.
func TestOverloadIsShared(t *testing.T) {
	Convey("A request costs less at a server that is nearly full than at one beyond it", t, func() {
		s := New(4, 0.1, 0.3, 0)
		So(s.Lost(37)-s.Lost(32), ShouldBeLessThan, s.Lost(65)-s.Lost(60))
	})
}

func TestLostGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(rapid.IntRange(1, 16).Draw(t, "slots"), rapid.Float64Range(0.01, 2).Draw(t, "work"),
			rapid.Float64Range(0.05, 3).Draw(t, "aim"), 0)
		rate := rapid.Float64Range(0, 500).Draw(t, "rate")
		less, more := s.Lost(rate), s.Lost(rate*1.05+0.01)
		if less < 0 || less > rate || more < less-1e-9 {
			t.Fatalf("of %v a second %v are lost, of a twentieth more %v", rate, less, more)
		}
	})
}

package reopen

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func newTable(closed bool) grant.Table {
	r := grant.Range{From: 0, To: grant.LastKey, Holder: grant.Holder{Server: "a"}}
	if closed {
		r.Next = grant.Holder{Server: "b"}
	}
	return grant.Table{Services: []grant.ServiceRanges{{Service: "s", Ranges: []grant.Range{r}}}}
}

// observeClosedPeriods makes the estimator observe a range that is closed and opened again several
// times, with closed periods of the given lengths.
func observeClosedPeriods(estimator *Estimator, holderLost bool, seconds ...float64) {
	now := 0.0
	for _, s := range seconds {
		estimator.Observe(at(now), newTable(true), func(grant.Holder) bool { return !holderLost })
		estimator.Observe(at(now+s), newTable(false), func(grant.Holder) bool { return !holderLost })
		now += s + 1
	}
}

// Guards against callers being asked to retry before the range of their key is open.
func TestEstimateReopening(t *testing.T) {
	Convey("A range is expected to stay closed for as long as before in its service", t, func() {
		estimator := New()
		observeClosedPeriods(estimator, false, 0.4, 0.8, 0.9, 1.0, 2.0)
		estimator.Observe(at(100), newTable(true), func(grant.Holder) bool { return true })
		r := newTable(true).Services[0].Ranges[0]
		e := estimator.EstimateReopening(at(100), "s", r, true)
		So(e.Median, ShouldEqual, 900*time.Millisecond)
		So(e.P90, ShouldEqual, 2*time.Second)
		Convey("A range that has been closed for a while is compared with closed periods that lasted longer", func() {
			e := estimator.EstimateReopening(at(100.85), "s", r, true)
			So(e.Median, ShouldAlmostEqual, 150*time.Millisecond, time.Millisecond)
		})
		Convey("A range that has been closed for longer than any before is expected to stay closed for another half of that time", func() {
			So(estimator.EstimateReopening(at(104), "s", r, true).Median, ShouldEqual, 2*time.Second)
		})
		Convey("The defaults apply to a service or to a lost holder without earlier closed periods", func() {
			So(estimator.EstimateReopening(at(100), "t", r, true).Median, ShouldEqual, defaultReleaseTime)
			// Observe has not found otherRange closed, so the argument says that its holder is lost.
			otherRange := grant.Range{From: 5, To: 9}
			So(estimator.EstimateReopening(at(100), "s", otherRange, false).Median, ShouldEqual, defaultLostTime)
		})
	})
	Convey("Closed periods of lost holders are estimated from earlier ones of lost holders", t, func() {
		estimator := New()
		observeClosedPeriods(estimator, true, 3.4, 3.5, 3.6)
		estimator.Observe(at(100), newTable(true), func(grant.Holder) bool { return false })
		So(estimator.EstimateReopening(at(101), "s", newTable(true).Services[0].Ranges[0], false).Median, ShouldEqual, 2500*time.Millisecond)
	})
}

// Guards against callers who are held, or asked to come back at once again and again, for a range that
// cannot be moved while its holder must not be used.
func TestOpenRangeOfUnusableHolder(t *testing.T) {
	Convey("The longer it lasts, the longer it is expected to last, until the range has another holder", t, func() {
		estimator := New()
		observeClosedPeriods(estimator, false, 0.1, 0.1, 0.2)
		r := newTable(false).Services[0].Ranges[0]
		estimator.ObserveUnusable(at(10), []grant.Holder{r.Holder})
		estimator.ObserveUnusable(at(12), []grant.Holder{r.Holder, {Server: "c"}})
		So(estimator.EstimateReopening(at(14), "s", r, true).Median, ShouldEqual, 2*time.Second)
		r.Holder.Server = "b"
		So(estimator.EstimateReopening(at(14), "s", r, true).Median, ShouldEqual, 100*time.Millisecond)
	})
	Convey("A holder that may be used again counts no more", t, func() {
		estimator, r := New(), newTable(false).Services[0].Ranges[0]
		estimator.ObserveUnusable(at(10), []grant.Holder{r.Holder})
		estimator.ObserveUnusable(at(12), nil)
		So(estimator.EstimateReopening(at(20), "s", r, true).Median, ShouldEqual, defaultReleaseTime)
	})
}

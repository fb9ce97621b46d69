package gaps

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func table(closed bool) grant.Table {
	g := grant.Range{From: 0, To: grant.LastKey, Holder: grant.Holder{Server: "a"}}
	if closed {
		g.Next = grant.Holder{Server: "b"}
	}
	return grant.Table{Services: []grant.ServiceRanges{{Service: "s", Ranges: []grant.Range{g}}}}
}

// closures plays ranges that were closed for so long, one after the other.
func closures(m *Estimator, lost bool, seconds ...float64) {
	now := 0.0
	for _, s := range seconds {
		m.Observe(at(now), table(true), func(grant.Holder) bool { return !lost })
		m.Observe(at(now+s), table(false), func(grant.Holder) bool { return !lost })
		now += s + 1
	}
}

// Guards against callers that are asked back before their key's range is open.
func TestOpensAsBefore(t *testing.T) {
	Convey("A range opens when others of its service did", t, func() {
		m := New()
		closures(m, false, 0.4, 0.8, 0.9, 1.0, 2.0)
		m.Observe(at(100), table(true), func(grant.Holder) bool { return true })
		g := table(true).Services[0].Ranges[0]
		e := m.EstimateOpening(at(100), "s", g, true)
		So(e.Median, ShouldEqual, 900*time.Millisecond)
		So(e.P90, ShouldEqual, 2*time.Second)
		Convey("One that has been closed for a while is compared with those that lasted as long", func() {
			e := m.EstimateOpening(at(100.85), "s", g, true)
			So(e.Median, ShouldAlmostEqual, 150*time.Millisecond, time.Millisecond)
		})
		Convey("One that lasts longer than any before may last much longer", func() {
			So(m.EstimateOpening(at(104), "s", g, true).Median, ShouldEqual, 2*time.Second)
		})
		Convey("Other services and lost holders are not judged by it", func() {
			So(m.EstimateOpening(at(100), "t", g, true).Median, ShouldEqual, defaultReleaseTime)
			other := grant.Range{From: 5, To: 9}
			So(m.EstimateOpening(at(100), "s", other, false).Median, ShouldEqual, defaultLostTime)
		})
	})
	Convey("The grants of lost holders run out for longer", t, func() {
		m := New()
		closures(m, true, 3.4, 3.5, 3.6)
		m.Observe(at(100), table(true), func(grant.Holder) bool { return false })
		So(m.EstimateOpening(at(101), "s", table(true).Services[0].Ranges[0], false).Median, ShouldEqual, 2500*time.Millisecond)
	})
}

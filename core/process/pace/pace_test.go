package pace

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFactors(t *testing.T) {
	Convey("A server of which little is known counts as nearly usual", t, func() {
		b := New()
		b.Add("a", Finding{Factor: 3, Answers: 1})
		b.Add("b", Finding{})
		So(b.Factors()["a"], ShouldBeBetween, 1, 1.5)
		So(b.Factors(), ShouldNotContainKey, "b")
	})
	Convey("Findings count by their answers, together or one after the other", t, func() {
		one, two := Finding{Factor: 1, Answers: 30}, Finding{Factor: 4, Answers: 10}
		apart, together := New(), New()
		apart.Add("a", one)
		apart.Add("a", two)
		together.Add("a", one.With(two))
		So(one.With(two).Factor, ShouldEqual, 1.75)
		So(apart.Factors()["a"], ShouldAlmostEqual, together.Factors()["a"], 1e-9)
		So(Finding{}.With(one), ShouldResemble, one)
	})
	Convey("What left is forgotten", t, func() {
		b := New()
		b.Add("a", Finding{Factor: 2, Answers: 9})
		b.Add("b", Finding{Factor: 2, Answers: 9})
		b.Keep(func(server string) bool { return server == "b" })
		So(b.Factors(), ShouldNotContainKey, "a")
		So(b.Factors(), ShouldContainKey, "b")
	})
}

// Guards against a slowed holder that no daemon hears from often enough to notice.
func TestSlowedHolderIsNoticedByAllTogether(t *testing.T) {
	Convey("A minute's answers tell, however many daemons got them", t, func() {
		for _, daemons := range []int{4, 200, 1500} {
			Convey(fmt.Sprintf("%d daemons", daemons), func() {
				b := New()
				for range 20 * daemons { // each heard it at usual speed before
					b.Add("a", Finding{Factor: 1, Answers: 1})
				}
				const perSecond = 5
				for range 60 * perSecond {
					b.Add("a", Finding{Factor: 4, Answers: 1})
				}
				So(b.Factors()["a"], ShouldBeGreaterThan, 3)
			})
		}
	})
	Convey("A moment's do not", t, func() {
		b := New()
		for range 300 {
			b.Add("a", Finding{Factor: 1, Answers: 1})
		}
		for range 5 {
			b.Add("a", Finding{Factor: 4, Answers: 1})
		}
		So(b.Factors()["a"], ShouldBeLessThan, 1.2)
	})
}

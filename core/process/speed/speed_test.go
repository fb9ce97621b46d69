package speed

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlowdowns(t *testing.T) {
	Convey("A server with few responses gets a slowdown near 1", t, func() {
		e := New()
		e.Add("a", Sample{Slowdown: 3, Responses: 1})
		e.Add("b", Sample{})
		So(e.Slowdowns()["a"], ShouldBeBetween, 1, 1.5)
		So(e.Slowdowns(), ShouldNotContainKey, "b")
	})
	Convey("Samples are weighted by their responses, whether added together or one after another", t, func() {
		one, two := Sample{Slowdown: 1, Responses: 30}, Sample{Slowdown: 4, Responses: 10}
		apart, together := New(), New()
		apart.Add("a", one)
		apart.Add("a", two)
		together.Add("a", one.With(two))
		So(one.With(two).Slowdown, ShouldEqual, 1.75)
		So(apart.Slowdowns()["a"], ShouldAlmostEqual, together.Slowdowns()["a"], 1e-9)
		So(Sample{}.With(one), ShouldResemble, one)
	})
	Convey("Retain removes the servers for which keep returns false", t, func() {
		e := New()
		e.Add("a", Sample{Slowdown: 2, Responses: 9})
		e.Add("b", Sample{Slowdown: 2, Responses: 9})
		e.Retain(func(server string) bool { return server == "b" })
		So(e.Slowdowns(), ShouldNotContainKey, "a")
		So(e.Slowdowns(), ShouldContainKey, "b")
	})
}

// Guards against a slow server that goes unnoticed because each daemon gets too few responses from it.
func TestCombinedSamplesShowSlowServer(t *testing.T) {
	Convey("The responses of a minute show that a server has become slow, however many daemons got them", t, func() {
		for _, daemons := range []int{4, 200, 1500} {
			Convey(fmt.Sprintf("%d daemons", daemons), func() {
				e := New()
				for range 20 * daemons { // each daemon measured the typical speed before
					e.Add("a", Sample{Slowdown: 1, Responses: 1})
				}
				const perSecond = 5
				for range 60 * perSecond {
					e.Add("a", Sample{Slowdown: 4, Responses: 1})
				}
				So(e.Slowdowns()["a"], ShouldBeGreaterThan, 3)
			})
		}
	})
	Convey("A few slow responses hardly change the slowdown of a server", t, func() {
		e := New()
		for range 300 {
			e.Add("a", Sample{Slowdown: 1, Responses: 1})
		}
		for range 5 {
			e.Add("a", Sample{Slowdown: 4, Responses: 1})
		}
		So(e.Slowdowns()["a"], ShouldBeLessThan, 1.2)
	})
}

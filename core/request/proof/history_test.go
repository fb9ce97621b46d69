package proof

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against a promise to a caller whose request may have run: an attempt that proves nothing counts
// for good, whatever the later ones prove, and one that has not ended counts as well.
func TestHistoryProvesOnlyWhatAllAttemptsProve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grounds := rapid.SliceOf(rapid.SampledFrom([]Ground{None, Unsent, Declined, Carrier, "", "unknown"})).Draw(t, "grounds")
		h, unproved := History{}, 0
		for _, g := range grounds {
			h = h.WithBegun()
			if h.NotRun().Holds() {
				t.Fatal("an attempt that has not ended is no proof")
			}
			h = h.WithEnded(g)
			if g != Unsent && g != Declined && g != Carrier {
				unproved++
			}
			if h.NotRun().Holds() != (unproved == 0) || h.MaybeRan() != (unproved > 0) || h.Unproved() != unproved {
				t.Fatalf("%d attempts without proof, and %+v", unproved, h)
			}
		}
	})
	Convey("A request of which nothing was sent has not run; a NotRun that nobody made proves nothing", t, func() {
		So(History{}.NotRun().Holds(), ShouldBeTrue)
		So(NotRun{}.Holds(), ShouldBeFalse)
	})
}

// Guards against statuses that callers take for a promise and that are passed on without proof.
func TestStatusesThatPromise(t *testing.T) {
	Convey("Four statuses promise that a request has not run", t, func() {
		var promising []int
		for status := 100; status < 600; status++ {
			if Promises(status) {
				promising = append(promising, status)
			}
		}
		So(promising, ShouldResemble, []int{408, 421, 429, 503})
	})
}

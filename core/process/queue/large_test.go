package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a leader that runs out of memory or time because one server says that it has very many slots.
func TestVeryManySlots(t *testing.T) {
	Convey("The model of a server stays small, whatever it says", t, func() {
		for _, slots := range []int{1 << 16, 1_000_000, 1 << 40, int(^uint(0) >> 1)} {
			var s Server
			allocated := testing.AllocsPerRun(1, func() { s = New(slots, 0.1, 0.5, 0) })
			So(allocated, ShouldBeLessThan, 100)
			So(len(s.lateShares), ShouldBeLessThanOrEqualTo, maxModelSlots*maxRequestsPerSlot)
			So(s.LostRate(float64(slots)*5), ShouldBeLessThan, float64(slots)*0.5)
			So(s.LostRate(float64(slots)*20), ShouldBeGreaterThan, float64(slots)*5)
		}
	})
	Convey("A server with more slots than the model has loses about as large a part at the same load of each", t, func() {
		for _, perSlot := range []float64{2, 8, 9.5, 11, 20} {
			largest, larger := New(maxModelSlots, 0.1, 0.5, 0), New(8*maxModelSlots, 0.1, 0.5, 0)
			So(larger.LostRate(perSlot*8*maxModelSlots)/8, ShouldAlmostEqual, largest.LostRate(perSlot*maxModelSlots), 1e-6*perSlot*maxModelSlots)
		}
	})
}

package crash

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that crashes one server after another.
func TestCrashingRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A request is refused from the threshold on, until the retention time has passed", t, func() {
		s := New(2, time.Minute)
		So(s.RecordLoss(now, 7, "a"), ShouldBeTrue)
		So(s.RecordLoss(now, 7, "a"), ShouldBeFalse)
		So(s.ShouldRefuse(now, 7), ShouldBeFalse)
		s.RecordLoss(now, 7, "b")
		So(s.ShouldRefuse(now, 7), ShouldBeTrue)
		So(s.ShouldRefuse(now.Add(2*time.Minute), 7), ShouldBeFalse)
	})
}

// Guards against a frequent request that is refused because servers were lost for other reasons
// while it may have been running there.
func TestFrequentRequestIsNotSuspected(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A response clears the request", t, func() {
		s := New(2, time.Minute)
		s.RecordLoss(now, 7, "a")
		So(s.RecordResponse(7), ShouldBeTrue)
		s.RecordLoss(now, 7, "b")
		So(s.ShouldRefuse(now, 7), ShouldBeFalse)
		So(s.RecordResponse(8), ShouldBeFalse)
	})
}

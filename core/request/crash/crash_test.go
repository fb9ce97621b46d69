package crash

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A request brings down each server that runs it, and its caller sends it again
// with a new id each time. After two servers it is refused.
func TestCrashingRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("It is refused after the bound, and remembered for a time", t, func() {
		s := New(2, time.Minute)
		So(s.Lost(now, 7, "a"), ShouldBeTrue)
		So(s.Lost(now, 7, "a"), ShouldBeFalse)
		So(s.Refused(now, 7), ShouldBeFalse)
		s.Lost(now, 7, "b")
		So(s.Refused(now, 7), ShouldBeTrue)
		So(s.Refused(now.Add(2*time.Minute), 7), ShouldBeFalse)
	})
}

// A popular lookup is under way whenever a server is lost, for whatever reason.
// After two losses its callers were refused for ten minutes, though it had been
// answered thousands of times in between.
func TestPopularLookupIsNoSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("An answer ends the suspicion", t, func() {
		s := New(2, time.Minute)
		s.Lost(now, 7, "a")
		So(s.Answered(7), ShouldBeTrue)
		s.Lost(now, 7, "b")
		So(s.Refused(now, 7), ShouldBeFalse)
		So(s.Answered(8), ShouldBeFalse)
	})
}

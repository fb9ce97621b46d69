package crash

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that brings down one server after the other.
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

// Guards against a popular lookup that is refused since servers were lost while it ran.
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

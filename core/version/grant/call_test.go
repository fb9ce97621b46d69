package grant

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against keys that are granted to a second server while the first one is alive: the status of a
// faulty response was taken for the end of its instance.
func TestOnlyTheStatementEndsAnInstance(t *testing.T) {
	Convey("A status without the statement leaves the outcome unknown", t, func() {
		So(ResultOfRefusal(false, true), ShouldEqual, OutcomeUnknown)
		So(ResultOfRefusal(false, false), ShouldEqual, OutcomeUnknown)
		So(ResultOfRefusal(true, true), ShouldEqual, Ended)
		So(ResultOfRefusal(true, false), ShouldEqual, NotSent)
	})
}

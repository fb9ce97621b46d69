package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/io/connection/link"
)

// A caller complains of a late answer. The line in the log says which of four
// things made it late, by what the server reported with the answer.
func TestLateReason(t *testing.T) {
	Convey("Each is named", t, func() {
		So(lateReason(2, &link.Load{Waiting: 3}), ShouldEqual, lateRepeated)
		So(lateReason(1, &link.Load{Running: 2, Waiting: 3, Slots: 4}), ShouldEqual, lateWaited)
		So(lateReason(1, &link.Load{Running: 4, Slots: 4}), ShouldEqual, lateWaited)
		So(lateReason(1, &link.Load{Running: 1, Slots: 4, Pace: 3}), ShouldEqual, lateSlow)
		So(lateReason(1, &link.Load{Running: 1, Slots: 4, Pace: 1}), ShouldEqual, lateLong)
		So(lateReason(1, nil), ShouldEqual, lateLong)
	})
}

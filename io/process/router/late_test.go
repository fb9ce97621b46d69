package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/io/connection/link"
)

// Guards against a late answer whose reason the log does not tell.
func TestLateReason(t *testing.T) {
	Convey("Each is named", t, func() {
		So(lateReason(2, &link.Load{Waiting: 3}), ShouldEqual, lateRepeated)
		So(lateReason(1, &link.Load{Running: 2, Waiting: 3, Slots: 4}), ShouldEqual, lateWaited)
		So(lateReason(1, &link.Load{Running: 4, Slots: 4}), ShouldEqual, lateWaited)
		So(lateReason(1, &link.Load{Running: 1, Slots: 4, Slowdown: 3}), ShouldEqual, lateSlow)
		So(lateReason(1, &link.Load{Running: 1, Slots: 4, Slowdown: 1}), ShouldEqual, lateLong)
		So(lateReason(1, nil), ShouldEqual, lateLong)
	})
}

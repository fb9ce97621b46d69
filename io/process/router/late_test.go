package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/io/connection/link"
)

// Guards against late responses that are logged with a wrong reason or without one.
func TestLateReason(t *testing.T) {
	Convey("Each reason is recognised", t, func() {
		So(lateReason(2, &link.Load{Waiting: 3}), ShouldEqual, lateRetried)
		So(lateReason(1, &link.Load{Running: 2, Waiting: 3, Slots: 4}), ShouldEqual, lateQueued)
		So(lateReason(1, &link.Load{Running: 4, Slots: 4}), ShouldEqual, lateQueued)
		So(lateReason(1, &link.Load{Running: 1, Slots: 4, Slowdown: 3}), ShouldEqual, lateSlowServer)
		So(lateReason(1, &link.Load{Running: 1, Slots: 4, Slowdown: 1}), ShouldEqual, lateLongWork)
		So(lateReason(1, nil), ShouldEqual, lateLongWork)
	})
}

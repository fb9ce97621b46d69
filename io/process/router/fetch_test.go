package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against changes that arrive seconds late because they were requested from one busy
// daemon, while other daemons have them.
func TestSlowFetchIsSentToASecondDaemon(t *testing.T) {
	Convey("A fetch that takes long is sent to a second daemon, but not to a third", t, func() {
		f := pendingFetches{}
		So(f.begin(t0, "servers", "slow"), ShouldBeTrue)
		So(f.begin(t0, "config", "slow"), ShouldBeTrue)
		So(f.begin(t0.Add(slowFetchThreshold-time.Millisecond), "servers", "other"), ShouldBeFalse)
		So(f.begin(t0.Add(slowFetchThreshold), "servers", "slow"), ShouldBeFalse)
		So(f.begin(t0.Add(slowFetchThreshold), "servers", "other"), ShouldBeTrue)
		So(f.begin(t0.Add(time.Hour), "servers", "third"), ShouldBeFalse)
		f.end("servers", "other")
		So(f.begin(t0.Add(time.Hour), "servers", "third"), ShouldBeTrue)
		f.end("servers", "slow")
		f.end("servers", "third")
		So(f.begin(t0, "servers", "slow"), ShouldBeTrue)
	})
}

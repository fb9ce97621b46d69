package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against news that waits for a busy daemon's answer for seconds, while others have it.
func TestAnotherDaemonIsAskedWhenOneIsSlow(t *testing.T) {
	Convey("A second one is asked after a while, and no third", t, func() {
		f := fetches{}
		So(f.begin(t0, "servers", "slow"), ShouldBeTrue)
		So(f.begin(t0, "config", "slow"), ShouldBeTrue)
		So(f.begin(t0.Add(fetchPatience-time.Millisecond), "servers", "other"), ShouldBeFalse)
		So(f.begin(t0.Add(fetchPatience), "servers", "slow"), ShouldBeFalse)
		So(f.begin(t0.Add(fetchPatience), "servers", "other"), ShouldBeTrue)
		So(f.begin(t0.Add(time.Hour), "servers", "third"), ShouldBeFalse)
		f.end("servers", "other")
		So(f.begin(t0.Add(time.Hour), "servers", "third"), ShouldBeTrue)
		f.end("servers", "slow")
		f.end("servers", "third")
		So(f.begin(t0, "servers", "slow"), ShouldBeTrue)
	})
}

package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against servers that are avoided for seconds after the links to all of them are back.
func TestFailuresOfACutAreForgotten(t *testing.T) {
	Convey("Servers that refused, failed or did not answer are used at once, and those that are cold stay so", t, func() {
		b, all := newBalancer(), servers(4)
		cold := all[3]
		cold.ColdLeft = 3 * time.Second
		b.SetCold(t0, cold)
		for _, outcome := range []Outcome{ConnectionRefused, ConnectFailed, Failed, Failed, Failed, Failed} {
			for _, s := range all {
				runRequest(b, t0, s, time.Millisecond, outcome)
			}
		}
		now := t0.Add(2 * time.Millisecond)
		So(b.Choose(now, requirements(now), all).Refused(), ShouldBeTrue)
		b.ForgetFailures()
		for _, s := range all[:3] {
			So(b.Evaluate(now, requirements(now), s).Reason, ShouldEqual, Reason(""))
		}
		So(b.Evaluate(now, requirements(now), cold).Reason, ShouldEqual, ColdServer)
	})
}

// Guards against a host whose connections all hang, and which has none that fails.
func TestSilence(t *testing.T) {
	Convey("Servers are silent when several requests wait and none gets a response", t, func() {
		b, all := newBalancer(), servers(3)
		runRequest(b, t0, all[0], time.Millisecond, Answered)
		for _, s := range all {
			b.Begin(t0, s, requirements(t0))
		}
		So(b.Silent(t0.Add(silentTime/2)), ShouldBeFalse)
		So(b.Silent(t0.Add(2*silentTime)), ShouldBeTrue)
		b.End(t0.Add(2*silentTime), all[0], requirements(t0), t0, Answered, nil)
		So(b.Silent(t0.Add(2*silentTime)), ShouldBeFalse)
		So(b.AnsweredSince("s0", t0.Add(silentTime)), ShouldBeTrue)
		So(b.AnsweredSince("s1", t0), ShouldBeFalse)
		So(b.AnsweredSince("gone", t0), ShouldBeFalse)
	})
}

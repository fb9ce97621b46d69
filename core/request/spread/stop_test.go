package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against requests that are sent shortly before their daemon ends, and are cut then.
func TestRequestsBeforeTheDaemonEnds(t *testing.T) {
	choose := func(left, deadline time.Duration) Choice {
		b, all := newBalancer(), servers(2)
		for range 50 {
			runRequest(b, t0, all[0], 100*time.Millisecond, Answered)
		}
		now := t0.Add(time.Second)
		req := requirements(now)
		req.AnswerBy, req.Deadline = now.Add(left), now.Add(deadline)
		choice := b.Evaluate(now, req, all[0])
		So(b.Choose(now, req, all).Reason, ShouldEqual, choice.Reason)
		return choice
	}
	Convey("One that can be expected to end in time is sent", t, func() {
		So(choose(200*time.Millisecond, time.Second).Refused(), ShouldBeFalse)
	})
	Convey("One that cannot is refused, and may come to another daemon at once", t, func() {
		for _, left := range []time.Duration{120 * time.Millisecond, 10 * time.Millisecond, 0, -time.Second} {
			choice := choose(left, time.Second)
			So(choice.Reason, ShouldEqual, DaemonStops)
			So(choice.RetryAfter, ShouldBeLessThan, 2*minRetryAfter)
		}
	})
	Convey("One whose deadline comes before the end is sent: its caller gets a reply in any case", t, func() {
		So(choose(120*time.Millisecond, 110*time.Millisecond).Refused(), ShouldBeFalse)
	})
}

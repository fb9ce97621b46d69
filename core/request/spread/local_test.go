package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/fleet"
)

// Guards against traffic between data centres that no caller gains by: local servers are busy, but
// responses would be in time after a short queue.
func TestShortLocalQueueIsPreferred(t *testing.T) {
	local, remote := servers(1)[0], fleet.Server{ID: "r0", Service: "s", DataCentre: "y", Slots: 4, StartMillis: 1}
	chosen := func(inFlight int) string {
		b := newBalancer()
		for i := range 30 {
			runRequest(b, t0.Add(time.Duration(i)*time.Second), local, 100*time.Millisecond, Answered)
		}
		now := t0.Add(time.Minute)
		for range inFlight {
			b.Begin(now, local, requirements(now))
		}
		return b.Choose(now, requirements(now), []fleet.Server{local, remote}).Server.ID
	}
	Convey("A request waits at a local server as long as it is surely in time, and crosses otherwise", t, func() {
		So(chosen(8), ShouldEqual, local.ID)  // 225 ms expected of 400 ms
		So(chosen(9), ShouldEqual, remote.ID) // 250 ms
	})
}

// Guards against uploads that are sent to another data centre as readily as lookups, although their bodies
// use a thousand times the bandwidth. It answers waves of demand that are out of phase between
// data centres.
func TestLargeBodiesStayLocal(t *testing.T) {
	local, remote := servers(1)[0], fleet.Server{ID: "r0", Service: "s", DataCentre: "y", Slots: 4, StartMillis: 1}
	choose := func(bodyBytes, inFlight int) Choice {
		b, now := newBalancer(), t0
		for i := range 20 {
			runRequest(b, t0.Add(time.Duration(i)*time.Second), []fleet.Server{local, remote}[i%2], 100*time.Millisecond, Answered)
		}
		now = now.Add(time.Minute)
		req := requirements(now)
		req.BodyBytes = bodyBytes
		for range inFlight {
			b.Begin(now, local, req)
		}
		return b.Choose(now, req, []fleet.Server{local, remote})
	}
	Convey("Where the local queue grows, a small body crosses to an idle data centre, and a large one waits", t, func() {
		So(choose(1000, 9).Server.ID, ShouldEqual, remote.ID)
		So(choose(60<<10, 9).Server.ID, ShouldEqual, local.ID)
	})
	Convey("A large body crosses where the local queue is too long for an answer in time", t, func() {
		c := choose(60<<10, 30)
		So(c.Refused(), ShouldBeFalse)
		So(c.Server.ID, ShouldEqual, remote.ID)
	})
}

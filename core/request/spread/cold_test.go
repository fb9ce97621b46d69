package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against more requests than a cold server can handle: the late end of a request to its
// earlier instance made the daemon forget that the server had just started.
func TestLateEndKeepsRestartedServerCold(t *testing.T) {
	earlier := servers(1)[0]
	restarted := earlier
	restarted.StartMillis, restarted.ColdLeft = 2, 3*time.Second
	Convey("A server stays cold when a request to its earlier instance ends or begins", t, func() {
		b := newBalancer()
		b.Begin(t0, earlier, requirements(t0))
		b.SetCold(t0, restarted)
		b.End(t0.Add(time.Millisecond), earlier, requirements(t0), t0, Failed, nil)
		So(b.Evaluate(t0.Add(time.Millisecond), requirements(t0), restarted).Reason, ShouldEqual, ColdServer)
		So(b.Evaluate(t0.Add(time.Millisecond), requirements(t0), earlier).Reason, ShouldEqual, ColdServer)
		So(b.servers[earlier.ID].inFlight, ShouldEqual, 0)
		So(b.servers[earlier.ID].failureRate, ShouldEqual, 0)
	})
	Convey("A server whose clock was set back before the restart is cold as well", t, func() {
		b := newBalancer()
		b.SetCold(t0, restarted)
		earlier.ColdLeft = 5 * time.Second
		b.SetCold(t0, earlier)
		So(b.servers[earlier.ID].startMillis, ShouldEqual, 1)
		So(b.servers[earlier.ID].coldUntil, ShouldEqual, t0.Add(5*time.Second))
	})
}

// Guards against refusing the first requests to servers that come into use together: a daemon
// that sent them nothing yet has its whole burst left.
func TestServerComesIntoUse(t *testing.T) {
	Convey("A server that was out of use gets the burst at once, and no second one", t, func() {
		b, server := newBalancer(), servers(1)[0]
		takeAll := func() (taken int) {
			for b.Evaluate(t0, requirements(t0), server).Reason != ColdServer {
				b.Begin(t0, server, requirements(t0))
				taken++
			}
			return taken
		}
		b.AssumeCold(server, t0.Add(time.Minute))
		limit := b.coldRateLimit(service, server.ID)
		So(takeAll(), ShouldEqual, int(limit.Burst))
		b.AssumeCold(server, t0.Add(time.Minute))
		So(takeAll(), ShouldEqual, 0)
	})
}

// Guards against more connections than a server accepts, from daemons that all have just started.
func TestConnectionsOfNewDaemon(t *testing.T) {
	Convey("A daemon that does not know the others has one connection to a server", t, func() {
		limited := service
		limited.MaxConnections = 100
		b := New(1, Limits{}.WithMembers(Members{Self: "a"}))
		So(b.connectionShare(limited), ShouldEqual, 1)
		b.SetLimits(Limits{}.WithMembers(Members{Self: "a", Others: []string{"b", "c"}, Complete: true}))
		So(b.connectionShare(limited), ShouldEqual, 30)
	})
}

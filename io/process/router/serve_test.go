package router

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/io/connection/link"
)

// A server forgets an idle connection in the moment in which a request is written
// to it. Taken for out of reach, the holder of a key would get no requests for the
// third of a second after that, although it is idle.
func TestOnlyALackOfConnectionsIsSilence(t *testing.T) {
	failed := func(k link.Kind) spread.Outcome {
		return outcome(context.Background(), nil, &link.Error{Op: "do", Kind: k, Err: errors.New("broken pipe")})
	}
	Convey("A write that fails says nothing of the way to the server", t, func() {
		So(failed(link.NoWay), ShouldEqual, spread.Silent)
		So(failed(link.NotSent), ShouldEqual, spread.Failed)
		So(failed(link.Refused), ShouldEqual, spread.Unreachable)
	})
}

// A key moves because its holder drains, or because it is lost. In the first case it
// is served again within the time that a request takes, and callers who come back
// later have missed it; in the second one they would only be refused again.
func TestTimeToComeBack(t *testing.T) {
	Convey("Callers of a planned move come back soon, those of a lost holder later", t, func() {
		So(opensIn(true), ShouldBeBetweenOrEqual, minRetry, 150*time.Millisecond)
		So(opensIn(false), ShouldBeGreaterThanOrEqualTo, 2*opensIn(true))
	})
}

// The leader judges servers by whether requests are answered within their aims. It
// learns the aims with the counts; without them no server would lose anything.
func TestCountsBearWorkAndAim(t *testing.T) {
	Convey("Each request adds its work and its aim", t, func() {
		r := still()
		o := &order{service: config.Service{Name: "s", Keyed: true}, key: 7, route: config.Route{Aim: 300 * time.Millisecond},
			need: spread.Need{Route: "look", Aim: 300 * time.Millisecond}}
		r.count(o)
		r.count(o)
		heat, _ := r.takeHeat(nil)
		So(heat, ShouldHaveLength, 1)
		So(heat[0].Requests, ShouldEqual, 2)
		So(heat[0].AimMillis, ShouldEqual, 600)
		So(heat[0].WorkMillis, ShouldBeGreaterThan, 0)
	})
}

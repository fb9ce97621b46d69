package router

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/link"
)

// Guards against an idle holder that is left alone since it forgot a connection.
func TestOnlyALackOfConnectionsIsSilence(t *testing.T) {
	failed := func(k link.Kind) spread.Outcome {
		return outcome(context.Background(), nil, &link.Error{Op: "do", Kind: k, Err: errors.New("broken pipe")})
	}
	Convey("A write that fails says nothing of the way to the server", t, func() {
		So(failed(link.NoWay), ShouldEqual, spread.ConnectFailed)
		So(failed(link.NotSent), ShouldEqual, spread.Failed)
		So(failed(link.Refused), ShouldEqual, spread.ConnectionRefused)
		reset := &link.Error{Op: "read", Kind: link.Unsure, Err: syscall.ECONNRESET}
		So(outcome(context.Background(), nil, reset), ShouldEqual, spread.ConnectionReset)
		reset.Kept = true
		So(outcome(context.Background(), nil, reset), ShouldEqual, spread.Failed)
	})
}

// Guards against counts by which no server would lose anything.
func TestCountsBearWorkAndAim(t *testing.T) {
	Convey("Each request adds its work and its aim", t, func() {
		r := newTestRouter()
		o := &order{service: config.Service{Name: "s", Keyed: true}, key: 7, route: config.Route{LatencyTarget: 300 * time.Millisecond},
			need: spread.Requirements{Route: "look", Aim: 300 * time.Millisecond}}
		r.count(o)
		r.count(o)
		heat, _ := r.takeHeat(nil, false)
		So(heat, ShouldHaveLength, 1)
		So(heat[0].Requests, ShouldEqual, 2)
		So(heat[0].AimMillis, ShouldEqual, 600)
		So(heat[0].WorkMillis, ShouldBeGreaterThan, 0)
	})
}

// Guards against a lookup that is refused as if its key moved, since its first answer was lost.
func TestHolderIsAskedAgain(t *testing.T) {
	Convey("The holder of a key stays the choice after an answer that was lost", t, func() {
		r := newTestRouter()
		r.updateServers(atSecond(1), 10, serverItem("a", 5))
		r.current.Store(r.current.Load().withTable(grant.Table{Epoch: 1, Services: []grant.ServiceRanges{{Service: "s", Ranges: []grant.Range{
			{From: 0, To: grant.LastKey, Holder: grant.Holder{Server: "a", StartMillis: 1, Address: "a"}}}}}}))
		now := time.Now()
		o := &order{service: config.Service{Name: "s", Keyed: true}, key: 7, route: config.Route{Idempotent: true, MaxAttempts: 2, LatencyTarget: time.Second},
			need: spread.Requirements{Route: "look", Aim: time.Second, ReceivedAt: now, Deadline: now.Add(3 * time.Second), LocalDataCentre: "x"}}
		v, c := r.owner(r.current.Load(), o, now)
		So(c.Refused(), ShouldBeFalse)
		So(v.ID, ShouldEqual, "a")
		later := now.Add(600 * time.Millisecond) // it ran, and its answer was lost
		r.spread.End(later, v, o.need, o.began, spread.Failed, nil)
		o.failedAt(v, nil)
		v, c = r.owner(r.current.Load(), o, later)
		So(c.Refused(), ShouldBeFalse)
		So(v.ID, ShouldEqual, "a")
	})
	Convey("An unkeyed request goes elsewhere, unless the server only declined", t, func() {
		o, v := &order{key: -1}, fleet.Server{ID: "a"}
		o.failedAt(v, &link.Answer{NotRun: true, Status: 503, Load: &link.Load{Running: 1, Slots: 3}})
		So(o.need.Excluded, ShouldBeEmpty)
		o.failedAt(v, nil)
		So(o.need.Excluded, ShouldResemble, []string{"a"})
	})
}

// Guards against a request that goes on crashing servers, the same one or the next.
func TestCrashesAreHeeded(t *testing.T) {
	crashed := func(servers ...string) (*Router, *order) {
		r, o := newTestRouter(), lookup(time.Second)
		o.route.MaxAttempts = 9
		for _, s := range servers {
			r.lost(o, s)
		}
		return r, o
	}
	Convey("The next request of the same content turns to other servers", t, func() {
		r, _ := crashed("a", "b")
		next := lookup(time.Second)
		So(r.crashes(next), ShouldBeFalse)
		So(next.need.LastResort, ShouldResemble, []string{"a", "b"})
	})
	Convey("After the last loss that is allowed it is not sent again", t, func() {
		r, o := crashed("a", "b")
		So(r.tried(o, false).Retryable(), ShouldBeTrue)
		r, o = crashed("a", "b", "c")
		So(r.tried(o, false).Retryable(), ShouldBeFalse)
	})
}

// Guards against a new leader that takes slowed holders for usual ones until they answer again.
func TestNewLeaderLearnsThePaces(t *testing.T) {
	Convey("Each server is reported once, and what is new after that", t, func() {
		r := newTestRouter()
		leads := func(epoch uint64) {
			r.current.Store(r.current.Load().withConfig(config.Config{Services: []config.Service{{Name: "s", Keyed: true}}}).withTable(grant.Table{Epoch: epoch}))
		}
		leads(1)
		r.updateServers(atSecond(1), 10, serverItem("a", 5))
		v, _ := r.current.Load().fleet.Find("a")
		n := spread.Requirements{Route: "look", Aim: time.Second, LocalDataCentre: "x"}
		r.spread.Begin(t0, v, n)
		r.spread.End(t0, v, n, t0, spread.Answered, &spread.Report{Running: 1, Slots: 3, Slowdown: 4})
		r.control.keeper = keeper.New(t0, grant.Table{Epoch: 1}, 1)
		slow := func(at float64) bool {
			r.control.loadStats = newHeats()
			r.control.sendHeat(atSecond(at), true)
			return r.control.loadStats.paces.Factors()["a"] > 1
		}
		So(slow(10), ShouldBeTrue)
		So(slow(20), ShouldBeFalse)
		leads(2)
		So(slow(30), ShouldBeTrue)
	})
}

// Guards against reports that are dropped since they tell of answers only.
func TestAnswersAloneAreReported(t *testing.T) {
	Convey("Paces without requests are passed on", t, func() {
		So(tellsCounts(&wire.Gossip{Paces: []*wire.Pace{{Server: "a"}}}), ShouldBeTrue)
		So(tellsCounts(&wire.Gossip{Heat: []*wire.Heat{{Service: "s"}}}), ShouldBeTrue)
		So(tellsCounts(&wire.Gossip{}), ShouldBeFalse)
	})
}

// Guards against paces of servers that left, which would be kept for good.
func TestPacesOfGoneServersAreForgotten(t *testing.T) {
	Convey("Only listed servers are kept", t, func() {
		h := newHeats()
		h.add(&wire.Gossip{Paces: []*wire.Pace{{Server: "a", Factor: 4, Answers: 9}, {Server: "b", Factor: 4, Answers: 9}}})
		h.roll(t0, config.Config{}, fleet.New([]fleet.Server{{ID: "a", StartMillis: 1}}))
		So(h.paces.Factors(), ShouldContainKey, "a")
		So(h.paces.Factors(), ShouldNotContainKey, "b")
	})
}

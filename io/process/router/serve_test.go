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

// Guards against a healthy idle server that gets no requests because a reused connection broke:
// only a server to which no connection can be opened is unreachable.
func TestOutcomesOfLinkErrors(t *testing.T) {
	outcomeOf := func(k link.Kind) spread.Outcome {
		return attemptOutcome(context.Background(), nil, &link.Error{Op: "do", Kind: k, Err: errors.New("broken pipe")})
	}
	Convey("A failed write does not mean that the server is unreachable", t, func() {
		So(outcomeOf(link.ConnectFailed), ShouldEqual, spread.ConnectFailed)
		So(outcomeOf(link.NotSent), ShouldEqual, spread.Failed)
		So(outcomeOf(link.ConnectionRefused), ShouldEqual, spread.ConnectionRefused)
		reset := &link.Error{Op: "read", Kind: link.ConnectionLost, Err: syscall.ECONNRESET}
		So(attemptOutcome(context.Background(), nil, reset), ShouldEqual, spread.ConnectionReset)
		reset.ReusedConn = true
		So(attemptOutcome(context.Background(), nil, reset), ShouldEqual, spread.Failed)
	})
}

// Guards against counts without service times or latency targets, by which the leader would
// never move keys off a server.
func TestCountsIncludeServiceTimeAndLatencyTarget(t *testing.T) {
	Convey("Each request adds its service time and its latency target", t, func() {
		r := newTestRouter()
		req := &request{service: config.Service{Name: "s", Keyed: true}, key: 7, route: config.Route{LatencyTarget: 300 * time.Millisecond},
			requirements: spread.Requirements{Route: "look", LatencyTarget: 300 * time.Millisecond}}
		r.recordArrival(req)
		r.recordArrival(req)
		loads, _ := r.takeCounts(nil, false)
		So(loads, ShouldHaveLength, 1)
		So(loads[0].Requests, ShouldEqual, 2)
		So(loads[0].AimMillis, ShouldEqual, 600)
		So(loads[0].WorkMillis, ShouldBeGreaterThan, 0)
	})
}

// Guards against the refusal of a lookup whose first response was lost: if the only holder of
// its key were excluded, the request would be refused as if the key were moving.
func TestRetryGoesToTheSameHolder(t *testing.T) {
	Convey("The holder of a key is chosen again after a lost response", t, func() {
		r := newTestRouter()
		r.updateServers(atSecond(1), 10, serverItem("a", 5))
		r.current.Store(r.current.Load().withTable(grant.Table{Epoch: 1, Services: []grant.ServiceRanges{{Service: "s", Ranges: []grant.Range{
			{From: 0, To: grant.LastKey, Holder: grant.Holder{Server: "a", StartMillis: 1, Address: "a"}}}}}}))
		now := time.Now()
		req := &request{service: config.Service{Name: "s", Keyed: true}, key: 7, route: config.Route{Idempotent: true, MaxAttempts: 2, LatencyTarget: time.Second},
			requirements: spread.Requirements{Route: "look", LatencyTarget: time.Second, ReceivedAt: now, Deadline: now.Add(3 * time.Second), LocalDataCentre: "x"}}
		server, choice := r.chooseHolder(r.current.Load(), req, now)
		So(choice.Refused(), ShouldBeFalse)
		So(server.ID, ShouldEqual, "a")
		later := now.Add(600 * time.Millisecond) // the request ran, but its response was lost
		r.balancer.End(later, server, req.requirements, req.attemptStart, spread.Failed, nil)
		req.excludeFailed(server, nil)
		server, choice = r.chooseHolder(r.current.Load(), req, later)
		So(choice.Refused(), ShouldBeFalse)
		So(server.ID, ShouldEqual, "a")
	})
	Convey("A request without a key excludes the server, unless the server declined with free slots", t, func() {
		req, server := &request{key: -1}, fleet.Server{ID: "a"}
		req.excludeFailed(server, &link.Response{Declined: true, Status: 503, Load: &link.Load{Running: 1, Slots: 3}})
		So(req.requirements.Excluded, ShouldBeEmpty)
		So(req.attempts.declinedBy, ShouldResemble, []string{"a"})
		req.excludeFailed(server, nil)
		So(req.requirements.Excluded, ShouldResemble, []string{"a"})
	})
}

// Guards against a request that crashes one server after another, by the daemon's retries or
// because its caller submits it again.
func TestRequestsThatCrashServers(t *testing.T) {
	afterLosses := func(servers ...string) (*Router, *request) {
		r, req := newTestRouter(), lookupRequest(time.Second)
		req.route.MaxAttempts = 9
		for _, s := range servers {
			r.recordLoss(req, s)
		}
		return r, req
	}
	Convey("The next request with the same content avoids those servers", t, func() {
		r, _ := afterLosses("a", "b")
		next := lookupRequest(time.Second)
		So(r.checkCrashSuspect(next), ShouldBeFalse)
		So(next.attempts.lostServers, ShouldResemble, []string{"a", "b"})
	})
	Convey("At the threshold the request is not sent again", t, func() {
		r, req := afterLosses("a", "b")
		So(r.retryState(req, false).Retryable(), ShouldBeTrue)
		r, req = afterLosses("a", "b", "c")
		So(r.retryState(req, false).Retryable(), ShouldBeFalse)
	})
}

// Guards against a new leader that assumes the usual speed for slow holders until they respond
// again.
func TestNewLeaderReceivesAllSlowdowns(t *testing.T) {
	Convey("A leader gets each slowdown once, and a new leader gets all of them", t, func() {
		r := newTestRouter()
		setEpoch := func(epoch uint64) {
			r.current.Store(r.current.Load().withConfig(config.Config{Services: []config.Service{{Name: "s", Keyed: true}}}).withTable(grant.Table{Epoch: epoch}))
		}
		setEpoch(1)
		r.updateServers(atSecond(1), 10, serverItem("a", 5))
		server, _ := r.current.Load().fleet.Find("a")
		requirements := spread.Requirements{Route: "look", LatencyTarget: time.Second, LocalDataCentre: "x"}
		r.balancer.Begin(t0, server, requirements)
		r.balancer.End(t0, server, requirements, t0, spread.Answered, &spread.Report{Running: 1, Slots: 3, Slowdown: 4})
		r.control.keeper = keeper.New(t0, grant.Table{Epoch: 1}, 1)
		learnsSlowdown := func(at float64) bool {
			r.control.clusterCounts = newClusterCounts()
			r.control.sendCounts(atSecond(at), true)
			return r.control.clusterCounts.slowdowns.Slowdowns()["a"] > 1
		}
		So(learnsSlowdown(10), ShouldBeTrue)
		So(learnsSlowdown(20), ShouldBeFalse)
		setEpoch(2)
		So(learnsSlowdown(30), ShouldBeTrue)
	})
}

// Guards against dropping reports that contain only server statistics.
func TestServerStatsAreSentWithoutKeyCounts(t *testing.T) {
	Convey("Server statistics without request counts are sent", t, func() {
		So(hasCounts(&wire.Gossip{Paces: []*wire.Pace{{Server: "a"}}}), ShouldBeTrue)
		So(hasCounts(&wire.Gossip{Heat: []*wire.Heat{{Service: "s"}}}), ShouldBeTrue)
		So(hasCounts(&wire.Gossip{}), ShouldBeFalse)
	})
}

// Guards against keeping the slowdowns of removed servers forever.
func TestSlowdownsOfRemovedServersAreDropped(t *testing.T) {
	Convey("Only servers of the fleet are kept", t, func() {
		counts := newClusterCounts()
		counts.add(&wire.Gossip{Paces: []*wire.Pace{{Server: "a", Factor: 4, Answers: 9}, {Server: "b", Factor: 4, Answers: 9}}})
		counts.closeWindow(t0, config.Config{}, fleet.New([]fleet.Server{{ID: "a", StartMillis: 1}}), nil)
		So(counts.slowdowns.Slowdowns(), ShouldContainKey, "a")
		So(counts.slowdowns.Slowdowns(), ShouldNotContainKey, "b")
	})
}

// Guards against a booking that is sent twice to the same declining server while others, which
// declined nothing, are left (servers that decline everything for a while).
func TestDeclinedRequestGoesToAnotherServer(t *testing.T) {
	Convey("The next attempt goes to another server, and back only if there is no other", t, func() {
		r := newTestRouter()
		r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6))
		now := time.Now()
		req := &request{service: config.Service{Name: "s"}, key: -1, route: config.Route{MaxAttempts: 2, LatencyTarget: time.Second},
			requirements: spread.Requirements{Route: "book", LatencyTarget: time.Second, ReceivedAt: now, Deadline: now.Add(3 * time.Second), LocalDataCentre: "x"}}
		declined := &link.Response{Declined: true, Status: 503, Load: &link.Load{Running: 0, Slots: 3}}
		for _, other := range []string{"a", "b"} {
			for range 20 {
				req.attempts.declinedBy = nil
				req.excludeFailed(fleet.Server{ID: other}, declined)
				req.setLastResort()
				server, choice := r.chooseServer(req)
				So(choice.Refused(), ShouldBeFalse)
				So(server.ID, ShouldNotEqual, other)
				r.endUnsentAttempt(req, server, spread.Cancelled)
			}
		}
		req.excludeFailed(fleet.Server{ID: "a"}, declined)
		req.excludeFailed(fleet.Server{ID: "b"}, declined)
		req.setLastResort()
		_, choice := r.chooseServer(req)
		So(choice.Refused(), ShouldBeFalse)
	})
}

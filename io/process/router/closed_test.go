package router

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/caller"
)

// tableWithRange returns a table with a single range, which is closed or open.
func tableWithRange(seq uint64, closed bool) grant.Table {
	g := grant.Range{From: 0, To: grant.LastKey, Holder: grant.Holder{Server: "a", StartMillis: 1, Address: "a"}}
	if closed {
		g.Next = grant.Holder{Server: "b", StartMillis: 1, Address: "b"}
	}
	return grant.Table{Epoch: 1, Seq: seq, Services: []grant.ServiceRanges{{Service: "s", Ranges: []grant.Range{g}}}}
}

// lookupRequest returns an idempotent request for a key, with a latency target.
func lookupRequest(latencyTarget time.Duration) *request {
	now := time.Now()
	return &request{Request: caller.Request{ReadAt: now}, service: config.Service{Name: "s", Keyed: true}, key: 7,
		route: config.Route{Idempotent: true, MaxAttempts: 2, LatencyTarget: latencyTarget}, deadline: now.Add(2 * latencyTarget),
		requirements: spread.Requirements{Route: "look", LatencyTarget: latencyTarget, ReceivedAt: now, Deadline: now.Add(2 * latencyTarget), LocalDataCentre: "x"}}
}

// routerAfterMoves returns a router that has seen several moves of a range, each of which
// closed it for the given time.
func routerAfterMoves(closedFor time.Duration) *Router {
	r := newTestRouter()
	r.now = func() time.Time { return atSecond(100) }
	r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6))
	for i := range 9 {
		closedAt := atSecond(float64(2 + 10*i))
		r.control.applyTable(closedAt, tableWithRange(uint64(2*i+1), true))
		r.control.applyTable(closedAt.Add(closedFor), tableWithRange(uint64(2*i+2), false))
	}
	return r
}

// Guards against asking callers to retry before the range of their key opens, when they would be
// refused again.
func TestRetryAfterOfClosedRanges(t *testing.T) {
	Convey("During a planned move, callers retry after the usual duration of a move", t, func() {
		r := routerAfterMoves(900 * time.Millisecond)
		r.control.applyTable(atSecond(100), tableWithRange(90, true))
		_, choice := r.chooseHolder(r.current.Load(), lookupRequest(time.Second), time.Now())
		So(choice.Reason, ShouldEqual, reasonKeyMoving)
		So(choice.RetryAfter, ShouldEqual, 900*time.Millisecond)
	})
	Convey("After the loss of a holder, callers retry when its grant has expired", t, func() {
		r := newTestRouter()
		r.now = func() time.Time { return atSecond(100) }
		r.control.applyTable(atSecond(100), tableWithRange(90, true))
		_, choice := r.chooseHolder(r.current.Load(), lookupRequest(time.Second), time.Now())
		So(choice.RetryAfter, ShouldBeGreaterThan, 2*time.Second)
	})
}

// Guards against the refusal of a request whose range opens in time, and against waiting for one
// that does not.
func TestAwaitRangeOpen(t *testing.T) {
	start := func(latencyTarget time.Duration) (*Router, *request, spread.Choice) {
		r := routerAfterMoves(100 * time.Millisecond)
		r.control.applyTable(atSecond(100), tableWithRange(90, true))
		req := lookupRequest(latencyTarget)
		_, choice := r.chooseHolder(r.current.Load(), req, time.Now())
		return r, req, choice
	}
	Convey("A request with enough time waits, and is sent once the range is open", t, func() {
		r, req, choice := start(time.Minute)
		So(choice.Reason, ShouldEqual, reasonKeyMoving)
		tableUpdateCh := *r.tableUpdateCh.Load()
		r.control.applyTable(atSecond(100.1), tableWithRange(91, false))
		So(r.awaitRangeOpen(context.Background(), req, tableUpdateCh), ShouldBeTrue)
		_, choice = r.chooseHolder(r.current.Load(), req, time.Now())
		So(choice.Refused(), ShouldBeFalse)
	})
	Convey("A request that could not be answered within its latency target does not wait", t, func() {
		r, req, _ := start(120 * time.Millisecond)
		So(r.awaitRangeOpen(context.Background(), req, *r.tableUpdateCh.Load()), ShouldBeFalse)
	})
	Convey("The wait ends when the caller disconnects", t, func() {
		r, req, _ := start(time.Minute)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(r.awaitRangeOpen(ctx, req, *r.tableUpdateCh.Load()), ShouldBeFalse)
	})
}

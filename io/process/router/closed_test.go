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

// onTheWay is a table whose only range is closed or open.
func onTheWay(seq uint64, closed bool) grant.Table {
	g := grant.Range{From: 0, To: grant.LastKey, Holder: grant.Holder{Server: "a", StartMillis: 1, Address: "a"}}
	if closed {
		g.Next = grant.Holder{Server: "b", StartMillis: 1, Address: "b"}
	}
	return grant.Table{Epoch: 1, Seq: seq, Services: []grant.ServiceRanges{{Service: "s", Ranges: []grant.Range{g}}}}
}

// lookup is a request for a key with an aim.
func lookup(aim time.Duration) *order {
	now := time.Now()
	return &order{Request: caller.Request{Read: now}, service: config.Service{Name: "s", Keyed: true}, key: 7,
		route: config.Route{Idempotent: true, MaxAttempts: 2, LatencyTarget: aim}, deadline: now.Add(2 * aim),
		need: spread.Requirements{Route: "look", Aim: aim, ReceivedAt: now, Deadline: now.Add(2 * aim), LocalDataCentre: "x"}}
}

// moved makes a router that saw ranges of a service closed for so long.
func moved(took time.Duration) *Router {
	r := newTestRouter()
	r.now = func() time.Time { return atSecond(100) }
	r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6))
	for i := range 9 {
		begin := atSecond(float64(2 + 10*i))
		r.control.applyTable(begin, onTheWay(uint64(2*i+1), true))
		r.control.applyTable(begin.Add(took), onTheWay(uint64(2*i+2), false))
	}
	return r
}

// Guards against callers that are asked back before their key's range opens, and refused once more.
func TestTimeToComeBackIsThatOfMoves(t *testing.T) {
	Convey("Callers of a planned move come back when such moves have ended", t, func() {
		r := moved(900 * time.Millisecond)
		r.control.applyTable(atSecond(100), onTheWay(90, true))
		_, c := r.owner(r.current.Load(), lookup(time.Second), time.Now())
		So(c.Reason, ShouldEqual, moving)
		So(c.RetryAfter, ShouldEqual, 900*time.Millisecond)
	})
	Convey("Those of a lost holder come back when its grant has run out", t, func() {
		r := newTestRouter()
		r.now = func() time.Time { return atSecond(100) }
		r.control.applyTable(atSecond(100), onTheWay(90, true))
		_, c := r.owner(r.current.Load(), lookup(time.Second), time.Now())
		So(c.RetryAfter, ShouldBeGreaterThan, 2*time.Second)
	})
}

// Guards against refusals although a range opens in time, and against waiting although it does not.
func TestRequestsWaitForARangeThatOpensInTime(t *testing.T) {
	start := func(aim time.Duration) (*Router, *order, spread.Choice) {
		r := moved(100 * time.Millisecond)
		r.control.applyTable(atSecond(100), onTheWay(90, true))
		o := lookup(aim)
		_, c := r.owner(r.current.Load(), o, time.Now())
		return r, o, c
	}
	Convey("A request with time waits, and goes on once the range is open", t, func() {
		r, o, c := start(time.Minute)
		So(c.Reason, ShouldEqual, moving)
		changed := *r.tableUpdated.Load()
		r.control.applyTable(atSecond(100.1), onTheWay(91, false))
		So(r.awaitOpen(context.Background(), o, changed), ShouldBeTrue)
		_, c = r.owner(r.current.Load(), o, time.Now())
		So(c.Refused(), ShouldBeFalse)
	})
	Convey("One that cannot be answered within its aim after that is refused at once", t, func() {
		r, o, _ := start(120 * time.Millisecond)
		So(r.awaitOpen(context.Background(), o, *r.tableUpdated.Load()), ShouldBeFalse)
	})
	Convey("A caller that leaves is not waited for", t, func() {
		r, o, _ := start(time.Minute)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(r.awaitOpen(ctx, o, *r.tableUpdated.Load()), ShouldBeFalse)
	})
}

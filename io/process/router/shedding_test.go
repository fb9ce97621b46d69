package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
	"catkinstep/core/request/retry"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// declined is the response of a server that declines a request and reports its load.
func declined(status, running, waiting int) *link.Response {
	return &link.Response{Status: status, Declined: true, Load: &link.Load{Running: running, Waiting: waiting, Slots: 3}}
}

// afterDecline evaluates an attempt of a keyed request that its holder declined.
func afterDecline(r *Router, req *request, resp *link.Response) (reply caller.Reply, sendAgain bool) {
	server := fleet.Server{ID: "a", Service: "s", DataCentre: "x", Slots: 3, StartMillis: 1}
	req.attempts.sent++
	return r.evaluateAttempt(context.Background(), req, attemptEnd{server: server, choice: spread.Choice{Server: server, RetryAfter: time.Second}, resp: resp})
}

// Guards against a request that is refused as if its holder were full, although the holder only
// sheds a part of its load.
func TestDeclineAtShortQueueIsSentAgain(t *testing.T) {
	newRouter := func() *Router {
		r := newTestRouter()
		r.updateServers(atSecond(1), 10, serverItem("a", 5))
		r.control.applyTable(atSecond(1), tableWithRange(1, false))
		return r
	}
	Convey("A request that the holder declined with a short queue is sent again", t, func() {
		for _, resp := range []*link.Response{declined(503, 3, 0), declined(503, 3, 2), declined(503, 1, 0)} {
			r := newRouter()
			_, sendAgain := afterDecline(r, lookupRequest(time.Second), resp)
			So(sendAgain, ShouldBeTrue)
			So(r.metrics.value("declines.shortQueue"), ShouldEqual, 1)
		}
	})
	Convey("One that is not idempotent is sent again as well, since it has not run", t, func() {
		req := lookupRequest(time.Second)
		req.route.Idempotent = false
		_, sendAgain := afterDecline(newRouter(), req, declined(503, 3, 0))
		So(sendAgain, ShouldBeTrue)
	})
	Convey("Declines with a long queue, without a report, or since the key is not held are not retried", t, func() {
		for _, resp := range []*link.Response{declined(503, 3, 3), {Status: 503, Declined: true}, declined(http.StatusMisdirectedRequest, 3, 0)} {
			r := newRouter()
			reply, sendAgain := afterDecline(r, lookupRequest(time.Second), resp)
			So(sendAgain, ShouldBeFalse)
			So(reply.Refusal().Reason, ShouldEqual, reasonDeclined)
			So(r.metrics.value("declines.shortQueue"), ShouldEqual, 0)
		}
	})
	Convey("Without retries left, it is refused with the shortest Retry-After", t, func() {
		shortest := minRetryAfter + time.Millisecond
		r, req := newRouter(), lookupRequest(time.Second)
		_, sendAgain := afterDecline(r, req, declined(503, 3, 0))
		So(sendAgain, ShouldBeTrue)
		reply, sendAgain := afterDecline(r, req, declined(503, 3, 0))
		So(sendAgain, ShouldBeFalse)
		So(reply.Refusal().RetryAfter, ShouldBeLessThan, shortest)
		r.budgets["s"] = retry.NewBudget(0, 0)
		reply, sendAgain = afterDecline(r, lookupRequest(time.Second), declined(503, 3, 0))
		So(sendAgain, ShouldBeFalse)
		So(reply.Refusal().RetryAfter, ShouldBeLessThan, shortest)
	})
}

// Guards against a server without the key whose decline counts as one at a short queue.
func TestOutcomesOfDeclines(t *testing.T) {
	Convey("A 421 is distinguished from other declines", t, func() {
		So(attemptOutcome(context.Background(), declined(http.StatusMisdirectedRequest, 3, 0), nil), ShouldEqual, spread.Misdirected)
		So(attemptOutcome(context.Background(), declined(503, 3, 0), nil), ShouldEqual, spread.Declined)
		So(attemptOutcome(context.Background(), declined(429, 3, 0), nil), ShouldEqual, spread.Declined)
	})
}

// Guards against a second attempt that never reaches the holder, because the first decline made
// this daemon count the holder as full.
func TestHolderThatShedsLoadAnswersRetry(t *testing.T) {
	Convey("The second attempt goes to the same holder, which answers it", t, func() {
		var received atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			n := names.Default()
			w.Header().Set(n.ID, q.Header.Get(n.ID))
			w.Header().Set(n.Load, "3,0,3")
			if received.Add(1) == 1 {
				w.Header().Set(n.NotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Header().Set(n.Signature, "a")
		}))
		defer server.Close()
		r := newTestRouter()
		item, table, address := serverItem("a", 5), tableWithRange(1, false), strings.TrimPrefix(server.URL, "http://")
		item.Value = []byte(strings.ReplaceAll(string(item.Value), `"address":"a"`, `"address":"`+address+`"`))
		table.Services[0].Ranges = []grant.Range{{From: 0, To: grant.LastKey, Holder: grant.Holder{Server: "a", StartMillis: 1, Address: address}}}
		r.updateServers(atSecond(1), 10, item)
		r.control.applyTable(atSecond(1), table)
		req := lookupRequest(2 * time.Second)
		req.Request.Request, req.target, req.id = httptest.NewRequest(http.MethodGet, "/look", nil), "/look", "r1"
		So(r.sendWithRetries(context.Background(), req).Status(), ShouldEqual, http.StatusOK)
		So(received.Load(), ShouldEqual, 2)
	})
}

package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
	"catkinstep/core/connection/wire"
	"catkinstep/core/request/carry"
	"catkinstep/core/request/proof"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// bookingOf returns a request without a key that must not run twice.
func bookingOf() *request {
	req := lookupRequest(time.Second)
	req.service.Keyed, req.key, req.route.Idempotent = false, -1, false
	req.Request.Request, req.target, req.id = httptest.NewRequest(http.MethodPost, "/book", nil), "/book", "b1"
	return req
}

// afterResponse evaluates the only attempt of a request.
func afterResponse(r *Router, req *request, resp *link.Response) (caller.Reply, bool) {
	server := fleet.Server{ID: "a", Service: "s", DataCentre: "x", Slots: 3, StartMillis: 1}
	req.history = req.history.WithBegun()
	req.attempts.sent++
	return r.evaluateAttempt(context.Background(), req, attemptEnd{server: server, choice: spread.Choice{Server: server}, resp: resp})
}

// Guards against a caller that sends an order again which has run: a server's status promised that it had
// not, and the server did not state it.
func TestServersDoNotPromise(t *testing.T) {
	n := names.Default()
	for _, status := range []int{408, 421, 429, 503} {
		for _, header := range []http.Header{{}, {n.Signature: {"a"}}, {n.Signature: {"a"}, "Retry-After": {"1"}}} {
			Convey(http.StatusText(status), t, func() {
				r := newTestRouter()
				reply, sendAgain := afterResponse(r, bookingOf(), &link.Response{Status: status, Header: header.Clone()})
				So(sendAgain, ShouldBeFalse)
				So(reply.Status(), ShouldEqual, http.StatusBadGateway)
				So(reply.Header().Get(n.Signature), ShouldBeEmpty)
				So(reply.Refusal().Reason, ShouldEqual, reasonUnproved)
				So(reply.Refusal().RetryAfter, ShouldEqual, 0)
				So(reply.Refusal().MaybeRan(), ShouldBeTrue)
			})
		}
	}
	Convey("A server that states it leads to a refusal that holds", t, func() {
		req := bookingOf()
		req.route.MaxAttempts = 1
		reply, sendAgain := afterResponse(newTestRouter(), req, &link.Response{Status: 503, Declined: true, Header: http.Header{}})
		So(sendAgain, ShouldBeFalse)
		So(reply.Status(), ShouldEqual, http.StatusServiceUnavailable)
		So(reply.Refusal().MaybeRan(), ShouldBeFalse)
	})
	Convey("It counts as a failure of the server, not as an answer", t, func() {
		So(attemptOutcome(context.Background(), &link.Response{Status: 429}, nil), ShouldEqual, spread.Failed)
		So(attemptOutcome(context.Background(), &link.Response{Status: 421}, nil), ShouldEqual, spread.Failed)
	})
	Convey("A failure before is passed on rather than a promise after it", t, func() {
		r, req := newTestRouter(), lookupRequest(time.Second)
		r.updateServers(atSecond(1), 10, serverItem("a", 5))
		r.control.applyTable(atSecond(1), tableWithRange(1, false))
		_, sendAgain := afterResponse(r, req, &link.Response{Status: 500, Header: http.Header{n.Signature: {"a"}}})
		So(sendAgain, ShouldBeTrue)
		req.route.MaxAttempts = 1
		reply, sendAgain := afterResponse(r, req, &link.Response{Status: 503, Header: http.Header{}})
		So(sendAgain, ShouldBeFalse)
		So(reply.Status(), ShouldEqual, http.StatusInternalServerError)
	})
}

// Guards against a refusal while an attempt is on its way, or after one that may have run: whoever calls
// for it, the reply promises nothing.
func TestRefusalsNeedProof(t *testing.T) {
	for _, history := range []proof.History{proof.History{}.WithBegun(), proof.History{}.WithBegun().WithEnded(proof.None)} {
		Convey("No refusal without proof", t, func() {
			r, req := newTestRouter(), bookingOf()
			req.history = history
			for _, reply := range []caller.Reply{r.refuseRequest(req, reasonCutOff, time.Second), r.giveUp(req, spread.Choice{}, reasonCutOff, time.Second)} {
				So(reply.Status(), ShouldEqual, http.StatusBadGateway)
				So(reply.Refusal().MaybeRan(), ShouldBeTrue)
			}
		})
	}
	Convey("With proof it has its time to come back", t, func() {
		reply := newTestRouter().refuseRequest(bookingOf(), reasonCutOff, time.Second)
		So(reply.Status(), ShouldEqual, http.StatusServiceUnavailable)
		So(reply.Refusal().RetryAfter, ShouldEqual, time.Second)
	})
}

// Guards against promises that reach a caller by way of another daemon which does not prove them: one of an
// older version, or one that passes a server's status on.
func TestCarriersNeedProof(t *testing.T) {
	carried := func(m *wire.CarryReply) (caller.Reply, carryOutcome) {
		req := bookingOf()
		req.history = req.history.WithBegun()
		return newTestRouter().evaluateCarried(req, carry.Peer{Address: "p"}, m)
	}
	Convey("A status that promises is not passed on, nor is none", t, func() {
		for _, status := range []uint32{0, 408, 421, 429, 503} {
			reply, outcome := carried(&wire.CarryReply{Status: status})
			So(outcome, ShouldEqual, carryAnswered)
			So(reply.Status(), ShouldEqual, http.StatusBadGateway)
		}
	})
	Convey("A refusal that does not say that it has proof is none, and no other daemon gets the request", t, func() {
		for _, reason := range []string{"allBusy", reasonNotCarrying} {
			reply, outcome := carried(&wire.CarryReply{Refused: true, Reason: reason})
			So(outcome, ShouldEqual, carryAnswered)
			So(reply.Status(), ShouldEqual, http.StatusBadGateway)
		}
	})
	Convey("With proof it is a refusal, or another daemon gets the request", t, func() {
		reply, _ := carried(&wire.CarryReply{Refused: true, Reason: "allBusy", NotRun: true, BackMillis: 300})
		So(reply.Status(), ShouldEqual, http.StatusServiceUnavailable)
		So(reply.Refusal().RetryAfter, ShouldEqual, 300*time.Millisecond)
		_, outcome := carried(&wire.CarryReply{Refused: true, Reason: reasonNotCarrying, NotRun: true})
		So(outcome, ShouldEqual, carryUnavailable)
	})
	Convey("What a daemon says of a request that it carried is its own proof", t, func() {
		proved, unproved := bookingOf(), bookingOf()
		unproved.history = proof.History{}.WithBegun().WithEnded(proof.None)
		So(carryReply(newTestRouter().refuseRequest(proved, "allBusy", 0), proved).Carry.NotRun, ShouldBeTrue)
		So(carryReply(newTestRouter().refuseRequest(unproved, "allBusy", 0), unproved).Carry.NotRun, ShouldBeFalse)
	})
}

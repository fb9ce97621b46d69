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
	"catkinstep/core/request/spread"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// bookingRequest returns a non-idempotent request for a key, with an ID.
func bookingRequest(id string) *request {
	req := lookupRequest(time.Second)
	req.route.Idempotent, req.id = false, id
	req.Request.Request = httptest.NewRequest(http.MethodPost, "/book", nil)
	return req
}

// sendAndRecord records an attempt that ended with the given response or error.
func (r *Router) sendAndRecord(req *request, resp *link.Response, err error) {
	record, repeated := r.recordSent(req)
	r.recordSentOutcome(record, repeated, r.sentOutcomeOf(context.Background(), resp, err))
}

// signedSuccess returns a success that shows that it comes from a server.
func signedSuccess() *link.Response {
	return &link.Response{Status: http.StatusOK, Header: http.Header{names.Default().Signature: {"a"}}}
}

// sendsFirstSent reports whether the next attempt under an ID has the first-sent header.
func (r *Router) sendsFirstSent(id string) bool {
	req := bookingRequest(id)
	r.recordSent(req)
	return req.Header.Get(names.Default().FirstSent) != ""
}

var (
	errConnectionBroken = &link.Error{Op: "read", Kind: link.ConnectionLost}
	errNotSent          = &link.Error{Op: "dial", Kind: link.ConnectionRefused}
)

// Guards against a booking whose holder does not learn that it was sent before, and against a
// booking that a holder declines as sent before although it never was.
func TestFirstSentHeader(t *testing.T) {
	Convey("A request that was sent before and may have run has the header", t, func() {
		r := newTestRouter()
		r.sendAndRecord(bookingRequest("a"), nil, errConnectionBroken)
		So(r.sendsFirstSent("a"), ShouldBeTrue)
		So(r.sendsFirstSent("other"), ShouldBeFalse)
		otherKey := bookingRequest("a")
		otherKey.key++
		r.recordSent(otherKey)
		So(otherKey.Header.Get(names.Default().FirstSent), ShouldBeEmpty)
	})
	Convey("A request that certainly did not run is forgotten, unless an earlier attempt may have run", t, func() {
		r := newTestRouter()
		r.sendAndRecord(bookingRequest("a"), nil, errNotSent)
		r.sendAndRecord(bookingRequest("b"), &link.Response{Declined: true}, nil)
		r.sendAndRecord(bookingRequest("c"), nil, errConnectionBroken)
		r.sendAndRecord(bookingRequest("c"), nil, errNotSent)
		So(r.sendsFirstSent("a"), ShouldBeFalse)
		So(r.sendsFirstSent("b"), ShouldBeFalse)
		So(r.sendsFirstSent("c"), ShouldBeTrue)
	})
	Convey("A copy that did not run does not remove the record of a concurrent one that may have", t, func() {
		r := newTestRouter()
		refused, broken := bookingRequest("a"), bookingRequest("a")
		record, repeated := r.recordSent(refused)
		otherRecord, otherRepeated := r.recordSent(broken)
		r.recordSentOutcome(record, repeated, sentNotRun)
		r.recordSentOutcome(otherRecord, otherRepeated, sentLost)
		So(r.sendsFirstSent("a"), ShouldBeTrue)
	})
	Convey("An earlier time that the caller sends is kept", t, func() {
		r, req := newTestRouter(), bookingRequest("a")
		req.Header.Set(names.Default().FirstSent, "60000")
		r.recordSent(req)
		So(req.Header.Get(names.Default().FirstSent), ShouldEqual, "60001")
	})
}

// refusalRecorder is a protocol that stores the last refusal.
type refusalRecorder struct {
	stubProtocol
	last *caller.Refusal
}

func (r refusalRecorder) RefusalReply(refusal caller.Refusal) (http.Header, []byte) {
	*r.last = refusal
	return http.Header{}, nil
}

// Guards against a booking that runs twice: if the refusal of a later attempt says "not run"
// although an earlier one may have, its caller books again under a new ID.
func TestRefusalAfterAnEarlierAttempt(t *testing.T) {
	Convey("The refusal says that the booking may have run", t, func() {
		r, last := newTestRouter(), caller.Refusal{}
		r.protocol = refusalRecorder{last: &last}
		refused := func(id string) caller.Refusal {
			reply := r.giveUp(bookingRequest(id), spread.Choice{}, string(reasonKeyMoving), time.Second)
			So(reply.Status(), ShouldEqual, http.StatusServiceUnavailable)
			So(last.RetryAfter, ShouldEqual, time.Second)
			return last
		}
		So(refused("a").MaybeRan(), ShouldBeFalse)
		r.sendAndRecord(bookingRequest("a"), nil, errNotSent)
		So(refused("a").MaybeRan(), ShouldBeFalse)
		r.sendAndRecord(bookingRequest("a"), nil, errConnectionBroken)
		So(refused("a").MaybeRan(), ShouldBeTrue)
		So(refused("other").MaybeRan(), ShouldBeFalse)
	})
}

// Guards against a second run of a booking that its caller sends again through a daemon which
// never saw it.
func TestUnansweredRequestsAreGossiped(t *testing.T) {
	Convey("Requests that may have run without a response are gossiped, others are not", t, func() {
		r, other := newTestRouter(), newTestRouter()
		r.sendAndRecord(bookingRequest("a"), nil, errConnectionBroken)
		r.sendAndRecord(bookingRequest("b"), signedSuccess(), nil)
		r.sendAndRecord(bookingRequest("c"), nil, errNotSent)
		unanswered := r.recentUnanswered()
		So(unanswered, ShouldHaveLength, 1)
		So(unanswered[0].Id, ShouldEqual, bookingRequest("a").sentHash())
		other.mergeUnanswered([]*wire.Sent{{Id: unanswered[0].Id, AgoMillis: 900}})
		So(other.sendsFirstSent("a"), ShouldBeTrue)
		So(other.recentUnanswered(), ShouldHaveLength, 1) // forwarded by the receiver
		Convey("A receiver forwards a request only once", func() {
			other.unansweredBuffer = piggybackBuffer[sentRecord]{}
			other.mergeUnanswered([]*wire.Sent{{Id: unanswered[0].Id, AgoMillis: 800}})
			So(other.recentUnanswered(), ShouldBeEmpty)
		})
	})
	Convey("A request whose server's response is not passed on, since it promises without proof, is gossiped, too", t, func() {
		r := newTestRouter()
		r.sendAndRecord(bookingRequest("a"), &link.Response{Status: http.StatusTooManyRequests}, nil)
		r.sendAndRecord(bookingRequest("b"), &link.Response{Status: http.StatusTooManyRequests, Declined: true}, nil)
		So(r.recentUnanswered(), ShouldHaveLength, 1)
	})
	Convey("So is one whose server's success is not passed on, since it lacks the signature, but none with a failure", t, func() {
		r := newTestRouter()
		r.sendAndRecord(bookingRequest("a"), &link.Response{Status: http.StatusOK}, nil)
		r.sendAndRecord(bookingRequest("b"), &link.Response{Status: http.StatusNotFound}, nil)
		unanswered := r.recentUnanswered()
		So(unanswered, ShouldHaveLength, 1)
		So(unanswered[0].Id, ShouldEqual, bookingRequest("a").sentHash())
	})
	Convey("A request whose caller disconnected before the response is gossiped, too", t, func() {
		r := newTestRouter()
		ctx, cancel := context.WithCancel(context.Background())
		record, repeated := r.recordSent(bookingRequest("a"))
		cancel()
		r.recordSentOutcome(record, repeated, r.sentOutcomeOf(ctx, signedSuccess(), nil))
		So(r.recentUnanswered(), ShouldHaveLength, 1)
	})
	Convey("The number of items in a gossip message is limited", t, func() {
		var buffer piggybackBuffer[int]
		for i := range maxPiggybackItems {
			So(buffer.add(t0, i), ShouldBeTrue)
		}
		So(buffer.add(t0, 0), ShouldBeFalse)
		So(buffer.list(t0.Add(piggybackDuration)), ShouldBeEmpty)
		So(buffer.add(t0.Add(piggybackDuration), 0), ShouldBeTrue)
	})
}

// Guards against a booking that counts as unanswered although its caller got the response by way of another
// daemon, and against one without a response that counts as answered.
func TestCarriedRequestsAreRecorded(t *testing.T) {
	Convey("One that a server answered is not gossiped, one without such a reply is", t, func() {
		r, m, _ := newCutOffRouter()
		for i, lost := range []bool{false, true} {
			req := bookingRequest("a")
			req.Request = booking()
			So(r.identify(r.current.Load(), req, nil), ShouldBeNil)
			if lost {
				m.failWith["b:1"] = errLost
			}
			_, outcome := r.carryRecorded(context.Background(), req, carry.Peer{Address: "b:1"})
			So(outcome == carryAnswered, ShouldEqual, !lost)
			So(r.recentUnanswered(), ShouldHaveLength, i)
		}
	})
}

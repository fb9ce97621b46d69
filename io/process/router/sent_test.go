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
	"catkinstep/core/request/spread"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// booked is an order of a booking with an id.
func booked(id string) *order {
	o := lookup(time.Second)
	o.route.Idempotent, o.id = false, id
	o.Request.Request = httptest.NewRequest(http.MethodPost, "/book", nil)
	return o
}

func (r *Router) ends(o *order, a *link.Answer, err error) {
	first, again := r.noteSent(o)
	r.noteEnd(context.Background(), first, again, a, err)
}

// tells is whether the next attempt of an id bears its age.
func (r *Router) tells(id string) bool {
	o := booked(id)
	r.noteSent(o)
	return o.Header.Get(names.Default().FirstSent) != ""
}

var (
	errBroken  = &link.Error{Op: "read", Kind: link.Unsure}
	errNotSent = &link.Error{Op: "dial", Kind: link.Refused}
)

// Guards against a booking whose holder cannot tell that it was sent before, and against one that is refused although it never was.
func TestAgeOfABooking(t *testing.T) {
	Convey("It goes with what was sent before and may have run", t, func() {
		r := newTestRouter()
		r.ends(booked("a"), nil, errBroken)
		So(r.tells("a"), ShouldBeTrue)
		So(r.tells("other"), ShouldBeFalse)
		elsewhere := booked("a")
		elsewhere.key++
		r.noteSent(elsewhere)
		So(elsewhere.Header.Get(names.Default().FirstSent), ShouldBeEmpty)
	})
	Convey("What surely did not run was not sent, unless an earlier attempt may have run", t, func() {
		r := newTestRouter()
		r.ends(booked("a"), nil, errNotSent)
		r.ends(booked("b"), &link.Answer{NotRun: true}, nil)
		r.ends(booked("c"), nil, errBroken)
		r.ends(booked("c"), nil, errNotSent)
		So(r.tells("a"), ShouldBeFalse)
		So(r.tells("b"), ShouldBeFalse)
		So(r.tells("c"), ShouldBeTrue)
	})
	Convey("A copy that did not run takes nothing away from another one that may have", t, func() {
		r := newTestRouter()
		refused, ran := booked("a"), booked("a")
		first, again := r.noteSent(refused)
		later, laterAgain := r.noteSent(ran)
		r.noteEnd(context.Background(), first, again, nil, errNotSent)
		r.noteEnd(context.Background(), later, laterAgain, nil, errBroken)
		So(r.tells("a"), ShouldBeTrue)
	})
	Convey("A caller may know of an earlier time", t, func() {
		r, o := newTestRouter(), booked("a")
		o.Header.Set(names.Default().FirstSent, "60000")
		r.noteSent(o)
		So(o.Header.Get(names.Default().FirstSent), ShouldEqual, "60001")
	})
}

// lastRefusal is a protocol that keeps the last refusal.
type lastRefusal struct {
	stubProtocol
	was *caller.Refusal
}

func (l lastRefusal) RefusalResponse(f caller.Refusal) (http.Header, []byte) {
	*l.was = f
	return http.Header{}, nil
}

// Guards against a caller that books anew under another id, since the refusal of a later try says "not run".
func TestRefusalOfALaterTry(t *testing.T) {
	Convey("It says that the booking may have run", t, func() {
		r, was := newTestRouter(), caller.Refusal{}
		r.protocol = lastRefusal{was: &was}
		refused := func(id string) caller.Refusal {
			reply := r.giveUp(booked(id), spread.Choice{}, string(moving), time.Second)
			So(reply.Status, ShouldEqual, http.StatusServiceUnavailable)
			So(was.After, ShouldEqual, time.Second)
			return was
		}
		So(refused("a").MaybeRan, ShouldBeFalse)
		r.ends(booked("a"), nil, errNotSent)
		So(refused("a").MaybeRan, ShouldBeFalse)
		r.ends(booked("a"), nil, errBroken)
		So(refused("a").MaybeRan, ShouldBeTrue)
		So(refused("other").MaybeRan, ShouldBeFalse)
	})
}

// Guards against a second run by way of a daemon that never saw the booking.
func TestOtherDaemonsLearnOfUnansweredBookings(t *testing.T) {
	Convey("What may have run without an answer is passed on, what was answered is not", t, func() {
		r, other := newTestRouter(), newTestRouter()
		r.ends(booked("a"), nil, errBroken)
		r.ends(booked("b"), &link.Answer{Status: http.StatusOK}, nil)
		r.ends(booked("c"), nil, errNotSent)
		found := r.sentNews()
		So(found, ShouldHaveLength, 1)
		So(found[0].Id, ShouldEqual, booked("a").hash())
		other.heardOfSent([]*wire.Sent{{Id: found[0].Id, AgoMillis: 900}})
		So(other.tells("a"), ShouldBeTrue)
		So(other.sentNews(), ShouldHaveLength, 1) // it goes on from there
		Convey("once", func() {
			other.unansweredBuffer = recent[firstSent]{}
			other.heardOfSent([]*wire.Sent{{Id: found[0].Id, AgoMillis: 800}})
			So(other.sentNews(), ShouldBeEmpty)
		})
	})
	Convey("Also when its caller left before the answer", t, func() {
		r := newTestRouter()
		ctx, leave := context.WithCancel(context.Background())
		first, again := r.noteSent(booked("a"))
		leave()
		r.noteEnd(ctx, first, again, &link.Answer{Status: http.StatusOK}, nil)
		So(r.sentNews(), ShouldHaveLength, 1)
	})
	Convey("No more than a bounded number at once", t, func() {
		var news recent[int]
		for i := range passOnMost {
			So(news.add(t0, i), ShouldBeTrue)
		}
		So(news.add(t0, 0), ShouldBeFalse)
		So(news.list(t0.Add(passOnFor)), ShouldBeEmpty)
		So(news.add(t0.Add(passOnFor), 0), ShouldBeTrue)
	})
}

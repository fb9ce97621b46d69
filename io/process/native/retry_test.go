package native_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/site"
	"catkinstep/io/process/native"
	"catkinstep/io/standin/server"
)

const (
	// benchPath is the path of the booking. Its last segment is the key.
	benchPath = "/workshop/benches/7"
	// bookingID is the ID of the booking, which callers send in the header Idempotency-Key.
	bookingID = "booking-7"
)

func (ts *testSite) sendBooking(d *native.Daemon) callerReply {
	return ts.sendWithID(d, http.MethodPost, bookingID, benchPath, "{}")
}

// postStatus sends a booking and returns only the status of the reply, for error responses of
// servers that are passed on: their bodies are neither a server.Response nor a native.ErrorBody.
func (ts *testSite) postStatus(d *native.Daemon, id, path string) int {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.Prefs().CallerAddress+path, nil)
	So(err, ShouldBeNil)
	req.Header.Set("Idempotency-Key", id)
	resp, err := ts.client.Do(req)
	So(err, ShouldBeNil)
	So(resp.Body.Close(), ShouldBeNil)
	return resp.StatusCode
}

// sendBookingAndLoseResponse sends the booking to the holder of its key, which runs it and then
// closes the connection before the end of the response. It returns the holder.
func (ts *testSite) sendBookingAndLoseResponse(d *native.Daemon) (holder string) {
	holder = ts.send(d, http.MethodGet, benchPath, "").answer.Server
	ts.servers[holder].SetFaults(server.Faults{TruncatedShare: 1}) // of all responses
	So(ts.sendBooking(d).failure.Outcome, ShouldEqual, native.OutcomeUnknown)
	ts.servers[holder].SetFaults(server.Faults{})
	return holder
}

// Guards against a caller that gets the reply to another caller's booking, because both use
// the same ID.
func TestSameIDForDifferentBookings(t *testing.T) {
	Convey("The same ID with a different key is a different booking; with the same key but another path it is rejected", t, func() {
		ts := newTestSite(t, 1)
		d := ts.daemons[0]
		So(ts.becomesReady(d), ShouldBeTrue)
		So(ts.sendBooking(d).status, ShouldEqual, http.StatusOK)
		for key := range 8 {
			path := fmt.Sprintf("/workshop/benches/other-%d", key)
			a := ts.sendWithID(d, http.MethodPost, bookingID, path, "{}")
			So(a.status, ShouldEqual, http.StatusOK)
			So("/workshop"+a.answer.Path, ShouldEqual, path)
		}
		So(ts.postStatus(d, bookingID, benchPath+"/drawer"), ShouldEqual, http.StatusUnprocessableEntity)
	})
}

// Guards against a booking that runs twice, or is never answered, when the caller retries it
// with the same ID.
func TestRetriedBooking(t *testing.T) {
	Convey("The holder of the key runs the booking once and answers each retry, through any daemon", t, func() {
		ts := newTestSite(t, 2)
		So(ts.becomesReady(ts.daemons[0]) && ts.becomesReady(ts.daemons[1]), ShouldBeTrue)
		holder := ts.sendBookingAndLoseResponse(ts.daemons[0])
		for range 3 {
			for _, d := range ts.daemons {
				a := ts.sendBooking(d)
				So(a.status, ShouldEqual, http.StatusOK)
				So(a.answer.ID, ShouldEqual, bookingID)
			}
		}
		Convey("a retry after the key has moved gets the response of the first run", func() {
			ts.changeSite(func(s site.Site) (site.Site, error) { return s.WithExclusion(site.Exclusion{Host: holder}) })
			So(eventually(4*time.Second, func() bool {
				a := ts.send(ts.daemons[1], http.MethodGet, benchPath, "")
				return a.status == http.StatusOK && a.answer.Server != holder
			}), ShouldBeTrue)
			a := ts.sendBooking(ts.daemons[1])
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.answer.Server, ShouldEqual, holder) // which ran the booking, and does not hold the key any more
		})
		So(ts.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

// Guards against a booking that runs twice when it is retried, in a service whose keys are the
// request IDs.
func TestRetriedBookingWithIDAsKey(t *testing.T) {
	Convey("The retry does not run the booking again, and bookings with other IDs reach both servers", t, func() {
		ts := newTestSite(t, 2)
		So(ts.becomesReady(ts.daemons[0]) && ts.becomesReady(ts.daemons[1]), ShouldBeTrue)
		for _, v := range ts.servers {
			v.SetFaults(server.Faults{TruncatedShare: 1})
		}
		requestLabel := func(d *native.Daemon, id string) callerReply {
			return ts.sendWithID(d, http.MethodPost, id, "/labels/print", "{}")
		}
		So(requestLabel(ts.daemons[0], bookingID).failure.Outcome, ShouldEqual, native.OutcomeUnknown)
		for _, v := range ts.servers {
			v.SetFaults(server.Faults{})
		}
		answeredBy := map[string]bool{requestLabel(ts.daemons[1], bookingID).answer.Server: true}
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			a := requestLabel(ts.daemons[1], id)
			So(a.status, ShouldEqual, http.StatusOK)
			answeredBy[a.answer.Server] = true
		}
		So(len(answeredBy), ShouldEqual, 2)
		// A GET has a key as well, since send adds an ID.
		So(ts.send(ts.daemons[0], http.MethodGet, "/labels/print", "").status, ShouldEqual, http.StatusOK)
		So(ts.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

// Guards against a booking that runs twice because the server that ran it failed and the new
// holder of the key does not know about it.
func TestRetriedBookingAfterHolderLoss(t *testing.T) {
	Convey("The retry gets an error with an unknown outcome, and other bookings run", t, func() {
		ts := newTestSite(t, 2)
		So(ts.becomesReady(ts.daemons[0]) && ts.becomesReady(ts.daemons[1]), ShouldBeTrue)
		failed := ts.sendBookingAndLoseResponse(ts.daemons[0])
		ts.servers[failed].Stop()
		for _, d := range ts.daemons {
			So(eventually(9*time.Second, func() bool { return ts.send(d, http.MethodPost, benchPath, "{}").status == http.StatusOK }), ShouldBeTrue)
			a := ts.sendBooking(d)
			So(a.status, ShouldEqual, http.StatusBadGateway)
			// The new holder does not know whether the failed one ran the booking.
			So(a.failure.Code, ShouldEqual, "outcomeLost")
			So(a.failure.Outcome, ShouldEqual, native.OutcomeUnknown)
		}
		So(ts.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

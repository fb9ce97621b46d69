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
	bench   = "/workshop/benches/7"
	booking = "order-7"
)

func (y *yard) book(d *native.Daemon) got { return y.askID(d, http.MethodPost, booking, bench, "{}") }

// refused is the status of a booking that is answered by its server, not in its usual form.
func (y *yard) refused(d *native.Daemon, id, path string) int {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.Prefs().Callers+path, nil)
	So(err, ShouldBeNil)
	req.Header.Set("Idempotency-Key", id)
	resp, err := y.client.Do(req)
	So(err, ShouldBeNil)
	So(resp.Body.Close(), ShouldBeNil)
	return resp.StatusCode
}

// bookWithoutAnswer sends the booking to its holder, which runs it and cuts the answer off.
func (y *yard) bookWithoutAnswer(d *native.Daemon) (holder string) {
	holder = y.ask(d, http.MethodGet, bench, "").answer.Server
	y.servers[holder].SetFaults(server.Faults{TruncatedShare: 1})
	So(y.book(d).failure.Ran, ShouldEqual, native.OutcomeUnknown)
	y.servers[holder].SetFaults(server.Faults{})
	return holder
}

// Guards against a caller that gets another's answer, since both use the same id.
func TestSameIDOfAnotherBooking(t *testing.T) {
	Convey("Of another key it is another booking, of the same key it is refused", t, func() {
		y := newYard(t, 1)
		d := y.daemons[0]
		So(y.settles(d), ShouldBeTrue)
		So(y.book(d).status, ShouldEqual, http.StatusOK)
		for key := range 8 {
			path := fmt.Sprintf("/workshop/benches/other-%d", key)
			a := y.askID(d, http.MethodPost, booking, path, "{}")
			So(a.status, ShouldEqual, http.StatusOK)
			So("/workshop"+a.answer.Path, ShouldEqual, path)
		}
		So(y.refused(d, booking, bench+"/drawer"), ShouldEqual, http.StatusUnprocessableEntity)
	})
}

// Guards against a booking that runs twice, or is never answered, when its caller sends it again under its id.
func TestBookingSentAgain(t *testing.T) {
	Convey("Its holder answers it, whichever daemon is asked, and runs it once", t, func() {
		y := newYard(t, 2)
		So(y.settles(y.daemons[0]) && y.settles(y.daemons[1]), ShouldBeTrue)
		holder := y.bookWithoutAnswer(y.daemons[0])
		for range 3 {
			for _, d := range y.daemons {
				a := y.book(d)
				So(a.status, ShouldEqual, http.StatusOK)
				So(a.answer.ID, ShouldEqual, booking)
			}
		}
		Convey("also after its key has moved", func() {
			y.change(func(s site.Site) (site.Site, error) { return s.WithExclusion(site.Exclusion{Host: holder}) })
			So(within(4*time.Second, func() bool {
				a := y.ask(y.daemons[1], http.MethodGet, bench, "")
				return a.status == http.StatusOK && a.answer.Server != holder
			}), ShouldBeTrue)
			a := y.book(y.daemons[1])
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.answer.Server, ShouldEqual, holder) // who ran it
		})
		So(y.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

// Guards against a second run of a booking where a service has no keys of its own.
func TestBookingSentAgainWithoutAKey(t *testing.T) {
	Convey("Its id is the key: the same server answers it, others take other bookings", t, func() {
		y := newYard(t, 2)
		So(y.settles(y.daemons[0]) && y.settles(y.daemons[1]), ShouldBeTrue)
		for _, v := range y.servers {
			v.SetFaults(server.Faults{TruncatedShare: 1})
		}
		send := func(d *native.Daemon, id string) got { return y.askID(d, http.MethodPost, id, "/labels/print", "{}") }
		So(send(y.daemons[0], booking).failure.Ran, ShouldEqual, native.OutcomeUnknown)
		for _, v := range y.servers {
			v.SetFaults(server.Faults{})
		}
		ran := map[string]bool{send(y.daemons[1], booking).answer.Server: true}
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			a := send(y.daemons[1], id)
			So(a.status, ShouldEqual, http.StatusOK)
			ran[a.answer.Server] = true
		}
		So(len(ran), ShouldEqual, 2)
		So(y.ask(y.daemons[0], http.MethodGet, "/labels/print", "").status, ShouldEqual, http.StatusOK)
		So(y.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

// Guards against a second run of a booking whose holder was lost, with what it knew.
func TestBookingSentAgainAfterItsHolderWasLost(t *testing.T) {
	Convey("It is not run again, other bookings are", t, func() {
		y := newYard(t, 2)
		So(y.settles(y.daemons[0]) && y.settles(y.daemons[1]), ShouldBeTrue)
		lost := y.bookWithoutAnswer(y.daemons[0])
		y.servers[lost].Stop()
		for _, d := range y.daemons {
			So(within(9*time.Second, func() bool { return y.ask(d, http.MethodPost, bench, "{}").status == http.StatusOK }), ShouldBeTrue)
			a := y.book(d)
			So(a.status, ShouldEqual, http.StatusBadGateway)
			So(a.failure.Code, ShouldEqual, "outcomeLost")
			So(a.failure.Ran, ShouldEqual, native.OutcomeUnknown)
		}
		So(y.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

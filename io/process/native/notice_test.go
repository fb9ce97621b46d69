package native_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/io/standin/server"
)

// serversOf returns the servers of a service.
func (ts *testSite) serversOf(service string) []*server.Server {
	var out []*server.Server
	for _, s := range ts.site.DataCentres[0].Servers {
		if s.Service == service {
			out = append(out, ts.servers[s.Address])
		}
	}
	return out
}

// Guards against servers of the own interface whose announcements nobody heeds, and against callers who are
// asked to come back while they cannot be served.
func TestAnnouncements(t *testing.T) {
	Convey("A site whose servers rest, and then leave", t, func() {
		ts := newTestSite(t, 1)
		d := ts.daemons[0]
		So(ts.becomesReady(d), ShouldBeTrue)
		So(eventually(6*time.Second, func() bool { return ts.send(d, http.MethodGet, "/intake/x", "").status == http.StatusOK }), ShouldBeTrue)
		Convey("refuses callers until all servers' first end, and serves them after that", func() {
			for _, s := range ts.serversOf("intake") {
				s.SetFaults(server.Faults{RestSeconds: 1.5})
			}
			began := time.Now()
			ts.send(d, http.MethodGet, "/intake/x", "")
			reply := ts.send(d, http.MethodGet, "/intake/x", "")
			So(reply.status, ShouldEqual, http.StatusServiceUnavailable)
			So(reply.failure.Code, ShouldEqual, "serverResting")
			seconds, err := strconv.Atoi(reply.header.Get("Retry-After"))
			So(err, ShouldBeNil)
			So(seconds, ShouldBeBetweenOrEqual, 1, 3)
			So(eventually(3*time.Second, func() bool { return ts.send(d, http.MethodGet, "/intake/x", "").status == http.StatusOK }), ShouldBeTrue)
			So(time.Since(began), ShouldBeGreaterThan, 1400*time.Millisecond)
		})
		Convey("moves the keys of one that leaves, and refuses callers when all do", func() {
			leaving := ts.serversOf("workshop")
			leaving[0].SetFaults(server.Faults{Leaving: true})
			So(eventually(6*time.Second, func() bool {
				for i := range 20 { // until one of them is of a key that it holds
					ts.send(d, http.MethodGet, "/workshop/bench/"+strconv.Itoa(i), "")
				}
				return !leaving[0].Holds(0) && !leaving[0].Holds(65535) && leaving[1].Holds(0) && leaving[1].Holds(65535)
			}), ShouldBeTrue)
			for _, s := range ts.serversOf("intake") {
				s.SetFaults(server.Faults{Leaving: true})
			}
			So(eventually(2*time.Second, func() bool { return ts.send(d, http.MethodGet, "/intake/x", "").failure.Code == "none" }), ShouldBeTrue)
		})
	})
}

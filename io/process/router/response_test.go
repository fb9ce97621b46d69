package router

import (
	"bytes"
	"log/slog"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/link"
)

// Guards against a record of an incident that cannot say whether a server or a host promised that a request
// had not run: a response below status 500 that was passed on in time left no line.
func TestResponsesAreCounted(t *testing.T) {
	observe := func(resp *link.Response) (*Router, string) {
		var logged bytes.Buffer
		r, req := newTestRouter(), lookupRequest(time.Second)
		r.log, req.id = slog.New(slog.NewTextHandler(&logged, nil)), "order-1"
		r.observeResponse(req, fleet.Server{ID: "a"}, resp)
		return r, logged.String()
	}
	n := names.Default()
	Convey("A promise without proof is counted, and a line names the request", t, func() {
		for _, status := range []int{408, 421, 429, 503} {
			r, line := observe(&link.Response{Status: status, Header: http.Header{n.Signature: {"a"}}})
			So(r.metrics.value("responses."+statusLabel(status)+".signed"), ShouldEqual, 1)
			So(line, ShouldContainSubstring, "id=order-1")
		}
	})
	Convey("One with proof, and other statuses, are only counted", t, func() {
		r, line := observe(&link.Response{Status: 503, Declined: true, Header: http.Header{n.NotRun: {"1"}}})
		So(r.metrics.value("responses.503.notRun"), ShouldEqual, 1)
		So(line, ShouldBeEmpty)
		r, line = observe(&link.Response{Status: 500, Header: http.Header{}})
		So(r.metrics.value("responses.500.unsigned"), ShouldEqual, 1)
		So(line, ShouldBeEmpty)
	})
	Convey("The statement without the request's ID is no proof", t, func() {
		r, line := observe(&link.Response{Status: 503, Header: http.Header{n.NotRun: {"1"}}})
		So(r.metrics.value("responses.503.unsigned"), ShouldEqual, 1)
		So(line, ShouldContainSubstring, "hasID=false")
	})
	Convey("Statuses without a meaning share a counter", t, func() {
		for _, status := range []int{599, 777} {
			r, _ := observe(&link.Response{Status: status, Header: http.Header{}})
			So(r.metrics.value("responses.other.unsigned"), ShouldEqual, 1)
		}
	})
}

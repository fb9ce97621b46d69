package router

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/config"
	"catkinstep/core/version/object"
	"catkinstep/io/connection/caller"
)

// Guards against a daemon that refuses requests just after its start, although it will have
// read its configuration a moment later.
func TestRequestsWaitForBoot(t *testing.T) {
	handleRequest := func(ctx context.Context, r *Router) <-chan int {
		status := make(chan int, 1)
		q := caller.Request{Request: httptest.NewRequest(http.MethodGet, "http://other/", nil), ReadAt: time.Now()}
		go func() { status <- r.handle(ctx, q).Status() }()
		return status
	}
	list := func(r *Router, kind object.Kind, items ...object.Item) {
		r.control.update(t0, deltaMsg{delta: object.Delta{Kind: kind, Items: items, Through: 9, CurrentAt: t0}})
	}
	Convey("Requests wait until all lists are read", t, func() {
		r := newTestRouter()
		status := handleRequest(context.Background(), r)
		v, err := json.Marshal(config.Config{Version: 4})
		So(err, ShouldBeNil)
		list(r, object.Config, object.Item{Name: "main", Revision: 9, Value: v})
		list(r, object.Servers, serverItem("a", 5))
		select {
		case got := <-status:
			So(got, ShouldEqual, "nothing before the last list")
		case <-time.After(20 * time.Millisecond):
		}
		list(r, object.Tables)
		So(<-status, ShouldEqual, http.StatusNotFound)
		So(<-handleRequest(context.Background(), r), ShouldEqual, http.StatusNotFound)
	})
	Convey("Requests are refused after a limited time if nothing can be read", t, func() {
		r := newTestRouter()
		status := handleRequest(context.Background(), r)
		r.control.update(atSecond(2), tickMsg{})
		So(<-status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("The wait ends when the caller disconnects", t, func() {
		r := newTestRouter()
		ctx, cancel := context.WithCancel(context.Background())
		status := handleRequest(ctx, r)
		cancel()
		So(<-status, ShouldEqual, http.StatusServiceUnavailable)
	})
}

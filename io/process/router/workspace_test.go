package router

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
	"catkinstep/core/request/proof"
	"catkinstep/core/version/config"
	"catkinstep/core/version/object"
	"catkinstep/core/version/space"
	"catkinstep/io/connection/caller"
)

// applyWorkspaces puts a configuration in force, as known to be the newest at a time. It has an
// anonymous route and one that requires a key.
func (r *Router) applyWorkspaces(version uint64, at time.Time, workspaces ...space.Workspace) {
	route := config.Route{Name: "closed", Host: "h", Prefix: "/", Destinations: []config.Destination{{Service: "s", Weight: 1}}, Timeout: time.Second, LatencyTarget: time.Second, Priority: 2}
	open := route
	open.Name, open.Prefix, open.Anonymous = "open", "/open/", true
	v, _ := json.Marshal(config.Config{Version: version, Routes: []config.Route{route, open}, Services: []config.Service{{Name: "s"}}, KeysRequired: true, Workspaces: workspaces})
	r.control.update(at, deltaMsg{delta: object.Delta{Kind: object.Config, Through: version, CurrentAt: at, Items: []object.Item{{Name: "main", Revision: version, Value: v}}}})
}

func callerRequest(path string, header http.Header) caller.Request {
	q := httptest.NewRequest(http.MethodGet, "http://h"+path, nil)
	q.Header = header
	return caller.Request{Request: q, ReadAt: time.Now()}
}

func keyHeader(keys ...string) http.Header { return http.Header{names.Default().APIKey: keys} }

var millWorkspace = space.Workspace{Name: "mill", KeyHashes: []space.KeyHash{space.HashKey("k1")}, Priority: 0, OwnPriority: true}

// Guards against requests that run for nobody, or for another workspace than the one whose key
// the caller has.
func TestAPIKeys(t *testing.T) {
	Convey("A request needs exactly one known key, and is refused at once without it", t, func() {
		r := newTestRouter()
		r.now = func() time.Time { return atSecond(1) }
		r.applyWorkspaces(1, atSecond(1), millWorkspace)
		for _, header := range []http.Header{{}, keyHeader(""), keyHeader("k2"), keyHeader("K1"), keyHeader("k1 "), keyHeader("k1", "k1"), keyHeader(strings.Repeat("k", 10000))} {
			_, rejection := r.resolve(r.current.Load(), callerRequest("/x", header), "id", nil)
			So(rejection, ShouldNotBeNil)
			So(rejection.Status(), ShouldEqual, http.StatusUnauthorized)
		}
		req, rejection := r.resolve(r.current.Load(), callerRequest("/x", keyHeader("k1")), "id", nil)
		So(rejection, ShouldBeNil)
		So(req.requirements.Priority, ShouldEqual, 0)
	})
	Convey("The server gets the workspace's name, but neither the key nor a name that the caller chose", t, func() {
		r := newTestRouter()
		r.applyWorkspaces(1, t0, millWorkspace)
		for path, workspace := range map[string]string{"/x": "mill", "/open/x": ""} {
			header := keyHeader("k1")
			header.Set(names.Default().Workspace, "forged")
			req, rejection := r.resolve(r.current.Load(), callerRequest(path, header), "id", nil)
			So(rejection, ShouldBeNil)
			sent := r.forwardedHeader(req)
			So(sent.Get(names.Default().Workspace), ShouldEqual, workspace)
			So(sent.Values(names.Default().APIKey), ShouldBeEmpty)
		}
	})
	Convey("Without workspaces no key is needed, and a forged name is dropped all the same", t, func() {
		r := newTestRouter()
		r.current.Store(r.current.Load().withConfig(config.Config{Routes: []config.Route{{Name: "r", Host: "h", Prefix: "/", Destinations: []config.Destination{{Service: "s", Weight: 1}}}}}.WithIndex()))
		req, rejection := r.resolve(r.current.Load(), callerRequest("/x", http.Header{names.Default().Workspace: {"forged"}}), "id", nil)
		So(rejection, ShouldBeNil)
		So(r.forwardedHeader(req).Get(names.Default().Workspace), ShouldBeEmpty)
	})
}

// Guards against requests that run after their key was removed while they waited.
func TestKeyIsRemovedWhileARequestWaits(t *testing.T) {
	waiting := func(r *Router) *request {
		r.now = func() time.Time { return atSecond(1) }
		r.applyWorkspaces(1, atSecond(1), millWorkspace)
		req, rejection := r.resolve(r.current.Load(), callerRequest("/x", keyHeader("k1")), "id", nil)
		So(rejection, ShouldBeNil)
		return req
	}
	Convey("It is rejected at its next attempt", t, func() {
		r := newTestRouter()
		req := waiting(r)
		r.applyWorkspaces(2, atSecond(1))
		So(r.sendWithRetries(context.Background(), req).Status(), ShouldEqual, http.StatusUnauthorized)
	})
	Convey("If it may have run already, its outcome stays unknown", t, func() {
		r := newTestRouter()
		req := waiting(r)
		req.history = req.history.WithBegun().WithEnded(proof.None)
		r.applyWorkspaces(2, atSecond(1))
		So(r.sendWithRetries(context.Background(), req).Status(), ShouldBeGreaterThanOrEqualTo, http.StatusInternalServerError)
	})
	Convey("A key that was moved counts for its new workspace", t, func() {
		r := newTestRouter()
		req := waiting(r)
		r.applyWorkspaces(2, atSecond(1), space.Workspace{Name: "yard", KeyHashes: millWorkspace.KeyHashes})
		So(r.updateWorkspace(r.current.Load(), req), ShouldBeNil)
		So(r.forwardedHeader(req).Get(names.Default().Workspace), ShouldEqual, "yard")
		So(req.requirements.Priority, ShouldEqual, 2)
	})
}

// Guards against callers that give up for good because a daemon without news from the store
// does not know their new key.
func TestUnknownKeyAtAnOutdatedDaemon(t *testing.T) {
	Convey("It is asked to come back while the configuration may be outdated, and gets 401 once it is confirmed", t, func() {
		r := newTestRouter()
		r.applyWorkspaces(1, atSecond(1), millWorkspace)
		statusAt := func(s float64, header http.Header) int {
			r.now = func() time.Time { return atSecond(s) }
			_, rejection := r.resolve(r.current.Load(), callerRequest("/x", header), "id", nil)
			return rejection.Status()
		}
		So(statusAt(2, keyHeader("new")), ShouldEqual, http.StatusUnauthorized)
		So(statusAt(1+maxConfigAge.Seconds()+1, keyHeader("new")), ShouldEqual, http.StatusServiceUnavailable)
		So(statusAt(1+maxConfigAge.Seconds()+1, http.Header{}), ShouldEqual, http.StatusUnauthorized)
		r.control.update(atSecond(20), deltaMsg{delta: object.Delta{Kind: object.Config, Through: 1, CurrentAt: atSecond(20)}})
		So(statusAt(20.5, keyHeader("new")), ShouldEqual, http.StatusUnauthorized)
	})
}

// Guards against API keys in logs, which many people can read.
func TestKeysAreNotLogged(t *testing.T) {
	Convey("No log line has a key, known or unknown", t, func() {
		var logged bytes.Buffer
		r := newTestRouter()
		r.log = slog.New(slog.NewJSONHandler(&logged, nil))
		r.now = func() time.Time { return atSecond(1) }
		r.applyWorkspaces(1, atSecond(1), space.Workspace{Name: "mill", KeyHashes: []space.KeyHash{space.HashKey("secret-1")}})
		r.tickUntilBooted()
		for _, key := range []string{"secret-1", "secret-2"} {
			So(r.handle(context.Background(), callerRequest("/x", keyHeader(key))).Status(), ShouldBeGreaterThan, 400)
		}
		So(logged.String(), ShouldContainSubstring, "unknown API key")
		So(logged.String(), ShouldNotContainSubstring, "secret")
	})
}

// tickUntilBooted ends the wait of requests for the first lists.
func (r *Router) tickUntilBooted() { r.control.update(atSecond(60), tickMsg{}) }

package router

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/reach"
	"catkinstep/core/request/carry"
	"catkinstep/core/request/class"
	"catkinstep/core/version/config"
	"catkinstep/core/version/object"
	"catkinstep/core/version/space"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/mesh"
	"catkinstep/io/process/setup"
)

// pipeServer is a server at the other end of in-memory connections. It responds to each request with the
// given status.
type pipeServer struct {
	mu     sync.Mutex
	status int
	header string   // further lines, each with its end
	runs   []string // method and target
}

// DialContext implements link.Dialer.
func (s *pipeServer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

func (s *pipeServer) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // the client has its response
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, req.Method+" "+req.RequestURI)
	status, header := s.status, s.header
	s.mu.Unlock()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\n"+header+"Catkinstep-Signature: s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", status)
}

// linkedMesh connects routers without a network. A call that fails says so before or after the other
// daemon has handled it.
type linkedMesh struct {
	fakeMesh
	daemons map[string]*Router
	calls   []string
	// failWith is the error of calls to a daemon; lostReply is set if it handles them all the same.
	failWith  map[string]error
	lostReply bool
}

func (m *linkedMesh) Call(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	return m.daemons[address].handleMeshCall(ctx, call), nil
}

func (m *linkedMesh) CallShared(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	return m.Call(ctx, address, call)
}

func (m *linkedMesh) CallBulk(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	m.calls = append(m.calls, address)
	err := m.failWith[address]
	if err != nil && !m.lostReply {
		return nil, err
	}
	reply := m.daemons[address].handleMeshCall(ctx, call)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// newSiteRouter returns a router with one service, whose only server is at the other end of a dialer.
func newSiteRouter(name string, s *pipeServer) *Router {
	r := New(setup.Settings{Name: name, DataCentre: "x", RetryShare: 0.2, RetryBurst: 56, ColdFactor: 1.5, ColdSlack: 5}, nil, stubProtocol{},
		WithLogger(slog.New(slog.DiscardHandler)), WithClock(func() time.Time { return atSecond(1) }), WithServerDialer(s))
	r.updateServers(atSecond(1), 10, serverItem("a", 5))
	route := config.Route{Name: "look", Host: "h", Prefix: "/", Destinations: []config.Destination{{Service: "s", Weight: 1}}, Idempotent: true, MaxAttempts: 2, Timeout: time.Second, LatencyTarget: time.Second}
	book := route
	book.Name, book.Prefix, book.Idempotent = "book", "/book/", false
	v, _ := json.Marshal(config.Config{Version: 1, Routes: []config.Route{route, book}, Services: []config.Service{{Name: "s"}}, KeysRequired: true, Workspaces: []space.Workspace{limitedWorkspace}})
	r.control.update(atSecond(1), deltaMsg{delta: object.Delta{Kind: object.Config, Through: 1, CurrentAt: atSecond(1), Items: []object.Item{{Name: "main", Revision: 1, Value: v}}}})
	r.tickUntilBooted()
	r.lendToSelf()
	return r
}

// newCutOffRouter returns a router whose host reaches no servers, with the routers "b:1" and "c:1", which
// carry its requests, and the server that these reach.
func newCutOffRouter() (*Router, *linkedMesh, *pipeServer) {
	s := &pipeServer{status: http.StatusOK}
	m := &linkedMesh{daemons: map[string]*Router{"b:1": newSiteRouter("b", s), "c:1": newSiteRouter("c", s)}, failWith: map[string]error{}}
	r := newSiteRouter("a", s)
	r.mesh = m
	r.cutOff.Store(true)
	r.carriers.Targets(time.Now(), []carry.Peer{{Address: "b:1"}, {Address: "c:1"}})
	for address := range m.daemons {
		r.carriers.RecordAnswer(time.Now(), address, true)
	}
	return r, m, s
}

func booking() caller.Request { return requestOf(http.MethodPost, "/book/x") }

func lookupOf(path string) caller.Request { return requestOf(http.MethodGet, path) }

func requestOf(method, path string) caller.Request {
	q := httptest.NewRequest(method, path, nil)
	q.Host, q.Header = "h", keyHeader("k1")
	return caller.Request{Request: q, ReadAt: time.Now()}
}

var errLost = &mesh.Error{Op: "call", Kind: mesh.OutcomeUnknown, Err: errors.New("no reply")}

// Guards against callers who are refused because their host alone has lost its links, and against requests
// that count twice, once for each of two daemons.
func TestRequestIsCarried(t *testing.T) {
	Convey("The caller gets the server's response, and the request counts once", t, func() {
		r, m, s := newCutOffRouter()
		reply := r.handle(context.Background(), lookupOf("/x?y=1"))
		So(reply.Status(), ShouldEqual, http.StatusOK)
		So(string(reply.Body()), ShouldEqual, "hi")
		So(s.runs, ShouldResemble, []string{"GET /x?y=1"})
		So(m.calls, ShouldHaveLength, 1)
		So(r.useUp(), ShouldEqual, 10)
		So(m.daemons[m.calls[0]].useUp(), ShouldEqual, 9)
	})
	Convey("Its outcome counts for the priorities at the daemon that chose its server", t, func() {
		r, m, _ := newCutOffRouter()
		for _, d := range append([]*Router{r}, m.daemons["b:1"], m.daemons["c:1"]) {
			d.ranked.promoters["s"] = &class.Promoter{}
		}
		So(r.handle(context.Background(), lookupOf("/x")).Status(), ShouldEqual, http.StatusOK)
		So(*m.daemons[m.calls[0]].ranked.promoters["s"], ShouldNotResemble, class.Promoter{})
		So(*r.ranked.promoters["s"], ShouldResemble, class.Promoter{})
	})
	Convey("A server's failure is passed on after the retries of one daemon", t, func() {
		r, m, s := newCutOffRouter()
		s.status = http.StatusInternalServerError
		So(r.handle(context.Background(), lookupOf("/x")).Status(), ShouldEqual, http.StatusInternalServerError)
		So(m.calls, ShouldHaveLength, 1)
		So(len(s.runs), ShouldBeLessThanOrEqualTo, 2)
	})
}

// Guards against requests of a host without links that run beyond an allowance at the daemon that carries them.
func TestCarriedRequestNeedsAllowance(t *testing.T) {
	Convey("The caller gets 429, since the request did not run, and no other daemon is asked", t, func() {
		r, m, s := newCutOffRouter()
		for _, d := range m.daemons {
			d.useUp()
		}
		reply := r.handle(context.Background(), booking())
		So(reply.Status(), ShouldEqual, http.StatusTooManyRequests)
		So(reply.Refusal().RetryAfter, ShouldBeGreaterThan, 0)
		So(s.runs, ShouldBeEmpty)
		So(m.calls, ShouldHaveLength, 1)
	})
}

// Guards against requests that go from host to host, and against refusals that are late or untrue.
func TestCarriedRequestEndsAtOneHost(t *testing.T) {
	Convey("A daemon that reaches no servers itself declines, and the next one serves", t, func() {
		r, m, s := newCutOffRouter()
		first := m.daemons["b:1"]
		first.cutOff.Store(true)
		first.mesh = m
		for range 4 {
			So(r.handle(context.Background(), booking()).Status(), ShouldEqual, http.StatusOK)
		}
		So(s.runs, ShouldHaveLength, 4)
	})
	Convey("If all decline, the caller is refused at once, with a time", t, func() {
		r, m, s := newCutOffRouter()
		for _, d := range m.daemons {
			d.cutOff.Store(true)
		}
		reply := r.handle(context.Background(), booking())
		So(reply.Status(), ShouldEqual, http.StatusServiceUnavailable)
		So(reply.Refusal().RetryAfter, ShouldBeGreaterThan, 0)
		So(s.runs, ShouldBeEmpty)
		So(len(m.calls), ShouldEqual, 2)
	})
	Convey("A refused or declined call did not run, and the next daemon serves", t, func() {
		for _, kind := range []mesh.Kind{mesh.ConnectionRefused, mesh.NotSent, mesh.Remote} {
			r, m, s := newCutOffRouter()
			m.failWith["b:1"] = &mesh.Error{Op: "call", Kind: kind, Err: errors.New("no")}
			for range 3 {
				So(r.handle(context.Background(), booking()).Status(), ShouldEqual, http.StatusOK)
			}
			So(s.runs, ShouldHaveLength, 3)
		}
	})
}

// Guards against bookings that run twice since the reply of another daemon was lost.
func TestLostReplyOfCarrier(t *testing.T) {
	Convey("A booking that may have run is not sent again, and the caller does not hear that it has not", t, func() {
		r, m, s := newCutOffRouter()
		m.lostReply = true
		m.failWith["b:1"], m.failWith["c:1"] = errLost, errLost
		reply := r.handle(context.Background(), booking())
		So(reply.Status(), ShouldEqual, http.StatusBadGateway)
		So(s.runs, ShouldHaveLength, 1)
		So(m.calls, ShouldHaveLength, 1)
	})
	Convey("A lookup is sent to another daemon", t, func() {
		r, m, _ := newCutOffRouter()
		first, _ := r.carriers.Choose(time.Now(), nil)
		m.failWith[first.Address] = errLost
		So(r.handle(context.Background(), lookupOf("/x")).Status(), ShouldEqual, http.StatusOK)
		So(m.calls, ShouldHaveLength, 2)
	})
}

// Guards against a stop that cuts requests of other hosts.
func TestStopAwaitsCarriedRequests(t *testing.T) {
	Convey("A daemon that stops takes no more, and waits for those that it serves", t, func() {
		_, m, _ := newCutOffRouter()
		d := m.daemons["b:1"]
		So(d.carriesRequests(), ShouldBeTrue)
		d.carriedRunning.Add(1)
		d.stopping.Store(true)
		So(d.carriesRequests(), ShouldBeFalse)
		done := make(chan struct{})
		go func() { d.awaitCarried(context.Background()); close(done) }()
		select {
		case <-done:
			t.Error("it did not wait")
		case <-time.After(3 * carriedPollInterval):
		}
		d.carriedRunning.Add(-1)
		<-done
	})
}

// Guards against attempts that end for another reason than the server's, and are taken for its loss.
func TestFailedAttemptsToConnect(t *testing.T) {
	Convey("A refusal counts, and a time-out that is not due to the caller's own deadline", t, func() {
		timeout := &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		So(isServerUnreachable(context.Background(), errors.New("connection refused"), 0), ShouldBeTrue)
		So(isServerUnreachable(context.Background(), timeout, minDialWait), ShouldBeTrue)
		So(isServerUnreachable(context.Background(), timeout, time.Millisecond), ShouldBeFalse)
		So(isServerUnreachable(cancelled, timeout, minDialWait), ShouldBeFalse)
	})
	Convey("A host that reaches no servers asks others, and serves again once it reaches one", t, func() {
		r, m, _ := newCutOffRouter()
		r.cutOff.Store(false)
		r.control.updateReach(t0, reach.DialFailedMsg{Address: "a"})
		r.control.updateReach(t0, reach.ProbedMsg{Failed: []string{"a"}})
		So(r.cutOff.Load(), ShouldBeTrue)
		So(r.control.newGossip(t0).CutOff, ShouldBeTrue)
		r.control.updateReach(t0, reach.ProbedMsg{AnyOK: true})
		So(r.cutOff.Load(), ShouldBeFalse)
		So(m.calls, ShouldBeEmpty) // it knows no other daemon
	})
}

package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func start(t *testing.T, h Handler, opts ...Option) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, opts...)
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return s, l.Addr().String()
}

// client is a caller that writes and reads as it likes.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) *client {
	c, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	return &client{Conn: c, r: bufio.NewReader(c)}
}

func (c *client) get(path string) {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	So(err, ShouldBeNil)
}

func (c *client) answer() (*http.Response, string) {
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodGet})
	So(err, ShouldBeNil)
	body, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	return resp, string(body)
}

func echo(_ context.Context, r Request) Reply {
	return Reply{Status: 200, Header: http.Header{}, Body: []byte(r.URL.Path + string(r.Body))}
}

// Guards against a second lookup that is not read until the first is answered.
func TestPipelined(t *testing.T) {
	Convey("Requests run side by side and are answered in order", t, func() {
		quick := make(chan struct{})
		_, address := start(t, func(_ context.Context, r Request) Reply {
			if r.URL.Path == "/slow" {
				select {
				case <-quick:
				case <-time.After(3 * time.Second):
				}
				return echo(nil, r) //nolint:staticcheck // echo needs no context
			}
			close(quick)
			return echo(nil, r) //nolint:staticcheck // as above
		})
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		c.get("/slow")
		c.get("/quick")
		began := time.Now()
		_, first := c.answer()
		_, second := c.answer()
		So(first, ShouldEqual, "/slow")
		So(second, ShouldEqual, "/quick")
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)
	})
}

func TestBodies(t *testing.T) {
	_, address := start(t, echo, WithLimits(func() Limits {
		return Limits{HeaderBytes: 2000, BodyBytes: 100, Header: time.Second, Idle: time.Second}
	}))
	send := func(text string) (*http.Response, string) {
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		_, err := io.WriteString(c, text)
		So(err, ShouldBeNil)
		return c.answer()
	}
	Convey("Bodies come whole, with a length or in chunks", t, func() {
		_, body := send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz")
		So(body, ShouldEqual, "/axyz")
		_, body = send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n")
		So(body, ShouldEqual, "/axyz")
	})
	Convey("What is beyond the limits is refused, and no more is read", t, func() {
		resp, _ := send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n")
		So(resp.StatusCode, ShouldEqual, 413)
		So(resp.Close, ShouldBeTrue)
		resp, _ = send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 200, strings.Repeat("x", 200)))
		So(resp.StatusCode, ShouldEqual, 413)
		resp, _ = send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n")
		So(resp.StatusCode, ShouldEqual, 431)
		resp, _ = send("nonsense\r\n\r\n")
		So(resp.StatusCode, ShouldEqual, 400)
	})
	Convey("A head that does not arrive in time is refused", t, func() {
		resp, _ := send("GET /a HTTP/1.1\r\nHost:")
		So(resp.StatusCode, ShouldEqual, 408)
	})
}

// Guards against work that goes on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	Convey("The request's context ends with the connection", t, func() {
		gone := make(chan struct{})
		_, address := start(t, func(ctx context.Context, _ Request) Reply {
			<-ctx.Done()
			close(gone)
			return Reply{Status: 502, Header: http.Header{}}
		})
		c := dial(address)
		c.get("/x")
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
		select {
		case <-gone:
		case <-time.After(2 * time.Second):
			So("the handler", ShouldEqual, "notified")
		}
	})
}

// Guards against a planned stop that closes connections whose request is on its way.
func TestStopAwaitsRequestsOnTheWay(t *testing.T) {
	finish := func(s *Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		t.Cleanup(cancel)
		go s.Finish(ctx)
		time.Sleep(3 * finishPoll)
	}
	Convey("The first request of a new connection is answered", t, func() {
		s, address := start(t, echo)
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		for s.Taken() < 1 {
			time.Sleep(time.Millisecond)
		}
		finish(s)
		c.get("/1")
		resp, body := c.answer()
		So(body, ShouldEqual, "/1")
		So(resp.Close, ShouldBeTrue)
	})
	Convey("A request that has begun to come is read and answered", t, func() {
		s, address := start(t, echo)
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		c.get("/1")
		_, _ = c.answer()
		time.Sleep(2 * firstWithin)
		_, _ = io.WriteString(c, "GET /2 HTTP/1.1\r\n")
		time.Sleep(finishPoll)
		finish(s)
		_, _ = io.WriteString(c, "Host: h\r\n\r\n")
		resp, body := c.answer()
		So(body, ShouldEqual, "/2")
		So(resp.Close, ShouldBeTrue)
	})
	Convey("Connections that are only just being accepted are awaited", t, func() {
		s, address := start(t, echo)
		finished := make(chan struct{})
		go func() { defer close(finished); s.Finish(context.Background()) }()
		time.Sleep(finishPoll)
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		c.get("/1")
		_, body := c.answer()
		So(body, ShouldEqual, "/1")
		select {
		case <-finished:
			So("Finish", ShouldEqual, "waiting")
		default:
		}
		<-finished
	})
	Convey("A connection on which nothing comes is closed", t, func() {
		s, address := start(t, echo)
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		for s.Taken() < 1 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		s.Finish(ctx)
		So(ctx.Err(), ShouldBeNil)
	})
}

// Guards against a planned stop that leaves requests unanswered which were read.
func TestPlannedStop(t *testing.T) {
	Convey("No request that was read is cut", t, func() {
		let := make(chan struct{})
		var began atomic.Int32
		s, address := start(t, func(ctx context.Context, r Request) Reply {
			began.Add(1)
			<-let
			return echo(ctx, r)
		})
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		c.get("/1")
		c.get("/2")
		for began.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		s.Stop()
		close(let)
		first, body1 := c.answer()
		second, body2 := c.answer()
		So(body1+body2, ShouldEqual, "/1/2")
		So(first.Close, ShouldBeFalse)
		So(second.Close, ShouldBeTrue)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		s.Finish(ctx)
		So(ctx.Err(), ShouldBeNil)
		So(s.Running(), ShouldEqual, 0)
	})
	Convey("After the stop no request is taken behind another", t, func() {
		let := make(chan struct{})
		var began atomic.Int32
		s, address := start(t, func(ctx context.Context, r Request) Reply {
			began.Add(1)
			<-let
			return echo(ctx, r)
		})
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		c.get("/1")
		for began.Load() < 1 {
			time.Sleep(time.Millisecond)
		}
		s.Stop()
		c.get("/2")
		time.Sleep(50 * time.Millisecond)
		close(let)
		resp, body := c.answer()
		So(body, ShouldEqual, "/1")
		So(resp.Close, ShouldBeTrue)
		So(began.Load(), ShouldEqual, 1)
	})
	Convey("A connection whose answer is on its way out is not idle", t, func() {
		const large = 16 << 20 // more than the system takes without a reader
		s, address := start(t, func(context.Context, Request) Reply {
			return Reply{Status: 200, Header: http.Header{}, Body: make([]byte, large)}
		})
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		c.get("/1")
		_, err := c.r.Peek(1)
		So(err, ShouldBeNil)
		s.Stop()
		So(s.closeIdle(time.Now()), ShouldEqual, 1)
		_, body := c.answer()
		So(len(body), ShouldEqual, large)
	})
	Convey("An idle connection is closed only at the end", t, func() {
		s, address := start(t, echo)
		c := dial(address)
		defer c.Close() //nolint:errcheck // a test's client
		c.get("/1")
		_, _ = c.answer()
		s.Stop()
		c.get("/2")
		resp, body := c.answer()
		So(body, ShouldEqual, "/2")
		So(resp.Close, ShouldBeTrue)
	})
}

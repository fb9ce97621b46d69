package link

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

	"catkinstep/core/connection/names"
)

// script is a server that answers the nth request of a connection by the nth
// part of a script, byte for byte, and counts requests and connections.
type script struct {
	net.Listener
	requests, conns atomic.Int32
}

// act writes an answer; false ends the connection.
type act func(c net.Conn, r *http.Request) bool

func serve(t *testing.T, acts ...act) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.play(c, acts)
		}
	}()
	return s
}

func (s *script) play(c net.Conn, acts []act) {
	defer c.Close() //nolint:errcheck // a stand-in
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n := int(s.requests.Add(1)) - 1
		if !acts[min(n, len(acts)-1)](c, req) {
			return
		}
	}
}

// raw answers by a text in which ID stands for the request's id.
func raw(text string) act {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(names.Default().ID)))
		return true
	}
}

func last(a act) act {
	return func(c net.Conn, r *http.Request) bool { a(c, r); return false }
}

func reset(c net.Conn, _ *http.Request) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

const whole = "HTTP/1.1 200 OK\r\nCatkinstep-Request-Id: ID\r\nContent-Length: 2\r\n\r\nok"

func (s *script) link() *Link { return New(s.Addr().String(), "server-1", names.Default(), 2) }

func ask(l *Link, id string) (*Answer, error) {
	return l.Do(context.Background(), Request{Method: http.MethodGet, Target: "/x?y=1", Host: "h.example", ID: id, Left: 500 * time.Millisecond,
		Header: http.Header{names.Default().ID: {id}}})
}

func TestWholeAnswers(t *testing.T) {
	Convey("An answer comes back as it was, and the connection is used again", t, func() {
		s := serve(t, raw(whole))
		l := s.link()
		for i := range 3 {
			a, err := ask(l, fmt.Sprint("id", i))
			So(err, ShouldBeNil)
			So(a.Status, ShouldEqual, 200)
			So(string(a.Body), ShouldEqual, "ok")
		}
		So(s.conns.Load(), ShouldEqual, 1)
	})
	Convey("The request carries its deadline and the server's name, and no others", t, func() {
		var seen *http.Request
		s := serve(t, func(c net.Conn, r *http.Request) bool { seen = r; return raw(whole)(c, r) })
		_, err := s.link().Do(context.Background(), Request{Method: http.MethodGet, Target: "/a%2Fb?c", Host: "h.example", ID: "1", Left: 1500 * time.Millisecond,
			Header: http.Header{names.Default().ID: {"1"}, names.Default().Deadline: {"99999"}}})
		So(err, ShouldBeNil)
		So(seen.RequestURI, ShouldEqual, "/a%2Fb?c")
		So(seen.Host, ShouldEqual, "h.example")
		So(seen.Header.Values(names.Default().Deadline), ShouldResemble, []string{"1500"})
		So(seen.Header.Get(names.Default().Instance), ShouldEqual, "server-1")
	})
	Convey("A body without length ends with its connection", t, func() {
		s := serve(t, last(raw("HTTP/1.1 200 OK\r\nCatkinstep-Request-Id: ID\r\n\r\nto the end")))
		a, err := ask(s.link(), "1")
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "to the end")
	})
	Convey("Interim answers are skipped", t, func() {
		s := serve(t, raw("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+whole))
		a, err := ask(s.link(), "1")
		So(err, ShouldBeNil)
		So(a.Status, ShouldEqual, 200)
	})
	Convey("A refusal marked as not run is recognised", t, func() {
		s := serve(t, raw("HTTP/1.1 503 No\r\nCatkinstep-Request-Id: ID\r\nCatkinstep-Not-Run: 1\r\nCatkinstep-Load: 3,2,3,100\r\nContent-Length: 0\r\n\r\n"))
		a, err := ask(s.link(), "1")
		So(err, ShouldBeNil)
		So(a.NotRun, ShouldBeTrue)
		So(a.Load.Waiting, ShouldEqual, 2)
	})
}

// Guards against anything but the whole answer to a caller's own request.
func TestOddAnswers(t *testing.T) {
	Convey("Half an answer is none", t, func() {
		s := serve(t, last(raw("HTTP/1.1 200 OK\r\nCatkinstep-Request-Id: ID\r\nContent-Length: 100\r\n\r\nhalf")))
		_, err := ask(s.link(), "1")
		So(KindOf(err), ShouldEqual, Cut)
	})
	Convey("A body without length that is reset is not complete", t, func() {
		s := serve(t, func(c net.Conn, r *http.Request) bool {
			raw("HTTP/1.1 200 OK\r\nCatkinstep-Request-Id: ID\r\n\r\nhalf of it")(c, r)
			time.Sleep(50 * time.Millisecond)
			return reset(c, r)
		})
		_, err := ask(s.link(), "1")
		So(KindOf(err), ShouldEqual, Cut)
	})
	Convey("Bytes that are no answer are an error", t, func() {
		s := serve(t, last(raw("what is this\r\n\r\n")))
		_, err := ask(s.link(), "1")
		So(err, ShouldNotBeNil)
		So(NotRun(err), ShouldBeFalse)
	})
	Convey("A second answer that came with the first is never the next one's", t, func() {
		s := serve(t, raw(whole+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"), raw(whole))
		l := s.link()
		_, err := ask(l, "1")
		So(err, ShouldBeNil)
		a, err := ask(l, "2")
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "ok")
		So(s.conns.Load(), ShouldEqual, 2)
	})
	Convey("A late answer to another request is skipped by its id", t, func() {
		s := serve(t, raw("HTTP/1.1 200 OK\r\nCatkinstep-Request-Id: someone\r\nContent-Length: 5\r\n\r\nother"+whole))
		a, err := ask(s.link(), "1")
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "ok")
	})
	Convey("An answer before a long body is read does not leave the connection to others", t, func() {
		early := func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 413 No\r\nCatkinstep-Request-Id: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(200 * time.Millisecond)
			return false
		}
		s := serve(t, early, raw(whole))
		l := s.link()
		a, err := l.Do(context.Background(), Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1", Left: time.Second, Body: make([]byte, 8<<20)})
		So(err, ShouldBeNil)
		So(a.Status, ShouldEqual, 413)
		So(l.idle, ShouldBeEmpty)
	})
}

// Guards against a booking that a lower layer sends again.
func TestNothingIsSentTwice(t *testing.T) {
	Convey("A kept connection that breaks under a request leaves its outcome unknown", t, func() {
		s := serve(t, raw(whole), reset)
		l := s.link()
		_, err := ask(l, "1")
		So(err, ShouldBeNil)
		_, err = ask(l, "2")
		So(KindOf(err), ShouldEqual, Unsure)
		So(ResetNew(err), ShouldBeFalse)
		So(s.requests.Load(), ShouldEqual, 2)
	})
	Convey("A kept connection that was closed meanwhile is noticed before anything is written", t, func() {
		s := serve(t, last(raw(whole)), raw(whole))
		l := s.link()
		_, err := ask(l, "1")
		So(err, ShouldBeNil)
		time.Sleep(20 * time.Millisecond)
		_, err = ask(l, "2")
		So(err, ShouldBeNil)
		So(s.requests.Load(), ShouldEqual, 2)
	})
	Convey("A refused connection proves that nothing was sent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		_, err = ask(New(l.Addr().String(), "x", names.Default(), 1), "1")
		So(KindOf(err), ShouldEqual, Refused)
		So(NotRun(err), ShouldBeTrue)
	})
	Convey("Only on a kept connection: without one nothing is sent", t, func() {
		s := serve(t, raw(whole))
		_, err := s.link().Do(context.Background(), Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", KeptOnly: true})
		So(KindOf(err), ShouldEqual, NotSent)
		So(s.conns.Load(), ShouldEqual, 0)
	})
}

// Guards against a server that works on for a caller who has left.
func TestCancelReachesTheServer(t *testing.T) {
	Convey("The context's end closes the connection", t, func() {
		closed := make(chan struct{})
		s := serve(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = c.Read(make([]byte, 1))
			close(closed)
			return false
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := s.link().Do(ctx, Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", Left: time.Second})
		So(KindOf(err), ShouldEqual, Late)
		select {
		case <-closed:
		case <-time.After(2 * time.Second):
			So("the server", ShouldEqual, "notified")
		}
	})
}

package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
	"catkinstep/core/request/notice"
)

// fakeGate lets requests pass until it is closed, and records what is announced.
type fakeGate struct {
	mu      sync.Mutex
	closed  bool
	notices []notice.Notice
}

var errClosed = errors.New("closed")

func (g *fakeGate) Check(Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errClosed
	}
	return nil
}

func (g *fakeGate) Announced(_ Request, _ time.Time, n notice.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notices = append(g.notices, n)
}

func (g *fakeGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// closingDialer closes the gate while a connection is opened.
type closingDialer struct{ gate *fakeGate }

func (d closingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.gate.close()
	return DefaultDialer.DialContext(ctx, network, address)
}

// Guards against requests that are written although the gate has closed while they waited for a connection.
func TestGateIsCheckedBeforeTheWrite(t *testing.T) {
	Convey("Neither a new connection nor an idle one gets them, and they surely did not run", t, func() {
		s, g := startServer(t, respondWith(completeResponse)), &fakeGate{}
		client := New(s.Addr().String(), "server-1", names.Default(), 2, WithGate(g), WithDialer(closingDialer{gate: g}))
		_, err := do(client, "1")
		So(KindOf(err), ShouldEqual, Withheld)
		So(NotRun(err), ShouldBeTrue)
		So(errors.Is(err, errClosed), ShouldBeTrue)
		So(s.requests.Load(), ShouldEqual, 0)
	})
	Convey("No connection is opened for a request that must not be sent", t, func() {
		s, g := startServer(t, respondWith(completeResponse)), &fakeGate{closed: true}
		_, err := do(New(s.Addr().String(), "server-1", names.Default(), 2, WithGate(g)), "1")
		So(KindOf(err), ShouldEqual, Withheld)
		So(s.conns.Load(), ShouldEqual, 0)
	})
}

// Guards against announcements that are missed in responses which are not passed on.
func TestAnnouncementsCountInAllResponses(t *testing.T) {
	asking := "HTTP/1.1 503 x\r\nCatkinstep-Request-Id: ID\r\nRetry-After: 3\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{
		"whole":                 asking,
		"to an earlier request": "HTTP/1.1 503 x\r\nCatkinstep-Request-Id: other\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n" + completeResponse,
		"cut in its body":       "HTTP/1.1 503 x\r\nCatkinstep-Request-Id: ID\r\nRetry-After: 3\r\nContent-Length: 20\r\n\r\nok",
	} {
		Convey("A response that is "+name+" announces", t, func() {
			s, g := startServer(t, thenClose(respondWith(text))), &fakeGate{}
			_, _ = do(New(s.Addr().String(), "server-1", names.Default(), 2, WithGate(g)), "1")
			So(g.notices, ShouldResemble, []notice.Notice{{Rest: 3 * time.Second}})
		})
	}
	Convey("Two fields count both, and an answer to a control call, too", t, func() {
		s, g := startServer(t, respondWith("HTTP/1.1 503 x\r\nRetry-After: 1\r\nRetry-After: 4\r\nCatkinstep-Leaving: 1\r\nContent-Length: 0\r\n\r\n")), &fakeGate{}
		client := New(s.Addr().String(), "server-1", names.Default(), 2, WithGate(g))
		_, err := client.Do(context.Background(), Request{Method: http.MethodPost, Target: "/grant", Host: "h", ControlCall: true})
		So(err, ShouldBeNil)
		So(g.notices, ShouldResemble, []notice.Notice{{Rest: 4 * time.Second, Leaving: true}})
	})
}

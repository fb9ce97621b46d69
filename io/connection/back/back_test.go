package back

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
)

func serve(h http.HandlerFunc) (address string, stop func()) {
	s := httptest.NewServer(h)
	return s.Listener.Addr().String(), s.Close
}

func booking() Order {
	return Order{Order: &wire.Order{Id: "a", Method: http.MethodPost, Path: "/x",
		Headers: []*wire.Header{{Name: "Idempotency-Key", Value: "a"}}}, NotAfter: time.Second}
}

func kindOf(err error) Kind {
	if e, ok := As(err); ok {
		return e.Kind
	}
	return ""
}

func TestSend(t *testing.T) {
	ctx := context.Background()
	Convey("A whole answer is given on, without the headers between us", t, func() {
		address, stop := serve(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			w.Header().Set("X-Own", "1")
			_, _ = w.Write([]byte("done"))
		})
		defer stop()
		a, _, err := New(address, 4).Send(ctx, booking())
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "done")
		for _, h := range a.Headers {
			So(h.Name, ShouldNotEqual, HeaderID)
		}
	})
	Convey("An answer to another request is none", t, func() {
		address, stop := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderID, "b")
			_, _ = w.Write([]byte("somebody's address"))
		})
		defer stop()
		_, _, err := New(address, 4).Send(ctx, booking())
		So(kindOf(err), ShouldEqual, Crossed)
	})
	Convey("Half an answer is an error, never a short success", t, func() {
		address, stop := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		})
		defer stop()
		_, _, err := New(address, 4).Send(ctx, booking())
		So(kindOf(err), ShouldEqual, Unsure)
	})
	Convey("A refusal marked as not run is told from an answer", t, func() {
		address, stop := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderOutcome, OutcomeNotRun)
			w.Header().Set(HeaderCode, "shed")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		defer stop()
		_, _, err := New(address, 4).Send(ctx, booking())
		So(kindOf(err), ShouldEqual, NotRun)
	})
	Convey("A refused connection proves that the process has ended", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		_, _, err = New(l.Addr().String(), 4).Send(ctx, booking())
		So(kindOf(err), ShouldEqual, Gone)
	})
}

// A booking goes out on a connection that was used before, and the server
// breaks it after reading. The HTTP library would send it again by itself, for
// its idempotency header, and the caller would pay twice.
func TestNoSecondSendByTheLibrary(t *testing.T) {
	Convey("A booking on a reused connection that breaks arrives once", t, func() {
		var bookings atomic.Int32
		address, stop := serve(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				bookings.Add(1)
				panic(http.ErrAbortHandler)
			}
		})
		defer stop()
		c := New(address, 2)
		lookup := Order{Order: &wire.Order{Id: "l", Method: http.MethodGet, Path: "/x", Idempotent: true}}
		_, _, err := c.Send(context.Background(), lookup)
		So(err, ShouldBeNil)
		_, _, err = c.Send(context.Background(), booking())
		So(kindOf(err), ShouldEqual, Unsure)
		So(bookings.Load(), ShouldEqual, 1)
	})
}

package mesh

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
)

func fetchCall(label string) *wire.Call {
	return &wire.Call{Kind: &wire.Call_Fetch{Fetch: &wire.Fetch{Kind: label}}}
}

// Guards against taking a reply on the shared stream for the reply to another call.
func TestSharedStream(t *testing.T) {
	Convey("Each call gets its own reply, even after a call whose reply came too late", t, func() {
		slow := atomic.Bool{}
		b := listen(func(_ context.Context, c *wire.Call) *wire.Reply {
			if slow.Load() {
				time.Sleep(60 * time.Millisecond)
			}
			return statusReply(c.GetFetch().GetKind())
		})
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		defer b.Close() //nolint:errcheck // the test is over
		var wg sync.WaitGroup
		wrongReplies := atomic.Int32{}
		for i := range 40 {
			wg.Go(func() {
				name := fmt.Sprint(i)
				if r, err := a.CallShared(context.Background(), b.address(), fetchCall(name)); err != nil || r.Status.Daemon != name {
					wrongReplies.Add(1)
				}
			})
		}
		wg.Wait()
		So(wrongReplies.Load(), ShouldEqual, 0)
		slow.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := a.CallShared(ctx, b.address(), fetchCall("late"))
		So(IsKind(err, OutcomeUnknown), ShouldBeTrue)
		slow.Store(false)
		r, err := a.CallShared(context.Background(), b.address(), fetchCall("next"))
		So(err, ShouldBeNil)
		So(r.Status.Daemon, ShouldEqual, "next")
	})
}

func TestNotify(t *testing.T) {
	Convey("Calls with and without a reply arrive in the order in which they were sent", t, func() {
		received := make(chan string, 3)
		b := listen(func(_ context.Context, c *wire.Call) *wire.Reply {
			received <- c.GetFetch().GetKind()
			if len(received) < 3 {
				return nil
			}
			return statusReply("last")
		})
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		defer b.Close() //nolint:errcheck // the test is over
		for _, name := range []string{"x", "y"} {
			So(a.Notify(context.Background(), b.address(), fetchCall(name)), ShouldBeNil)
		}
		r, err := a.CallShared(context.Background(), b.address(), fetchCall("z"))
		So(err, ShouldBeNil)
		So(r.Status.Daemon, ShouldEqual, "last")
		for _, name := range []string{"x", "y", "z"} {
			So(<-received, ShouldEqual, name)
		}
	})
	Convey("A refused connection is an error", t, func() {
		a := listen(nil)
		b := listen(nil)
		address := b.address()
		So(b.Close(), ShouldBeNil)
		defer a.Close() //nolint:errcheck // the test is over
		So(IsKind(a.Notify(context.Background(), address, fetchCall("x")), ConnectionRefused), ShouldBeTrue)
	})
}

func TestFrameHeaders(t *testing.T) {
	Convey("Only the header of a data frame with a body is recognised", t, func() {
		So(isDataHeader([]byte{0, 0, 0, 1, 0, 0, 0, 3, 0, 0, 0, 5}), ShouldBeTrue)
		So(isDataHeader([]byte{0, 0, 0, 4, 0, 0, 0, 3, 0, 0, 0, 0}), ShouldBeFalse) // a data frame without a body closes a stream
		So(isDataHeader([]byte{0, 1, 0, 1, 0, 0, 0, 3, 0, 0, 0, 5}), ShouldBeFalse) // a window update
		So(isDataHeader([]byte("catkin")), ShouldBeFalse)
	})
}

// recordingConn is a connection that records what is written.
type recordingConn struct {
	net.Conn
	bytes.Buffer
}

func (r *recordingConn) Read(p []byte) (int, error)  { return r.Buffer.Read(p) }
func (r *recordingConn) Write(p []byte) (int, error) { return r.Buffer.Write(p) }

// Guards against frames whose header and body are written separately or in the wrong order.
func TestHeaderWaitsForBody(t *testing.T) {
	Convey("A header is written with its body, and a frame without a body at once", t, func() {
		out := &recordingConn{}
		c := &frameConn{Conn: out}
		update, header, body := []byte{0, 1, 0, 1, 0, 0, 0, 3, 0, 0, 1, 0}, []byte{0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 2}, []byte("hi")
		for _, p := range [][]byte{update, header} {
			n, err := c.Write(p)
			So(n, ShouldEqual, len(p))
			So(err, ShouldBeNil)
		}
		So(out.Bytes(), ShouldResemble, update)
		n, err := c.Write(body)
		So(n, ShouldEqual, len(body))
		So(err, ShouldBeNil)
		So(out.Bytes(), ShouldResemble, slices.Concat(update, header, body))
	})
}

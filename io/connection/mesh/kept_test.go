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

func named(name string) *wire.Call {
	return &wire.Call{Kind: &wire.Call_Fetch{Fetch: &wire.Fetch{Kind: name}}}
}

// Guards against replies that are taken for those of other calls on the kept stream.
func TestKeptStream(t *testing.T) {
	Convey("Each call gets its own reply, also after one that came too late", t, func() {
		slow := atomic.Bool{}
		b := listen(func(_ context.Context, c *wire.Call) *wire.Reply {
			if slow.Load() {
				time.Sleep(60 * time.Millisecond)
			}
			return status(c.GetFetch().GetKind())
		})
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		defer b.Close() //nolint:errcheck // the test is over
		var wg sync.WaitGroup
		wrong := atomic.Int32{}
		for i := range 40 {
			wg.Go(func() {
				name := fmt.Sprint(i)
				if r, err := a.Ask(context.Background(), b.address(), named(name)); err != nil || r.Status.Daemon != name {
					wrong.Add(1)
				}
			})
		}
		wg.Wait()
		So(wrong.Load(), ShouldEqual, 0)
		slow.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := a.Ask(ctx, b.address(), named("late"))
		So(Is(err, Unsure), ShouldBeTrue)
		slow.Store(false)
		r, err := a.Ask(context.Background(), b.address(), named("next"))
		So(err, ShouldBeNil)
		So(r.Status.Daemon, ShouldEqual, "next")
	})
	Convey("Calls without a reply keep their order with the others", t, func() {
		got := make(chan string, 3)
		b := listen(func(_ context.Context, c *wire.Call) *wire.Reply {
			got <- c.GetFetch().GetKind()
			if len(got) < 3 {
				return nil
			}
			return status("last")
		})
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		defer b.Close() //nolint:errcheck // the test is over
		for _, name := range []string{"x", "y"} {
			So(a.Tell(context.Background(), b.address(), named(name)), ShouldBeNil)
		}
		r, err := a.Ask(context.Background(), b.address(), named("z"))
		So(err, ShouldBeNil)
		So(r.Status.Daemon, ShouldEqual, "last")
		for _, name := range []string{"x", "y", "z"} {
			So(<-got, ShouldEqual, name)
		}
	})
	Convey("Nobody at the address is an error", t, func() {
		a := listen(nil)
		b := listen(nil)
		address := b.address()
		So(b.Close(), ShouldBeNil)
		defer a.Close() //nolint:errcheck // the test is over
		So(Is(a.Tell(context.Background(), address, named("x")), Refused), ShouldBeTrue)
	})
}

func TestFrameHeaders(t *testing.T) {
	Convey("Only the header of a frame with a body waits for the next write", t, func() {
		So(announcesBody([]byte{0, 0, 0, 1, 0, 0, 0, 3, 0, 0, 0, 5}), ShouldBeTrue)
		So(announcesBody([]byte{0, 0, 0, 4, 0, 0, 0, 3, 0, 0, 0, 0}), ShouldBeFalse) // the end of a stream
		So(announcesBody([]byte{0, 1, 0, 1, 0, 0, 0, 3, 0, 0, 0, 5}), ShouldBeFalse) // a window update
		So(announcesBody([]byte("catkin")), ShouldBeFalse)
	})
}

// record is a connection that keeps what is written.
type record struct {
	net.Conn
	bytes.Buffer
}

func (r *record) Read(p []byte) (int, error)  { return r.Buffer.Read(p) }
func (r *record) Write(p []byte) (int, error) { return r.Buffer.Write(p) }

// Guards against frames whose header and body come apart, or in another order.
func TestFramesAreWrittenWhole(t *testing.T) {
	Convey("A header waits for its body; what has none does not wait", t, func() {
		out := &record{}
		c := &heardConn{Conn: out}
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

package mesh

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"catkinstep/core/connection/wire"
)

func listen(h Handler) *Mesh {
	m, err := Listen("127.0.0.1:0", h)
	So(err, ShouldBeNil)
	return m
}

func (m *Mesh) address() string { return m.listener.Addr().String() }

func status(daemon string) *wire.Reply {
	return &wire.Reply{Status: &wire.StatusReply{Daemon: daemon}}
}

func TestCall(t *testing.T) {
	call := &wire.Call{Kind: &wire.Call_Status{Status: &wire.Status{}}}
	Convey("Calls share a session and get their own replies", t, func() {
		b := listen(func(_ context.Context, c *wire.Call) *wire.Reply { return status(c.GetFetch().GetKind()) })
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		defer b.Close() //nolint:errcheck // the test is over
		for _, name := range []string{"x", "y", "z"} {
			r, err := a.Call(context.Background(), b.address(), &wire.Call{Kind: &wire.Call_Fetch{Fetch: &wire.Fetch{Kind: name}}})
			So(err, ShouldBeNil)
			So(r.Status.Daemon, ShouldEqual, name)
		}
	})
	Convey("Nobody at the address is distinguished from no reply", t, func() {
		stuck := make(chan struct{})
		b := listen(func(ctx context.Context, _ *wire.Call) *wire.Reply {
			<-ctx.Done()
			close(stuck)
			return &wire.Reply{}
		})
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := a.Call(ctx, b.address(), call)
		So(Is(err, Unsure), ShouldBeTrue)
		<-stuck // the other side learns that nobody waits any more
		address := b.address()
		So(b.Close(), ShouldBeNil)
		_, err = callUntilClear(a, address, call)
		So(Is(err, Refused), ShouldBeTrue)
	})
}

// callUntilClear calls until the broken session is noticed.
func callUntilClear(m *Mesh, address string, call *wire.Call) (*wire.Reply, error) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		r, err := m.Call(ctx, address, call)
		cancel()
		if !Is(err, Unsure) && !Is(err, NotSent) {
			return r, err
		}
	}
}

// order notes which of a line's two ends was closed first.
type order struct {
	net.Conn
	first atomic.Bool // the connection, before the session
	line  *line
}

func (o *order) Close() error {
	if o.line != nil {
		select {
		case <-o.line.CloseChan():
		default:
			o.first.Store(true)
		}
	}
	return o.Conn.Close()
}

// Guards against a stopped daemon whose waiting readers keep the processor.
func TestLineEndsByItsConnection(t *testing.T) {
	Convey("The connection closes first, and waiting readers end", t, func() {
		near, far := net.Pipe()
		defer far.Close() //nolint:errcheck // the test is over
		o := &order{Conn: near}
		l, err := newLine(o, yamux.Client)
		So(err, ShouldBeNil)
		o.line = l
		go func() { _, _ = io.Copy(io.Discard, far) }()
		stream, err := l.OpenStream()
		So(err, ShouldBeNil)
		ended := make(chan error, 1)
		go func() {
			_, err := stream.Read(make([]byte, 1))
			ended <- err
		}()
		So(l.Close(), ShouldBeNil)
		So(<-ended, ShouldNotBeNil)
		So(o.first.Load(), ShouldBeTrue)
		So(l.IsClosed(), ShouldBeTrue)
	})
}

// Guards against a large configuration that never arrives over a narrow link.
func TestLargeAnswers(t *testing.T) {
	item := func(n int) *wire.Delta {
		return &wire.Delta{Items: []*wire.Item{{Name: "main", Value: bytes.Repeat([]byte("/route-of-some-service/"), n)}}}
	}
	Convey("They come whole, and much smaller on the way", t, func() {
		b := listen(func(context.Context, *wire.Call) *wire.Reply { return &wire.Reply{Delta: item(30000)} })
		defer b.Close() //nolint:errcheck // the test is over
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		r, err := a.Call(context.Background(), b.address(), &wire.Call{Kind: &wire.Call_Fetch{Fetch: &wire.Fetch{}}})
		So(err, ShouldBeNil)
		So(proto.Equal(r.Delta, item(30000)), ShouldBeTrue)
		packed := pack(&wire.Reply{Delta: item(30000)})
		So(proto.Size(packed), ShouldBeLessThan, proto.Size(r)/10)
		So(pack(&wire.Reply{Delta: item(1)}).Packed, ShouldBeEmpty)
	})
	Convey("One that unfolds beyond all bounds is refused", t, func() {
		r := &wire.Reply{Error: strings.Repeat("x", maxMessage+1)}
		_, err := unpack(pack(r))
		So(err, ShouldEqual, errTooLarge)
	})
	Convey("A line on which bytes come is kept when a call behind them times out", t, func() {
		near, far := net.Pipe()
		defer far.Close() //nolint:errcheck // the test is over
		l, err := newLine(near, yamux.Client)
		So(err, ShouldBeNil)
		defer l.Close() //nolint:errcheck // the test is over
		began := time.Now()
		So(l.silentSince(began), ShouldBeTrue)
		_, err = far.Write([]byte{0})
		So(err, ShouldBeNil)
		for l.silentSince(began) {
			time.Sleep(time.Millisecond)
		}
		So(l.IsClosed(), ShouldBeFalse)
	})
}

// Guards against calls on a connection that has fallen silent.
func TestSilentLineIsDropped(t *testing.T) {
	Convey("The next call opens a new line", t, func() {
		var answers atomic.Bool
		b := listen(func(ctx context.Context, _ *wire.Call) *wire.Reply {
			if !answers.Load() {
				<-ctx.Done()
			}
			return status("b")
		})
		defer b.Close() //nolint:errcheck // the test is over
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		call := &wire.Call{Kind: &wire.Call_Status{Status: &wire.Status{}}}
		first, err := a.pool.get(context.Background(), b.address())
		So(err, ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err = a.Call(ctx, b.address(), call)
		So(Is(err, Unsure), ShouldBeTrue)
		So(first.IsClosed(), ShouldBeTrue)
		answers.Store(true)
		_, err = a.Call(context.Background(), b.address(), call)
		So(err, ShouldBeNil)
	})
}

package mesh

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
	Convey("Nobody at the address is told from no reply", t, func() {
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

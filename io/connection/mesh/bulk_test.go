package mesh

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
)

// Guards against work that goes on for a caller who has left, and against a call that takes others with
// it when it ends.
func TestCallBulk(t *testing.T) {
	carried := func(id string) *wire.Call {
		return &wire.Call{Kind: &wire.Call_Carry{Carry: &wire.Carry{Id: []byte(id)}}}
	}
	Convey("A call whose context ends is cancelled at the other daemon, and the others go on", t, func() {
		cancelled, release := make(chan struct{}), make(chan struct{})
		b := listen(func(ctx context.Context, c *wire.Call) *wire.Reply {
			if string(c.GetCarry().GetId()) == "left" {
				<-ctx.Done()
				close(cancelled)
				return &wire.Reply{}
			}
			select {
			case <-release:
			case <-ctx.Done():
			}
			return &wire.Reply{Carry: &wire.CarryReply{Status: 200}}
		})
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		defer b.Close() //nolint:errcheck // the test is over
		replies := make(chan *wire.Reply, 1)
		go func() {
			r, _ := a.CallBulk(context.Background(), b.address(), carried("stays"))
			replies <- r
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := a.CallBulk(ctx, b.address(), carried("left"))
		So(IsKind(err, OutcomeUnknown), ShouldBeTrue)
		<-cancelled
		close(release)
		So((<-replies).Carry.Status, ShouldEqual, 200)
	})
	Convey("A response of a megabyte gets through, and a dropped connection is opened anew", t, func() {
		body := make([]byte, 1<<20)
		b := listen(func(context.Context, *wire.Call) *wire.Reply {
			return &wire.Reply{Carry: &wire.CarryReply{Status: 200, Body: body}}
		})
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		defer b.Close() //nolint:errcheck // the test is over
		for range 2 {
			r, err := a.CallBulk(context.Background(), b.address(), carried("large"))
			So(err, ShouldBeNil)
			So(len(r.Carry.Body), ShouldEqual, len(body))
			a.DropBulk(b.address())
		}
		a.DropBulk("127.0.0.1:1")
	})
}

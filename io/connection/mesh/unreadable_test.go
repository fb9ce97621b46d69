package mesh

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
)

// unencodable is a call with a text that is not UTF-8, which no message can hold.
func unencodable() *wire.Call {
	return &wire.Call{Kind: &wire.Call_Fetch{Fetch: &wire.Fetch{Kind: "\xe9"}}}
}

// Guards against requests that are taken for ones that have not run, since their reply cannot be read, or that
// are cut because another one cannot be sent.
func TestMessagesThatCannotBeRead(t *testing.T) {
	Convey("A call whose reply cannot be decoded may have been carried out", t, func() {
		b := listen(func(context.Context, *wire.Call) *wire.Reply { return &wire.Reply{Packed: []byte("no such")} })
		defer b.Close() //nolint:errcheck // the test is over
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		_, err := a.CallBulk(context.Background(), b.address(), &wire.Call{Kind: &wire.Call_Carry{Carry: &wire.Carry{}}})
		So(IsKind(err, OutcomeUnknown), ShouldBeTrue)
	})
	Convey("A call that cannot be encoded is not sent, and others on the connection go on", t, func() {
		arrived := make(chan bool, 1)
		released, release := context.WithCancel(context.Background())
		b := listen(func(context.Context, *wire.Call) *wire.Reply {
			arrived <- true
			<-released.Done()
			return statusReply("b")
		})
		defer b.Close() //nolint:errcheck // the test is over
		a := listen(nil)
		defer a.Close() //nolint:errcheck // the test is over
		defer release()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		other := make(chan error, 1)
		go func() {
			_, err := a.CallBulk(ctx, b.address(), &wire.Call{Kind: &wire.Call_Status{Status: &wire.Status{}}})
			other <- err
		}()
		<-arrived
		_, err := a.CallBulk(ctx, b.address(), unencodable())
		So(IsKind(err, NotSent), ShouldBeTrue)
		release()
		So(<-other, ShouldBeNil)
	})
}

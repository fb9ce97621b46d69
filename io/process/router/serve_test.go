package router

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/spread"
	"catkinstep/io/connection/link"
)

// A server forgets an idle connection in the moment in which a request is written
// to it. Taken for out of reach, the holder of a key would get no requests for the
// third of a second after that, although it is idle.
func TestOnlyALackOfConnectionsIsSilence(t *testing.T) {
	failed := func(k link.Kind) spread.Outcome {
		return outcome(context.Background(), nil, &link.Error{Op: "do", Kind: k, Err: errors.New("broken pipe")})
	}
	Convey("A write that fails says nothing of the way to the server", t, func() {
		So(failed(link.NoWay), ShouldEqual, spread.Silent)
		So(failed(link.NotSent), ShouldEqual, spread.Failed)
		So(failed(link.Refused), ShouldEqual, spread.Unreachable)
	})
}

package router

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/link"
)

// Guards against an idle holder that is left alone since it forgot a connection.
func TestOnlyALackOfConnectionsIsSilence(t *testing.T) {
	failed := func(k link.Kind) spread.Outcome {
		return outcome(context.Background(), nil, &link.Error{Op: "do", Kind: k, Err: errors.New("broken pipe")})
	}
	Convey("A write that fails says nothing of the way to the server", t, func() {
		So(failed(link.NoWay), ShouldEqual, spread.Silent)
		So(failed(link.NotSent), ShouldEqual, spread.Failed)
		So(failed(link.Refused), ShouldEqual, spread.Unreachable)
		reset := &link.Error{Op: "read", Kind: link.Unsure, Err: syscall.ECONNRESET}
		So(outcome(context.Background(), nil, reset), ShouldEqual, spread.TurnedAway)
		reset.Kept = true
		So(outcome(context.Background(), nil, reset), ShouldEqual, spread.Failed)
	})
}

// Guards against counts by which no server would lose anything.
func TestCountsBearWorkAndAim(t *testing.T) {
	Convey("Each request adds its work and its aim", t, func() {
		r := still()
		o := &order{service: config.Service{Name: "s", Keyed: true}, key: 7, route: config.Route{Aim: 300 * time.Millisecond},
			need: spread.Need{Route: "look", Aim: 300 * time.Millisecond}}
		r.count(o)
		r.count(o)
		heat, _ := r.takeHeat(nil, false)
		So(heat, ShouldHaveLength, 1)
		So(heat[0].Requests, ShouldEqual, 2)
		So(heat[0].AimMillis, ShouldEqual, 600)
		So(heat[0].WorkMillis, ShouldBeGreaterThan, 0)
	})
}

// Guards against a lookup that is refused as if its key moved, since its first answer was lost.
func TestHolderIsAskedAgain(t *testing.T) {
	Convey("The holder of a key stays the choice after an answer that was lost", t, func() {
		r := still()
		r.serversAt(second(1), 10, entryOf("a", 5))
		r.current.Store(r.current.Load().withTable(grant.Table{Epoch: 1, Shares: []grant.Share{{Service: "s", Ranges: []grant.Range{
			{From: 0, To: grant.LastKey, Holder: grant.Holder{Server: "a", Born: 1, Address: "a"}}}}}}))
		now := time.Now()
		o := &order{service: config.Service{Name: "s", Keyed: true}, key: 7, route: config.Route{Idempotent: true, Attempts: 2, Aim: time.Second},
			need: spread.Need{Route: "look", Aim: time.Second, Began: now, Deadline: now.Add(3 * time.Second), Near: "x"}}
		v, c := r.owner(r.current.Load(), o, now)
		So(c.Refused(), ShouldBeFalse)
		So(v.ID, ShouldEqual, "a")
		later := now.Add(600 * time.Millisecond) // it ran, and its answer was lost
		r.spread.End(later, v, o.need, o.began, spread.Failed, nil)
		o.failedAt(v, nil)
		v, c = r.owner(r.current.Load(), o, later)
		So(c.Refused(), ShouldBeFalse)
		So(v.ID, ShouldEqual, "a")
	})
	Convey("An unkeyed request goes elsewhere, unless the server only declined", t, func() {
		o, v := &order{key: -1}, fleet.Server{ID: "a"}
		o.failedAt(v, &link.Answer{NotRun: true, Status: 503, Load: &link.Load{Running: 1, Slots: 3}})
		So(o.need.Tried, ShouldBeEmpty)
		o.failedAt(v, nil)
		So(o.need.Tried, ShouldResemble, []string{"a"})
	})
}

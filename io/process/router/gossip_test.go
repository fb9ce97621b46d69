package router

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/member"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
)

// fakeMesh passes on each call to a test, which decides when it ends.
type fakeMesh struct{ calls chan fakeCall }

type fakeCall struct {
	address string
	call    *wire.Call
	// end ends the call without a reply.
	end chan struct{}
}

func (m fakeMesh) Call(_ context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	c := fakeCall{address: address, call: call, end: make(chan struct{})}
	m.calls <- c
	<-c.end
	return nil, errors.New("no reply")
}

func (m fakeMesh) CallShared(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	return m.Call(ctx, address, call)
}

func (m fakeMesh) CallBulk(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	return m.Call(ctx, address, call)
}

func (fakeMesh) DropBulk(string) {}

func (fakeMesh) Notify(context.Context, string, *wire.Call) error { return nil }

func (fakeMesh) Close() error { return nil }

// newMeshRouter returns a router that knows a daemon in another data centre, and the mesh to it.
func newMeshRouter() (*Router, fakeMesh) {
	r, m := newTestRouter(), fakeMesh{calls: make(chan fakeCall)}
	r.mesh = m
	r.control.members.AddDiscovered(member.Member{Name: "peer", Address: "peer:1", DataCentre: "y"})
	return r, m
}

// endCall ends a call, and handles the messages to the control loop that follow, up to the one
// that reports the end.
func endCall[M any](r *Router, c fakeCall) {
	close(c.end)
	for {
		msg := <-r.inbox
		r.control.update(t0, msg)
		if _, ok := msg.(M); ok {
			return
		}
	}
}

// serversKnown is the revision of the servers that a daemon announces.
func serversKnown(g *wire.Gossip) uint64 {
	for _, k := range g.Known {
		if k.Kind == string(object.Servers) {
			return k.Through
		}
	}
	return 0
}

// Guards against a change that a daemon in another data centre learns of seconds late, since a call
// to it was in flight when the change came.
func TestChangeDuringGossipIsPropagated(t *testing.T) {
	Convey("The daemon is called again as soon as the call ends", t, func() {
		r, m := newMeshRouter()
		r.control.gossipTo(t0, []string{"peer:1"}, false)
		first := <-m.calls
		r.control.update(t0, deltaMsg{fromStore: true, delta: object.Delta{Kind: object.Servers, Through: 10, CurrentAt: t0, Items: []object.Item{serverItem("a", 10)}}})
		So(serversKnown(first.call.GetGossip()), ShouldEqual, 0)
		endCall[gossipEndedMsg](r, first)
		So(r.control.pendingGossip, ShouldHaveLength, 1)
		second := <-m.calls
		So(serversKnown(second.call.GetGossip()), ShouldEqual, 10)
		endCall[gossipEndedMsg](r, second)
		So(r.control.pendingGossip, ShouldBeEmpty)
	})
	Convey("A periodic round of gossip does not wait for a call in flight", t, func() {
		r, m := newMeshRouter()
		r.control.gossipTo(t0, []string{"peer:1"}, false)
		first := <-m.calls
		r.control.gossipTo(t0, []string{"peer:1"}, false)
		endCall[gossipEndedMsg](r, first)
		So(r.control.pendingGossip, ShouldBeEmpty)
	})
}

// Guards against daemons that go on calling one that has stopped, since a call to them was in
// flight when it said so.
func TestShutdownDuringGossipIsPropagated(t *testing.T) {
	Convey("The daemons that were being called learn of the shutdown", t, func() {
		r, m := newMeshRouter()
		r.control.gossipTo(t0, []string{"peer:1"}, false)
		first := <-m.calls
		r.control.update(t0, stoppingMsg{})
		endCall[gossipEndedMsg](r, first)
		So(r.control.pendingGossip, ShouldHaveLength, 1)
		second := <-m.calls
		So(second.call.GetGossip().Leaving, ShouldBeTrue)
		endCall[gossipEndedMsg](r, second)
	})
}

// Guards against changes that arrive late because they were announced while an older version was
// being fetched.
func TestChangeDuringFetchIsFetched(t *testing.T) {
	announce := func(r *Router, through uint64) {
		r.control.update(t0, gossipMsg{gossip: &wire.Gossip{Name: "peer", Address: "peer:1", DataCentre: "y", LeaderAgeMillis: -1,
			Known: []*wire.Known{{Kind: string(object.Config), Through: through}}}})
	}
	Convey("What was announced meanwhile is fetched as soon as the fetch ends", t, func() {
		r, m := newMeshRouter()
		announce(r, 5)
		first := <-m.calls
		announce(r, 7)
		r.control.update(t0, deltaMsg{delta: object.Delta{Kind: object.Config, Through: 5, CurrentAt: t0}})
		endCall[fetchEndedMsg](r, first)
		So(r.control.pendingFetches[string(object.Config)], ShouldHaveLength, 1)
		second := <-m.calls
		So(second.call.GetFetch().Since, ShouldEqual, 5)
		endCall[fetchEndedMsg](r, second)
		So(r.control.pendingFetches[string(object.Config)], ShouldBeEmpty)
	})
	Convey("Nothing is fetched again if the reply had it", t, func() {
		r, m := newMeshRouter()
		announce(r, 5)
		first := <-m.calls
		announce(r, 7)
		r.control.update(t0, deltaMsg{delta: object.Delta{Kind: object.Config, Through: 7, CurrentAt: t0}})
		endCall[fetchEndedMsg](r, first)
		So(r.control.pendingFetches[string(object.Config)], ShouldBeEmpty)
	})
}

// Guards against bytes that grow with the number of daemons at each start: all others would fetch the
// whole list of servers from the daemon that has just read it.
func TestFirstListIsNotAnnounced(t *testing.T) {
	firstList := deltaMsg{fromStore: true, delta: object.Delta{Kind: object.Servers, Through: 10, Whole: true, CurrentAt: t0, Items: []object.Item{serverItem("a", 10)}}}
	Convey("A daemon announces the list once it has a later change", t, func() {
		r := newTestRouter()
		r.control.update(t0, firstList)
		So(serversKnown(r.control.newGossip(t0)), ShouldEqual, 0)
		r.updateServers(t0, 12, serverItem("b", 12))
		So(serversKnown(r.control.newGossip(t0)), ShouldEqual, 12)
	})
	Convey("One that reads the store on behalf of the others announces it at once", t, func() {
		r := newTestRouter()
		r.control.role.isReader.Store(true)
		r.control.update(t0, firstList)
		So(serversKnown(r.control.newGossip(t0)), ShouldEqual, 10)
	})
}

// Guards against daemons that wait for one whose claim of the lead was stored without its knowledge, while it
// cannot lead.
func TestClaimantThatCannotLeadIsReplaced(t *testing.T) {
	Convey("Its gossip says that it leaves, so that another daemon takes the lead", t, func() {
		r := newTestRouter()
		table := tableWithRange(2, false)
		table.Leader = grant.Leader{Daemon: r.self.Name, Incarnation: r.self.Incarnation}
		So(r.control.applyTable(atSecond(1), table), ShouldBeTrue)
		So(r.control.newGossip(atSecond(1)).Leaving, ShouldBeFalse)
		r.control.members.RecordGossip(atSecond(1), member.Member{Name: "other", Address: "other", DataCentre: "x", Incarnation: 1}, member.Status{})
		r.control.members.SetCutOff(true)
		So(r.control.newGossip(atSecond(1)).Leaving, ShouldBeTrue)
	})
}

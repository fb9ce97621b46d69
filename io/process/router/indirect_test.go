package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/member"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
	"catkinstep/io/connection/link"
	"catkinstep/io/connection/mesh"
	"catkinstep/io/process/setup"
)

// releaseProtocol is a Protocol whose releases name the range and the fence, and whose servers answer with
// a handover.
type releaseProtocol struct{ stubProtocol }

func (releaseProtocol) Release(c grant.Call) link.Request {
	return link.Request{Method: http.MethodPost, Target: fmt.Sprintf("/release/%d-%d/%d", c.From, c.To, c.Fence), Host: c.Address, ControlCall: true}
}

func (releaseProtocol) Result(resp *link.Response) (grant.Result, string) {
	if resp.Status == http.StatusConflict {
		return grant.Fenced, ""
	}
	return grant.Done, string(resp.Body)
}

// newReleaseRouter returns a router that reaches a server.
func newReleaseRouter(name string, s link.Dialer, now func() time.Time) *Router {
	return New(setup.Settings{Name: name, DataCentre: "x", IndirectReleases: true}, nil, releaseProtocol{},
		WithLogger(slog.New(slog.DiscardHandler)), WithClock(now), WithServerDialer(s))
}

func clockAtT0() time.Time { return t0 }

const testFence = 3<<24 | 5 // of epoch 3

func releaseMessage(leftMillis uint32) *wire.Release {
	return &wire.Release{Server: "a", StartMillis: 1, Address: "a:1", From: 10, To: 20, Fence: testFence, LeftMillis: leftMillis}
}

// Guards against a release that a daemon does not carry out for the leader, or whose answer does not
// come back.
func TestReleaseForLeader(t *testing.T) {
	release := func(r *Router, m *wire.Release) *wire.ReleaseReply {
		return r.handleMeshCall(context.Background(), &wire.Call{Kind: &wire.Call_Release{Release: m}}).GetRelease()
	}
	Convey("The server gets the call, and the leader its result and handover", t, func() {
		s := &pipeServer{status: http.StatusOK}
		r := newReleaseRouter("b", s, clockAtT0)
		reply := release(r, releaseMessage(500))
		So(reply.Result, ShouldEqual, wire.ReleaseResult_RELEASE_RESULT_DONE)
		So(string(reply.Handover), ShouldEqual, "hi")
		So(s.runs, ShouldResemble, []string{fmt.Sprintf("POST /release/10-20/%d", testFence)})
		So(r.metrics.value("releases.forOthers"), ShouldEqual, 1)
		s.status = http.StatusConflict
		So(release(r, releaseMessage(500)).Result, ShouldEqual, wire.ReleaseResult_RELEASE_RESULT_FENCED)
	})
	Convey("A daemon that does not reach the server says so", t, func() {
		r := newReleaseRouter("b", refusingDialer{}, clockAtT0)
		So(release(r, releaseMessage(500)).Result, ShouldEqual, wire.ReleaseResult_RELEASE_RESULT_NOT_SENT)
	})
	Convey("Once the time has passed, as after a suspension, the server is not called", t, func() {
		s, now := &pipeServer{status: http.StatusOK}, t0
		r := newReleaseRouter("b", s, func() time.Time { now = now.Add(501 * time.Millisecond); return now })
		So(release(r, releaseMessage(500)).Result, ShouldEqual, wire.ReleaseResult_RELEASE_RESULT_NOT_SENT)
		So(release(newReleaseRouter("b", s, clockAtT0), releaseMessage(0)).Result, ShouldEqual, wire.ReleaseResult_RELEASE_RESULT_NOT_SENT)
		So(s.runs, ShouldBeEmpty)
	})
	Convey("No more than a number of releases are carried out at once", t, func() {
		s := &pipeServer{status: http.StatusOK}
		r := newReleaseRouter("b", s, clockAtT0)
		for range maxReleasesForOthers {
			r.releaseSlots <- struct{}{}
		}
		So(release(r, releaseMessage(20)).Result, ShouldEqual, wire.ReleaseResult_RELEASE_RESULT_NOT_SENT)
		<-r.releaseSlots
		So(release(r, releaseMessage(500)).Result, ShouldEqual, wire.ReleaseResult_RELEASE_RESULT_DONE)
		So(r.releaseSlots, ShouldHaveLength, maxReleasesForOthers-1)
	})
	Convey("The release of a leader that has been replaced is not carried out", t, func() {
		s := &pipeServer{status: http.StatusOK}
		r := newReleaseRouter("b", s, clockAtT0)
		r.control.applyTable(t0, grant.Table{Epoch: 4, Seq: 1})
		So(release(r, releaseMessage(500)).Result, ShouldEqual, wire.ReleaseResult_RELEASE_RESULT_NOT_SENT)
		So(s.runs, ShouldBeEmpty)
	})
}

// refusingDialer is a network that refuses all connections to servers.
type refusingDialer struct{}

// DialContext implements link.Dialer.
func (refusingDialer) DialContext(_ context.Context, network, _ string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
}

// releaseMesh is a mesh whose daemons answer each call with the same reply or error.
type releaseMesh struct {
	fakeMesh
	reply *wire.Reply
	err   error
	calls []*wire.Call
}

func (m *releaseMesh) Call(_ context.Context, _ string, call *wire.Call) (*wire.Reply, error) {
	m.calls = append(m.calls, call)
	return m.reply, m.err
}

func releaseCmd() keeper.ReleaseCmd {
	return keeper.ReleaseCmd{Indirect: 1, Service: "s", Holder: grant.Holder{Server: "a", StartMillis: 1}, SendBefore: t0.Add(500 * time.Millisecond),
		Call: grant.Call{Address: "a:1", From: 10, To: 20, Fence: testFence}}
}

// releaseResult returns the result that a router has posted to its keeper.
func releaseResult(r *Router) keeper.ReleaseResultMsg {
	for {
		if m, ok := (<-r.inbox).(keeperMsg); ok {
			return m.msg.(keeper.ReleaseResultMsg)
		}
	}
}

// Guards against a lost or misread answer of the daemon that carries out a release: one that is taken for
// "done" makes a second holder.
func TestIndirectRelease(t *testing.T) {
	Convey("The leader gets the other daemon's result and handover", t, func() {
		s := &pipeServer{status: http.StatusOK}
		leader, other := newReleaseRouter("l", refusingDialer{}, clockAtT0), newReleaseRouter("b", s, clockAtT0)
		leader.mesh = &linkedMesh{daemons: map[string]*Router{"b:1": other}}
		leader.sendRelease(releaseCmd(), "b:1")
		result := releaseResult(leader)
		So(result.Result, ShouldEqual, grant.Done)
		So(result.Handover, ShouldEqual, "hi")
		So(leader.metrics.value("releases.indirect.done"), ShouldEqual, 1)
		So(leader.metrics.value("releases.done"), ShouldEqual, 0)
	})
	Convey("A handover that is no UTF-8 arrives as it was", t, func() {
		handover := "caf\xe9 \xff\x80"
		data, err := proto.Marshal(releaseReply(grant.Done, handover))
		So(err, ShouldBeNil)
		reply := &wire.Reply{}
		So(proto.Unmarshal(data, reply), ShouldBeNil)
		leader := newReleaseRouter("l", refusingDialer{}, clockAtT0)
		leader.mesh = &releaseMesh{reply: reply}
		leader.sendRelease(releaseCmd(), "b:1")
		So(releaseResult(leader).Handover, ShouldEqual, handover)
	})
	Convey("Every result arrives as it was", t, func() {
		for _, want := range []grant.Result{grant.Done, grant.Fenced, grant.Ended, grant.NotSent, grant.OutcomeUnknown} {
			So(resultFromWire(resultToWire(want)), ShouldEqual, want)
		}
	})
	Convey("Answers without a known result may stand for anything", t, func() {
		for _, reply := range []*wire.Reply{{}, {Release: &wire.ReleaseReply{}}, {Release: &wire.ReleaseReply{Result: 99}}} {
			leader := newReleaseRouter("l", refusingDialer{}, clockAtT0)
			leader.mesh = &releaseMesh{reply: reply}
			leader.sendRelease(releaseCmd(), "b:1")
			So(releaseResult(leader).Result, ShouldEqual, grant.OutcomeUnknown)
		}
	})
	Convey("Only errors which prove that no call was sent count as not sent; an unknown call is answered by an error", t, func() {
		So(newReleaseRouter("b", refusingDialer{}, clockAtT0).handleMeshCall(context.Background(), &wire.Call{}).Error, ShouldNotBeEmpty)
		for kind, want := range map[mesh.Kind]grant.Result{mesh.Remote: grant.OutcomeUnknown, mesh.ConnectionRefused: grant.NotSent, mesh.NotSent: grant.NotSent, mesh.OutcomeUnknown: grant.OutcomeUnknown} {
			leader := newReleaseRouter("l", refusingDialer{}, clockAtT0)
			leader.mesh = &releaseMesh{err: &mesh.Error{Op: "call", Kind: kind, Err: errors.New("no")}}
			leader.sendRelease(releaseCmd(), "b:1")
			So(releaseResult(leader).Result, ShouldEqual, want)
		}
	})
	Convey("The message says how much time is left, and none is sent once there is none", t, func() {
		m, now := &releaseMesh{reply: &wire.Reply{}}, t0.Add(300*time.Millisecond)
		leader := newReleaseRouter("l", refusingDialer{}, func() time.Time { return now })
		leader.mesh = m
		leader.sendRelease(releaseCmd(), "b:1")
		So(releaseResult(leader).Result, ShouldEqual, grant.OutcomeUnknown)
		So(m.calls[0].GetRelease().LeftMillis, ShouldEqual, 200)
		So(m.calls[0].GetRelease().Fence, ShouldEqual, testFence)
		So(purposeOf(m.calls[0]), ShouldEqual, "releases")
		now = t0.Add(501 * time.Millisecond)
		leader.sendRelease(releaseCmd(), "b:1")
		So(releaseResult(leader).Result, ShouldEqual, grant.NotSent)
		So(m.calls, ShouldHaveLength, 1)
	})
}

// Guards against a release that goes through a daemon far from the server since the server's entry is gone.
func TestReleasePeerIsNearTheServer(t *testing.T) {
	Convey("The data centre of a server is known for a while after its entry vanished", t, func() {
		r := newTestRouter()
		holder := grant.Holder{Server: "a", StartMillis: 1}
		r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6))
		r.updateServers(atSecond(2), 20, object.Item{Name: "a", Revision: 15, Removed: true})
		r.control.members.AddDiscovered(member.Member{Name: "x1", Address: "x1:1", DataCentre: "x"})
		r.control.members.AddDiscovered(member.Member{Name: "y1", Address: "y1:1", DataCentre: "y"})
		peerOf := func(try int) string {
			cmd, peer := r.control.routeRelease(atSecond(3), keeper.ReleaseCmd{Indirect: try, Holder: holder})
			So(cmd.Indirect, ShouldEqual, try)
			return peer
		}
		for try := 1; try <= 3; try++ {
			So(peerOf(try), ShouldEqual, "x1:1")
		}
		So(peerOf(0), ShouldEqual, "")
		r.control.dropExpiredServers(atSecond(2).Add(formerRetention + time.Second))
		So(r.control.serverList.former, ShouldBeEmpty)
		So([]string{peerOf(1), peerOf(2)}, ShouldContain, "y1:1")
	})
}

// Guards against a server that gets keys although it does not answer the leader: the result of the leader's
// own call was taken for that of another daemon.
func TestReleaseWithoutPeerIsDirect(t *testing.T) {
	Convey("The leader calls the server itself, and the result is that of a direct release", t, func() {
		r := newReleaseRouter("l", refusingDialer{}, clockAtT0)
		r.control.execute(t0, releaseCmd())
		result := releaseResult(r)
		So(result.Cmd.Indirect, ShouldEqual, 0)
		So(result.Result, ShouldEqual, grant.NotSent)
		So(r.metrics.value("releases.notSent"), ShouldEqual, 1)
	})
}

// Guards against indirect releases where nobody asked for them, or where there is nobody to make them.
func TestIndirectReleasesAreOptional(t *testing.T) {
	Convey("They need the setting and another daemon", t, func() {
		r := newReleaseRouter("l", refusingDialer{}, clockAtT0)
		So(r.control.releasesIndirectly(), ShouldBeFalse)
		r.control.members.AddDiscovered(member.Member{Name: "b", Address: "b:1", DataCentre: "x"})
		So(r.control.releasesIndirectly(), ShouldBeTrue)
		r.settings.IndirectReleases = false
		So(r.control.releasesIndirectly(), ShouldBeFalse)
	})
}

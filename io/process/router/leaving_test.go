package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/notice"
	"catkinstep/core/request/spread"
	"catkinstep/io/connection/link"
)

var leaves = notice.Notice{Leaving: true}

// Guards against requests to the last servers of a service although they leave.
func TestAllServersLeave(t *testing.T) {
	Convey("Requests are refused at once, and nothing is taken for them", t, func() {
		s := &pipeServer{status: http.StatusOK, header: "Catkinstep-Leaving: 1\r\n"}
		r := newSiteRouter("a", s)
		reply := r.handle(context.Background(), lookupOf("/x"))
		So(reply.Status(), ShouldEqual, http.StatusOK)
		So(reply.Header().Get("Catkinstep-Leaving"), ShouldEqual, "1")
		for range 2 { // before and after the control loop has heard of it
			reply := r.handle(context.Background(), lookupOf("/x"))
			So(reply.Refusal().Reason, ShouldEqual, string(spread.NoServer))
			r.control.applyOwnLeaving(atSecond(67))
		}
		So(s.runs, ShouldHaveLength, 1)
		So(r.useUp(), ShouldEqual, 9)
	})
}

// Guards against entries that bring back a server that has said that it leaves, and against the word of an
// instance that keeps out the next.
func TestEntriesDoNotRevokeLeaving(t *testing.T) {
	serves := func(r *Router) bool { return len(r.current.Load().serving["s"]) == 1 }
	Convey("Only another instance may get requests again", t, func() {
		r := newTestRouter()
		r.updateServers(atSecond(1), 10, serverItem("a", 5))
		So(serves(r), ShouldBeTrue)
		r.announce("a", leaves)
		r.control.applyOwnLeaving(atSecond(2))
		So(serves(r), ShouldBeFalse)
		r.updateServers(atSecond(3), 20, serverItem("a", 15))
		So(serves(r), ShouldBeFalse)
		gone := serverItem("a", 25)
		gone.Removed = true
		r.updateServers(atSecond(4), 30, gone)
		r.updateServers(atSecond(5), 40, serverItem("a", 35))
		So(serves(r), ShouldBeFalse)
		r.updateServers(atSecond(6), 50, restartedItem("a", 45, 2))
		So(serves(r), ShouldBeTrue)
	})
}

// Guards against daemons that send requests to a server that has said to others that it leaves, and against
// a leader that leaves keys there.
func TestLeavingIsGossiped(t *testing.T) {
	Convey("A daemon learns of it by the first message, or later by the reply to its own", t, func() {
		r, other := newTestRouter(), newTestRouter()
		for _, d := range []*Router{r, other} {
			d.updateServers(atSecond(1), 10, serverItem("a", 5))
		}
		r.announce("a", leaves)
		So(r.control.newGossip(atSecond(2)).LeavingServers, ShouldHaveLength, 1)
		r.leavingBuffer.items = nil // as if the message had been lost
		reply := make(chan *wire.Gossip, 1)
		r.control.update(atSecond(60), gossipMsg{gossip: other.control.newGossip(atSecond(60)), reply: reply})
		other.control.update(atSecond(60), gossipMsg{gossip: <-reply})
		server, _ := other.current.Load().fleet.Find("a")
		So(server.Draining, ShouldBeTrue)
		So(other.gateOf(server).Check(link.Request{}), ShouldNotBeNil)
		So(other.control.newGossip(atSecond(60)).LeavingServersDigest, ShouldEqual, r.control.newGossip(atSecond(60)).LeavingServersDigest)
		r.control.update(atSecond(61), gossipMsg{gossip: other.control.newGossip(atSecond(61)), reply: reply})
		So((<-reply).LeavingServers, ShouldBeEmpty)
	})
}

// Guards against a booking that was decided before its server said that it leaves, and is written after that.
func TestHolderLeavesWhileARequestWaits(t *testing.T) {
	Convey("The gate withholds it, and the next one is refused before the list has changed", t, func() {
		r := contendedRouter()
		sent, _ := startRequests(r, 1)
		So(sent, ShouldHaveLength, 1)
		r.announce("a", leaves)
		s, _ := r.current.Load().fleet.Find("a")
		So(r.gateOf(s).Check(link.Request{}), ShouldEqual, errLeaves)
		_, refused := startRequests(r, 1)
		So(refused[0].Reason, ShouldEqual, reasonKeyMoving)
		So(refused[0].RetryAfter, ShouldBeGreaterThan, 0)
	})
	Convey("What is already known of it counts by the time it was said", t, func() {
		r := contendedRouter()
		So(r.mergeLeaving([]*wire.ServerLeaving{{Server: "a", StartMillis: 1, AgeMillis: time.Hour.Milliseconds()}}), ShouldBeTrue)
		So(r.mergeLeaving([]*wire.ServerLeaving{{Server: "a", StartMillis: 1}}), ShouldBeFalse)
	})
}

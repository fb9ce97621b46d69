package router

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/notice"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/link"
)

// restingHeader is what a server sends that declines a request and asks for rest.
const restingHeader = "Catkinstep-Not-Run: 1\r\nRetry-After: 3\r\n"

// newRestingRouter returns a router whose only server has declined a request and asked for rest.
func newRestingRouter() (*Router, *pipeServer) {
	s := &pipeServer{status: http.StatusServiceUnavailable, header: restingHeader}
	r := newSiteRouter("a", s)
	reply := r.handle(context.Background(), lookupOf("/x"))
	So(reply.Status(), ShouldEqual, http.StatusServiceUnavailable)
	return r, s
}

// announce records that a server announces something.
func (r *Router) announce(id string, n notice.Notice) {
	s, _ := r.current.Load().fleet.Find(id)
	r.gateOf(s).Announced(link.Request{}, time.UnixMilli(s.StartMillis), n)
}

func (r *Router) gateOf(s fleet.Server) serverGate {
	return serverGate{r: r, key: clientKey{address: s.Address, id: s.ID, startMillis: s.StartMillis}}
}

// Guards against callers who are held, or sent back too early, while the only server rests, and against an
// allowance or a retry that is spent on them.
func TestRestOfTheOnlyServer(t *testing.T) {
	Convey("They are refused at once until the rest is over, and nothing is taken for them", t, func() {
		r, s := newRestingRouter()
		taken := r.useUp()
		for _, caller := range []string{"/x", "/book/x"} {
			reply := r.handle(context.Background(), lookupOf(caller))
			So(reply.Refusal().Reason, ShouldEqual, string(spread.ServerResting))
			So(reply.Refusal().RetryAfter, ShouldBeBetween, 2*time.Second, 4500*time.Millisecond)
		}
		So(s.runs, ShouldHaveLength, 1)
		So(taken, ShouldEqual, 9) // the first request took one
		So(r.budgets["s"].TryWithdraw(), ShouldBeTrue)
	})
	Convey("The one that was turned away first is asked to come back after the rest, too", t, func() {
		r := newSiteRouter("a", &pipeServer{status: http.StatusServiceUnavailable, header: restingHeader})
		So(r.handle(context.Background(), lookupOf("/x")).Refusal().RetryAfter, ShouldBeGreaterThanOrEqualTo, 2900*time.Millisecond)
	})
}

// Guards against retries that are taken although all other servers rest.
func TestNoRetryWhileOthersRest(t *testing.T) {
	Convey("A request that a server failed is not sent again, and no retry is taken", t, func() {
		r := newSiteRouter("a", &pipeServer{status: http.StatusInternalServerError})
		r.updateServers(atSecond(66), 20, serverItem("b", 15), serverItem("c", 16))
		for _, id := range []string{"b", "c"} {
			r.announce(id, notice.Notice{Rest: time.Minute})
		}
		r.handle(context.Background(), lookupOf("/x"))
		retries := 0
		for r.budgets["s"].TryWithdraw() {
			retries++
		}
		fresh := newSiteRouter("a", &pipeServer{status: http.StatusInternalServerError})
		fresh.recordArrival(&request{service: fresh.current.Load().config.Services[0], key: -1})
		for fresh.budgets["s"].TryWithdraw() {
			retries--
		}
		So(retries, ShouldEqual, 0)
	})
}

// Guards against a permit, a token or a wait for the holder of a key that rests.
func TestRestOfHolder(t *testing.T) {
	Convey("Requests for its keys are refused before a permit or a token is taken", t, func() {
		r := contendedRouter()
		r.announce("a", notice.Notice{Rest: 3 * time.Second})
		_, refused := startRequests(r, 3)
		So(refused, ShouldHaveLength, 3)
		for _, choice := range refused {
			So(choice.Reason, ShouldEqual, spread.ServerResting)
			So(choice.RetryAfter, ShouldBeBetween, 2900*time.Millisecond, 4500*time.Millisecond)
		}
		So(r.permits.issuer.Count(), ShouldEqual, 0)
		refusal, certain := r.certainRefusal(lookupRequest(time.Second))
		So(certain, ShouldBeTrue)
		So(refusal.Reason, ShouldEqual, spread.ServerResting)
	})
}

// slowDialer opens connections when it is allowed to.
type slowDialer struct {
	link.Dialer
	dialled, allowed chan struct{}
}

func (d slowDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.dialled <- struct{}{}
	<-d.allowed
	return d.Dialer.DialContext(ctx, network, address)
}

// Guards against requests that were decided before their server asked for rest, or started again, and are
// written after that.
func TestRequestsDecidedBeforeTheNews(t *testing.T) {
	play := func(news func(r *Router)) (*pipeServer, int) {
		s := &pipeServer{status: http.StatusOK}
		d := slowDialer{Dialer: s, dialled: make(chan struct{}, 2), allowed: make(chan struct{})}
		r := newSiteRouter("a", s)
		r.clientPool.dialer = d
		done := make(chan int)
		go func() { done <- r.handle(context.Background(), booking()).Status() }()
		<-d.dialled
		news(r)
		close(d.allowed)
		return s, <-done
	}
	Convey("A booking that waits for a connection is not written once the server rests", t, func() {
		s, status := play(func(r *Router) { r.announce("a", notice.Notice{Rest: time.Second}) })
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(s.runs, ShouldBeEmpty)
	})
	Convey("One for an instance that has ended is not written to the next", t, func() {
		s, status := play(func(r *Router) {
			r.updateServers(atSecond(66), 30, restartedItem("a", 25, 2))
			r.announce("a", notice.Notice{Rest: time.Second})
		})
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(s.runs, ShouldBeEmpty)
	})
}

// Guards against leases that run out since a server rests.
func TestControlCallsPass(t *testing.T) {
	Convey("Grants and releases are not withheld", t, func() {
		r, _ := newRestingRouter()
		s, _ := r.current.Load().fleet.Find("a")
		So(r.gateOf(s).Check(link.Request{}), ShouldNotBeNil)
		So(r.gateOf(s).Check(link.Request{ControlCall: true}), ShouldBeNil)
	})
}

// Guards against a carried request that gets round the rest that the server asked another host for.
func TestCarriedRequestOfRestingServer(t *testing.T) {
	Convey("The caller is refused with the rest of the host that was asked, and no third is tried", t, func() {
		r, m, s := newCutOffRouter()
		for _, d := range m.daemons {
			d.announce("a", notice.Notice{Rest: 3 * time.Second})
		}
		reply := r.handle(context.Background(), booking())
		So(reply.Refusal().Reason, ShouldEqual, string(spread.ServerResting))
		So(reply.Refusal().RetryAfter, ShouldBeGreaterThanOrEqualTo, 2900*time.Millisecond)
		So(m.calls, ShouldHaveLength, 1)
		So(s.runs, ShouldBeEmpty)
	})
}

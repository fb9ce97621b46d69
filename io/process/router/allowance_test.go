package router

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/member"
	"catkinstep/core/process/quota"
	"catkinstep/core/version/space"
)

var limitedWorkspace = space.Workspace{Name: "mill", KeyHashes: millWorkspace.KeyHashes, Allowance: space.Allowance{Rate: 10, Burst: 10}}

// lendToSelf lets a router run for some seconds in which it lends its share to its own pool.
func (r *Router) lendToSelf() {
	r.updateDaemons()
	r.self.Address = "self:1"
	for s := 61.0; s <= 66; s += 0.05 {
		r.now = func() time.Time { return atSecond(s) }
		r.control.renewAllowances(atSecond(s))
	}
	r.now = func() time.Time { return atSecond(66) }
}

// newLimitedRouter returns a router with one limited workspace, whose allowance is lent to its own pool.
func newLimitedRouter() *Router {
	r := newTestRouter()
	r.now = func() time.Time { return atSecond(1) }
	r.applyWorkspaces(1, atSecond(1), limitedWorkspace)
	r.tickUntilBooted()
	r.lendToSelf()
	return r
}

// useUp takes all that the router's pool has of the allowance.
func (r *Router) useUp() (taken int) {
	for {
		if _, ok := r.pool.Take(r.now(), limitedWorkspace); !ok {
			return taken
		}
		taken++
	}
}

// Guards against requests beyond an allowance that cost other workspaces anything.
func TestOverAllowance(t *testing.T) {
	Convey("They get 429 with a time to come back, and neither a retry nor the load of a key is counted", t, func() {
		r := newLimitedRouter()
		So(r.useUp(), ShouldEqual, 10)
		reply := r.handle(context.Background(), callerRequest("/x", keyHeader("k1")))
		So(reply.Status(), ShouldEqual, http.StatusTooManyRequests)
		So(reply.Refusal().RetryAfter, ShouldBeGreaterThan, 0)
		So(r.budgets, ShouldBeEmpty)
		top, _ := r.workspaceLimiter.Totals(1)
		So(top, ShouldResemble, []quota.Total{{Workspace: "mill", Asked: 1, Refused: 1}})
	})
	Convey("Requests of other workspaces and on anonymous routes go on", t, func() {
		r := newLimitedRouter()
		r.useUp()
		r.applyWorkspaces(2, atSecond(66), limitedWorkspace, space.Workspace{Name: "yard", KeyHashes: []space.KeyHash{space.HashKey("k2")}, Allowance: space.Allowance{Rate: 10, Burst: 10}})
		So(r.handle(context.Background(), callerRequest("/x", keyHeader("k2"))).Status(), ShouldEqual, http.StatusServiceUnavailable) // there is no server
		So(r.handle(context.Background(), callerRequest("/open/x", keyHeader("k1"))).Status(), ShouldEqual, http.StatusServiceUnavailable)
	})
}

// Guards against requests that a daemon lets through by itself while no pool answers.
func TestNoPoolAnswers(t *testing.T) {
	Convey("They get 503, since they may be within the allowance, with a time to come back", t, func() {
		r := newTestRouter()
		r.now = func() time.Time { return atSecond(1) }
		r.applyWorkspaces(1, atSecond(1), limitedWorkspace)
		r.tickUntilBooted()
		for range 3 {
			reply := r.handle(context.Background(), callerRequest("/x", keyHeader("k1")))
			So(reply.Status(), ShouldEqual, http.StatusServiceUnavailable)
			So(reply.Refusal().Reason, ShouldEqual, reasonAllowanceUnknown)
			So(reply.Refusal().RetryAfter, ShouldBeGreaterThan, 0)
		}
	})
}

// Guards against an allowance that is used up by requests that were refused.
func TestRefusedRequestsGiveBackTheirAllowance(t *testing.T) {
	Convey("A request that no server ran does not count", t, func() {
		r := newLimitedRouter()
		for range 5 {
			So(r.handle(context.Background(), callerRequest("/x", keyHeader("k1"))).Status(), ShouldEqual, http.StatusServiceUnavailable)
		}
		So(r.useUp(), ShouldEqual, 9) // one was taken, given back, and taken again
	})
	Convey("One that ran twice counts twice", t, func() {
		s := &pipeServer{status: http.StatusInternalServerError}
		r := newSiteRouter("a", s)
		r.updateServers(atSecond(66), 20, serverItem("b", 15)) // for the second attempt
		So(r.handle(context.Background(), lookupOf("/x")).Status(), ShouldEqual, http.StatusInternalServerError)
		So(s.runs, ShouldHaveLength, 2)
		So(r.useUp(), ShouldEqual, 8)
	})
}

// Guards against further attempts that run beyond an allowance.
func TestFurtherAttemptNeedsAllowance(t *testing.T) {
	Convey("A request that failed once is not sent again if its workspace has nothing left", t, func() {
		s := &pipeServer{status: http.StatusInternalServerError}
		r := newSiteRouter("a", s)
		r.updateServers(atSecond(66), 20, serverItem("b", 15)) // for the second attempt
		for range 9 {
			_, ok := r.pool.Take(r.now(), limitedWorkspace)
			So(ok, ShouldBeTrue)
		}
		So(r.handle(context.Background(), lookupOf("/x")).Status(), ShouldEqual, http.StatusInternalServerError)
		So(s.runs, ShouldHaveLength, 1)
	})
}

// Guards against requests that are sent in another window than the one in which they were admitted.
func TestLateAttemptNeedsAllowance(t *testing.T) {
	Convey("A request that has waited needs a token again before it is sent", t, func() {
		s := &pipeServer{status: http.StatusOK}
		r := newSiteRouter("a", s)
		req, rejection := r.resolve(r.current.Load(), lookupOf("/x"), "id", nil)
		So(rejection, ShouldBeNil)
		So(r.admitToAllowance(context.Background(), req), ShouldBeNil)
		r.useUp()
		r.now = func() time.Time { return atSecond(66.2) }
		r.useUp()
		reply := r.sendWithRetries(context.Background(), req)
		So(reply.Status(), ShouldEqual, http.StatusTooManyRequests)
		So(s.runs, ShouldBeEmpty)
	})
}

// Guards against an incident of which no log says what was sent of an allowance, by whom and why.
func TestUsageOfAllowanceIsLogged(t *testing.T) {
	Convey("Each second, a host says what it sent of a workspace at its limit, and its pool what it handed out", t, func() {
		var logged bytes.Buffer
		s := &pipeServer{status: http.StatusInternalServerError}
		r := newSiteRouter("a", s)
		r.updateServers(atSecond(66), 20, serverItem("b", 15)) // for the second attempt
		r.control.logUsages(1)
		r.log = slog.New(slog.NewJSONHandler(&logged, nil))
		So(r.handle(context.Background(), lookupOf("/x")).Status(), ShouldEqual, http.StatusInternalServerError)
		r.useUp()
		So(r.handle(context.Background(), lookupOf("/x")).Status(), ShouldEqual, http.StatusTooManyRequests)
		r.control.logUsages(1)
		So(logged.String(), ShouldContainSubstring, `"msg":"allowances: sent","workspace":"mill","perSecond":10,"burst":10,"sent":2,"refused":1,"further":1,"waited":0,"forOthers":0`)
		So(logged.String(), ShouldContainSubstring, `"msg":"allowances: handed out","workspace":"mill","perSecond":10,"burst":10,"taken":10,"denied":`)
		logged.Reset()
		r.control.logUsages(1)
		So(logged.String(), ShouldBeEmpty)
	})
}

// Guards against daemons whose shares and demands do not reach the pool of another daemon.
func TestRenewalReachesPool(t *testing.T) {
	Convey("The pool of another daemon gets the share, and grants leases for what is asked there", t, func() {
		m := &linkedMesh{daemons: map[string]*Router{"b:1": newLimitedRouter()}}
		large := limitedWorkspace
		large.Allowance = space.Allowance{Rate: 100, Burst: 100}
		b := m.daemons["b:1"]
		b.applyWorkspaces(2, atSecond(66), large)
		r := newLimitedRouter()
		r.mesh, r.self.Name = m, "e"
		r.lender = quota.NewLenders(atSecond(60), "e", 7)
		for s := 66.0; s <= 70; s += 0.05 {
			now := atSecond(s)
			r.now, b.now = func() time.Time { return now }, func() time.Time { return now }
			for range 2 {
				r.workspaceLimiter.Ask(now, large)
			}
			b.pool.SetDaemons(now, 2, true)
			r.lender.SetDaemons(2, true)
			r.lender.SetPools([]string{"b:1"})
			for i, target := range r.lender.Due(now) {
				r.renewAt(target, now, r.lender.Begin(now, target).WithDemands(r.workspaceLimiter.Demands(now)), i%2 == 0)
			}
		}
		So(b.pool.Share(b.now()), ShouldEqual, 0.5) // b itself no longer renews
		_, verdict, _ := r.workspaceLimiter.Take(r.now().Add(100*time.Millisecond), large)
		So(verdict, ShouldEqual, quota.Admitted)
	})
	Convey("An overtaken renewal is not answered", t, func() {
		r := newLimitedRouter()
		m := &wire.Renewal{Daemon: "e", Incarnation: 1, Seq: 2}
		So(r.handleCall(context.Background(), &wire.Call{Kind: &wire.Call_Renewal{Renewal: m}}).Grant, ShouldNotBeNil)
		So(r.handleCall(context.Background(), &wire.Call{Kind: &wire.Call_Renewal{Renewal: m}}).Grant, ShouldBeNil)
	})
}

// Guards against more requests than the limit of a server while daemons are cut off: they use a part
// that the leader must leave to them.
func TestLeaderCountsReachableDaemons(t *testing.T) {
	Convey("Data centres whose relays are silent do not count, except for a new leader", t, func() {
		r := newTestRouter()
		for _, name := range []string{"e", "f", "g"} {
			r.control.members.AddDiscovered(member.Member{Name: name, Address: name, DataCentre: "y"})
		}
		r.control.leadership.since = atSecond(0)
		So(r.control.reachableShare(atSecond(1)), ShouldEqual, 1)
		So(r.control.reachableShare(atSecond(10)), ShouldEqual, 0.25)
		r.control.applyGossip(atSecond(10), gossipMsg{gossip: &wire.Gossip{Name: "e", Address: "e", DataCentre: "y", Live: 3}})
		So(r.control.reachableShare(atSecond(11)), ShouldEqual, 1)
		So(r.control.reachableShare(atSecond(13)), ShouldEqual, 0.25)
	})
}

// Guards against requests of a data centre that each ask another one for a token, and against a relay that is
// taken for a pool while nothing is lent to it.
func TestRelayTakesForOthers(t *testing.T) {
	Convey("A daemon gets tokens by way of the relay, from the pool that the relay uses", t, func() {
		m := &linkedMesh{daemons: map[string]*Router{"leader:1": newLimitedRouter(), "relay:1": newLimitedRouter()}}
		relay := m.daemons["relay:1"]
		relay.mesh, relay.self.Address, relay.pool = m, "relay:1", quota.NewPools(relay.now(), 5)
		relay.lender = quota.NewLenders(relay.now(), "relay", 5)
		relay.lender.SetPools([]string{"leader:1"})
		r := newLimitedRouter()
		r.mesh = m
		r.lender.SetPools([]string{"leader:1"})
		r.tokenRelay.Store(&tokenRelay{address: "relay:1"})
		result := r.askRelay(context.Background(), limitedWorkspace, []string{"leader:1"})
		So(result, ShouldResemble, takeResult{granted: 1, answered: true})
		So(m.daemons["leader:1"].useUp(), ShouldEqual, 9)
		result = r.askRelay(context.Background(), limitedWorkspace, []string{"leader:1"})
		So(result.granted, ShouldEqual, 0)
		So(result.answered, ShouldBeTrue)
		So(result.wait, ShouldBeGreaterThan, 0)
	})
	Convey("A relay that reaches no pool is left out, and the pools are asked", t, func() {
		m := &linkedMesh{daemons: map[string]*Router{"leader:1": newLimitedRouter(), "relay:1": newLimitedRouter()}}
		relay := m.daemons["relay:1"]
		relay.mesh, relay.self.Address, relay.pool = m, "relay:1", quota.NewPools(relay.now(), 5)
		relay.lender = quota.NewLenders(relay.now(), "relay", 5)
		r := newLimitedRouter()
		r.mesh = m
		r.lender.SetPools([]string{"leader:1"})
		r.tokenRelay.Store(&tokenRelay{address: "relay:1"})
		req, rejection := r.resolve(r.current.Load(), callerRequest("/x", keyHeader("k1")), "id", nil)
		So(rejection, ShouldBeNil)
		_, _, ok := r.askPools(context.Background(), req, []string{"leader:1"})
		So(ok, ShouldBeTrue)
		So(r.now().Before(time.Unix(0, r.tokenRelay.Load().silentUntil.Load())), ShouldBeTrue)
	})
	Convey("Questions that come while one is under way are asked with the next one", t, func() {
		m := &linkedMesh{daemons: map[string]*Router{"leader:1": newLimitedRouter()}}
		r := newLimitedRouter()
		r.mesh = m
		first, target := &pendingTake{workspace: "mill", count: 1, done: make(chan struct{})}, takeTarget{address: "leader:1"}
		So(r.takes.add(target, first), ShouldBeTrue)
		second := &pendingTake{workspace: "mill", count: 2, done: make(chan struct{})}
		So(r.takes.add(target, second), ShouldBeFalse)
		r.sendTakes(target)
		So(first.result.granted, ShouldEqual, 1)
		So(second.result.granted, ShouldEqual, 2)
		So(r.takes.queues, ShouldBeEmpty)
	})
}

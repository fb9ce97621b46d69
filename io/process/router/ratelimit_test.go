package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/limit"
	"catkinstep/core/request/spread"
	"catkinstep/io/connection/link"
)

// newRateLimitedRouter returns a router whose only server, which holds all keys, names a limit.
func newRateLimitedRouter() *Router {
	r := newTestRouter()
	r.updateServers(atSecond(1), 10, serverItem("a", 5))
	r.control.applyTable(atSecond(1), tableWithRange(1, false))
	r.respond(time.Now(), &link.Response{Status: http.StatusNotFound, RateLimited: true, RateLimit: 5})
	return r
}

// respond records a response of the server.
func (r *Router) respond(now time.Time, resp *link.Response) {
	server, _ := r.current.Load().fleet.Find("a")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeRateLimit(now, server, resp)
}

func (r *Router) knownRateLimit() float64 {
	server, _ := r.current.Load().fleet.Find("a")
	l, _ := r.rateLimitOf(server)
	return l.PerSecond
}

// sendsOne reports whether the next request with a key would be sent, or else why not.
func (r *Router) sendsOne() (bool, spread.Choice) {
	req := lookupRequest(time.Second)
	req.requirements.Service = req.service
	server, choice := r.chooseHolder(r.current.Load(), req, time.Now())
	choice = r.ensureToken(context.Background(), req, server, choice)
	return !choice.Refused(), choice
}

// Guards against a limit that is missed, or dropped by a response that says nothing of it.
func TestRateLimitInResponses(t *testing.T) {
	Convey("The newest response of the server counts", t, func() {
		r, now := newRateLimitedRouter(), time.Now()
		So(r.knownRateLimit(), ShouldEqual, 5)
		for i, resp := range []*link.Response{
			nil,
			{Status: http.StatusServiceUnavailable, Declined: true},
			{Status: http.StatusOK}, // without a signature
			{Status: http.StatusNotFound, RateLimited: true, RateLimit: -3},
		} {
			r.respond(now.Add(time.Duration(i)*time.Second), resp)
			So(r.knownRateLimit(), ShouldEqual, 5)
		}
		r.respond(now.Add(10*time.Second), &link.Response{Status: http.StatusServiceUnavailable, Declined: true, RateLimited: true, RateLimit: 2})
		So(r.knownRateLimit(), ShouldEqual, 2)
		r.respond(now.Add(9*time.Second), &link.Response{Status: http.StatusNotFound})
		So(r.knownRateLimit(), ShouldEqual, 2)
		r.respond(now.Add(11*time.Second), &link.Response{Status: http.StatusNotFound})
		So(r.knownRateLimit(), ShouldEqual, 0)
	})
}

// Guards against daemons that learn of a limit only when they exceed it, and do not learn of its end.
func TestRateLimitsAreGossiped(t *testing.T) {
	Convey("A daemon that does not know of a limit gets it in the reply to its gossip, and its end, too", t, func() {
		r, other := newRateLimitedRouter(), newTestRouter()
		other.updateServers(atSecond(1), 10, serverItem("a", 5))
		later := atSecond(3600) // when the limit is no news any more
		gossip := func() {
			reply := make(chan *wire.Gossip, 1)
			r.control.update(later, gossipMsg{gossip: other.control.newGossip(later), reply: reply})
			other.mergeRateLimits((<-reply).ServerLimits)
		}
		gossip()
		So(other.knownRateLimit(), ShouldEqual, 5)
		r.respond(time.Now(), &link.Response{Status: http.StatusNotFound})
		gossip()
		So(other.knownRateLimit(), ShouldEqual, 0)
	})
}

// Guards against requests beyond the limit of a holder while the leader issues its tokens, or does not
// answer.
func TestTokens(t *testing.T) {
	Convey("As the leader, a daemon issues tokens, and refuses with a time when there is none", t, func() {
		r := newRateLimitedRouter()
		r.leaderContact.Store(&leaderContact{reachable: true, leading: true, reachableShare: 1})
		ok, choice := r.sendsOne()
		So(ok, ShouldBeFalse)
		So(choice.Reason, ShouldEqual, spread.ServerLimited)
		So(choice.RetryAfter, ShouldBeBetween, 0, time.Second)
		So(eventuallySends(r, time.Second), ShouldBeTrue)
	})
	Convey("Without contact to the leader, a daemon keeps to a share of its own", t, func() {
		r := newRateLimitedRouter()
		r.updateDaemons()
		ok, _ := r.sendsOne()
		So(ok, ShouldBeFalse)
		So(eventuallySends(r, time.Second), ShouldBeTrue)
	})
	Convey("A leader that does not answer is not asked by every request", t, func() {
		r := newRateLimitedRouter()
		m := fakeMesh{calls: make(chan fakeCall)}
		r.mesh = m
		r.leaderContact.Store(&leaderContact{reachable: true, address: "leader:1"})
		go func() { close((<-m.calls).end) }()
		for range 3 {
			ok, choice := r.sendsOne()
			So(ok, ShouldBeFalse)
			So(choice.RetryAfter, ShouldBeGreaterThan, 0)
		}
		So(r.metrics.vars.Get("tokens.unanswered").String(), ShouldEqual, "1")
	})
	Convey("A daemon that does not lead issues none", t, func() {
		r := newRateLimitedRouter()
		reply := r.handleToken(&wire.Token{Limit: rateLimitToWire(time.Now(), limit.Limit{Server: "a", StartMillis: 1, PerSecond: 5})})
		So(reply.Token.Granted, ShouldBeFalse)
		So(reply.Token.BackMillis, ShouldBeGreaterThan, 0)
	})
}

// eventuallySends reports whether a request would be sent before a time has passed.
func eventuallySends(r *Router, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok, _ := r.sendsOne(); ok {
			return true
		}
	}
	return false
}

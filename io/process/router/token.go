package router

import (
	"context"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/limit"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/mesh"
)

const (
	// tokenTimeout is how long a request waits for the leader's decision. Without one it is refused:
	// if it went all the same, both the leader's tokens and these requests would be sent.
	tokenTimeout = 150 * time.Millisecond
	// tokenRetryDelay is how long no token is asked for after the leader did not answer.
	tokenRetryDelay = 100 * time.Millisecond
)

// ensureToken takes a token if the request has a key and the holder has named a limit. It returns the
// choice, as a refusal if there is no token; the attempt has ended then.
func (r *Router) ensureToken(ctx context.Context, req *request, server fleet.Server, choice spread.Choice) spread.Choice {
	if choice.Refused() || req.key < 0 || r.limitedServers.Load() == 0 {
		return choice
	}
	l, limited := r.rateLimitOf(server)
	if !limited {
		return choice
	}
	retryAfter, ok := r.takeToken(ctx, server, l)
	if ok {
		r.metrics.increment("tokens.granted")
		return choice
	}
	r.metrics.increment("tokens.denied")
	choice.Reason, choice.RetryAfter = spread.ServerLimited, retryAfter
	r.endUnsentAttempt(req, server, spread.Cancelled)
	r.releasePermit(req)
	return choice
}

func (r *Router) rateLimitOf(server fleet.Server) (limit.Limit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rateLimits.Find(server.ID, server.StartMillis)
}

// takeToken gets a token for a request to a server from the leader, or takes one of this daemon's own
// share if it has no contact with the leader. It returns the time until there may be one if there is
// none.
func (r *Router) takeToken(ctx context.Context, server fleet.Server, l limit.Limit) (retryAfter time.Duration, ok bool) {
	m := &wire.Token{Limit: rateLimitToWire(time.Now(), l)}
	contact := r.leaderContact.Load()
	switch {
	case contact.leading:
		return r.concludeToken(server, r.issueToken(contact, m))
	case !contact.reachable:
		return r.takeIsolatedToken(server)
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	reply, err := r.callShared(ctx, contact.address, &wire.Call{Kind: &wire.Call_Token{Token: m}})
	switch {
	case mesh.IsKind(err, mesh.ConnectionRefused), mesh.IsKind(err, mesh.Remote):
		return r.takeIsolatedToken(server) // the leader has ended, or issues no tokens
	case err != nil || reply.Token == nil:
		r.metrics.increment("tokens.unanswered")
		return r.concludeToken(server, &wire.TokenReply{BackMillis: millisOf(tokenRetryDelay)})
	}
	return r.concludeToken(server, reply.Token)
}

// concludeToken keeps requests from asking again before there can be a token.
func (r *Router) concludeToken(server fleet.Server, reply *wire.TokenReply) (retryAfter time.Duration, ok bool) {
	if reply.Granted {
		return 0, true
	}
	retryAfter = millis(reply.BackMillis)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.DenyUntil(server, time.Now().Add(retryAfter))
	return retryAfter, false
}

func (r *Router) takeIsolatedToken(server fleet.Server) (retryAfter time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.TryTakeIsolated(time.Now(), server)
}

// handleToken answers another daemon that asks for a token.
func (r *Router) handleToken(m *wire.Token) *wire.Reply {
	contact := r.leaderContact.Load()
	if !contact.leading || m.Limit == nil {
		return &wire.Reply{Token: &wire.TokenReply{BackMillis: millisOf(tokenRetryDelay)}}
	}
	return &wire.Reply{Token: r.issueToken(contact, m)}
}

// issueToken decides on a token as the leader, by the newest limit that either daemon knows.
func (r *Router) issueToken(contact *leaderContact, m *wire.Token) *wire.TokenReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	l := rateLimitFromWire(now, m.Limit)
	r.mergeRateLimit(now, l, "token")
	if newest, ok := r.rateLimits.Find(l.Server, l.StartMillis); ok {
		l = newest
	}
	retryAfter, ok := r.issuer.Acquire(now, l, contact.reachableShare)
	return &wire.TokenReply{Granted: ok, BackMillis: millisOf(retryAfter)}
}

// resetIssuer begins to issue tokens anew: a former leader may have issued as many as there were.
func (r *Router) resetIssuer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.issuer = limit.NewIssuer()
}

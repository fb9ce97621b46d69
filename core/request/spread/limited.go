package spread

import (
	"time"

	"catkinstep/core/request/limit"
	"catkinstep/core/request/token"
	"catkinstep/core/version/fleet"
)

// rateLimit is the state of the limit that a server has named in a response.
type rateLimit struct {
	perSecond float64 // 0 if there is none
	// bucket limits the requests from this daemon.
	bucket token.Bucket
	// deniedUntil is until when no request with a key is sent, since the leader had no token.
	deniedUntil time.Time
}

// SetRateLimit sets how many requests a second a server takes from all daemons together; 0 means that it
// names no limit any more.
func (b *Balancer) SetRateLimit(server fleet.Server, perSecond float64) {
	st := b.stateOf(server)
	switch {
	case st.startMillis != server.StartMillis:
	case perSecond <= 0:
		st.limit = rateLimit{}
	default:
		st.limit.perSecond = perSecond
	}
}

// RateLimit returns the limit that a server has named, or 0.
func (b *Balancer) RateLimit(server fleet.Server) float64 { return b.stateOf(server).limit.perSecond }

// DenyUntil makes Evaluate refuse requests to a limited server until a time.
func (b *Balancer) DenyUntil(server fleet.Server, until time.Time) {
	b.stateOf(server).limit.deniedUntil = until
}

// TryTakeIsolated takes a token of this daemon's own share of a server's limit, without contact to
// the leader. It returns the time until there may be one if there is none.
func (b *Balancer) TryTakeIsolated(now time.Time, server fleet.Server) (retryAfter time.Duration, ok bool) {
	st := b.stateOf(server)
	rate := b.shareOf(limit.IsolatedShare(st.limit.perSecond), server.ID)
	if st.limit.bucket.TryTake(now, rate) {
		return 0, true
	}
	return st.limit.bucket.Wait(now, rate), false
}

// limitWait reports whether a server's limit is used up, and returns the time until it may not be.
// Requests with a key get their tokens elsewhere, unless they were denied one just now.
func (b *Balancer) limitWait(now time.Time, req Requirements, server fleet.Server, st *serverState) (wait time.Duration, usedUp bool) {
	if st.limit.perSecond <= 0 {
		return 0, false
	}
	if req.Service.Keyed {
		wait = st.limit.deniedUntil.Sub(now)
		return wait, wait > 0
	}
	share := b.unkeyedShare(st, server)
	if st.limit.bucket.Has(now, share) {
		return 0, false
	}
	return st.limit.bucket.Wait(now, share), true
}

func (b *Balancer) unkeyedShare(st *serverState, server fleet.Server) token.Rate {
	return b.shareOf(limit.Share(st.limit.perSecond), server.ID)
}

// takeLimited takes a token for a request without a key to a limited server.
func (b *Balancer) takeLimited(now time.Time, req Requirements, server fleet.Server, st *serverState) {
	if st.limit.perSecond > 0 && !req.Service.Keyed {
		st.limit.bucket.Take(now, b.unkeyedShare(st, server))
	}
}

// returnLimited puts the token of a request back that was not sent.
func (st *serverState) returnLimited(req Requirements) {
	if st.limit.perSecond > 0 && !req.Service.Keyed {
		st.limit.bucket.Return()
	}
}

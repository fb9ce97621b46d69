package spread

import (
	"time"

	"catkinstep/core/version/fleet"
)

const (
	// callerSpread is the share of what is left of a rest over which the callers are spread that are asked
	// to come back after it, and maxCallerSpread bounds it.
	callerSpread    = 0.2
	maxCallerSpread = 500 * time.Millisecond
)

// Resting returns the refusal of requests that only one server may run, if that server has asked for rest.
func (b *Balancer) Resting(now time.Time, server fleet.Server) (refusal Choice, rests bool) {
	status := b.notices.Status(now, server)
	if status.Leaving || !status.Rests(now) {
		return Choice{}, false
	}
	return b.restingChoice(now, server, status.RestUntil), true
}

// NoneAvailable returns the refusal of a request that none of the servers may get, as they rest, leave or are
// excluded. It returns false if there is any other.
func (b *Balancer) NoneAvailable(now time.Time, req Requirements, servers []fleet.Server) (refusal Choice, none bool) {
	var restUntil time.Time
	for _, server := range servers {
		status := b.notices.Status(now, server)
		switch {
		case status.Leaving:
		case status.Rests(now):
			restUntil = firstEnd(restUntil, status.RestUntil)
		case !server.Draining && !isExcluded(req, server.ID):
			return Choice{}, false
		}
	}
	if restUntil.IsZero() {
		return noServer, true
	}
	return b.restingChoice(now, fleet.Server{}, restUntil), true
}

// noServer refuses a request for which there is no server. One may come at any moment.
var noServer = Choice{Reason: NoServer, RetryAfter: 4 * minRetryAfter}

// restingChoice refuses a request until a rest is over, and a little longer, so that not all callers come
// back at the same moment.
func (b *Balancer) restingChoice(now time.Time, server fleet.Server, until time.Time) Choice {
	left := until.Sub(now)
	spread := min(callerSpread*left.Seconds(), maxCallerSpread.Seconds()) * b.random.Float64()
	return Choice{Server: server, Reason: ServerResting, RetryAfter: left + seconds(spread)}
}

// firstEnd returns the earlier of two ends of rests, of which the first may be zero, for none.
func firstEnd(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

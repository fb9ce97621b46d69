package spread

import (
	"slices"
	"time"

	"catkinstep/core/request/permit"
	"catkinstep/core/request/subset"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// Choose returns the server with the lowest cost, which is its expected latency plus
// surcharges for servers that other daemons prefer and for servers in other data
// centres. Failing servers are rarely chosen. If a local server can serve the request
// now, remote servers are not considered: large sites have hundreds of them, and a
// remote response uses bandwidth between data centres.
func (b *Balancer) Choose(now time.Time, req Requirements, servers []fleet.Server) Choice {
	b.prioritiesOf(req.Service.Name).observe(now, req, b.permittedWait(req))
	if len(req.LastResort) > 0 {
		preferred := req
		preferred.Excluded, preferred.LastResort = slices.Concat(req.Excluded, req.LastResort), nil
		if choice := b.Choose(now, preferred, servers); !choice.Refused() {
			return choice
		}
	}
	localCount := 0
	for _, server := range servers {
		if server.DataCentre == req.LocalDataCentre {
			localCount++
		}
	}
	best := b.bestOf(now, req, servers, true, localCount, candidate{Choice: noServer})
	if best.Refused() || !best.canServeNow && !b.surelyInTime(now, req, best.Choice) {
		best = b.bestOf(now, req, servers, false, len(servers)-localCount, best)
	}
	if best.Reason == NoServer && !best.restUntil.IsZero() {
		return b.restingChoice(now, fleet.Server{}, best.restUntil)
	}
	return best.Choice
}

// surelyInTime reports whether a response is expected so early that even a long one will be
// in time. A response from another data centre, which uses priced bandwidth, would be no better
// for the caller then.
func (b *Balancer) surelyInTime(now time.Time, req Requirements, c Choice) bool {
	left := req.ReceivedAt.Add(req.LatencyTarget).Sub(now)
	return c.ExpectedLatency <= time.Duration(surelyInTimeShare*float64(left))
}

// candidate is a choice with its cost in seconds.
type candidate struct {
	Choice
	cost float64
	// restUntil is the first end of the rests of servers that were passed over; zero if there are none.
	restUntil time.Time
}

// bestOf compares either the local or the remote servers, of which there are count, with the
// best candidate so far, and returns the best of all.
func (b *Balancer) bestOf(now time.Time, req Requirements, servers []fleet.Server, local bool, count int, best candidate) candidate {
	position, loads := -1, loadCache{balancer: b, now: now, req: req}
	for _, server := range servers {
		if (server.DataCentre == req.LocalDataCentre) != local {
			continue
		}
		position++
		status := b.notices.Status(now, server)
		if status.Rests(now) && !status.Leaving {
			best.restUntil = firstEnd(best.restUntil, status.RestUntil)
			continue
		}
		if server.Draining || status.Leaving || isExcluded(req, server.ID) {
			continue
		}
		c := b.assess(now, req, server, loads.forDataCentre(server.DataCentre))
		c.cost += b.preferenceCost(req, local, subset.Rank(b.limits.LocalIndex, b.limits.LocalDaemons, position, count))
		if c.restUntil = best.restUntil; best.Reason == NoServer || better(c, best) {
			best = c
		}
	}
	return best
}

// preferenceCost returns the surcharge for a server that other daemons prefer, since this
// daemon knows less about its load, and for a server in another data centre.
func (b *Balancer) preferenceCost(req Requirements, local bool, rank int) float64 {
	cost := rankCost * float64(min(maxRank, rank)) * b.typicalSeconds(req)
	if !local {
		cost += remoteCostPerKB.Seconds() * (b.routeStats(req).responseKB + largeBodyKB(req.BodyBytes))
	}
	return cost
}

// largeBodyKB returns the size of a request body in kilobytes, or 0 if it is hardly larger than the
// headers, which are not counted either.
func largeBodyKB(bytes int) float64 {
	if bytes < minLargeBody {
		return 0
	}
	return float64(bytes) / 1024
}

// Evaluate decides whether to send a request to the only server that may run it. As there
// is no alternative, a high failure rate is no reason to refuse. A server without a recent report
// counts as idle for requests of rank 0, and as loaded as others of its group for less urgent ones:
// among hundreds of daemons, few of them have a recent report of a given server.
func (b *Balancer) Evaluate(now time.Time, req Requirements, server fleet.Server) Choice {
	b.prioritiesOf(req.Service.Name).observe(now, req, b.permittedWait(req))
	if choice, rests := b.Resting(now, server); rests {
		return choice
	}
	expectedLoad := 0.0
	if req.EffectiveRank() > 0 {
		expectedLoad = b.expectedLoad(now, req, server.DataCentre)
	}
	c := b.assess(now, req, server, expectedLoad)
	if c.Reason == ServerFailing {
		c.Reason = ""
	}
	return c.Choice
}

// better reports whether a is preferable to b: accepted before refused, then by lower cost.
func better(a, b candidate) bool {
	if a.Refused() != b.Refused() {
		return !a.Refused()
	}
	return a.cost < b.cost
}

// assess estimates the expected latency and the cost at a server, given the load that is
// expected there in the absence of a recent report.
func (b *Balancer) assess(now time.Time, req Requirements, server fleet.Server, expectedLoad float64) candidate {
	st := b.stateOf(server)
	typicalSeconds := b.typicalSeconds(req)
	load := b.load(now, server.ID, st, expectedLoad)
	meanSeconds := b.meanSeconds(req)
	slowdown := b.currentSlowdown(now, st, meanSeconds)
	serviceSeconds := typicalSeconds * slowdown
	// What is ahead may be of other routes. A request of long work counts what is ahead as long as
	// itself: in an overload it would take the slots of several others.
	slots := float64(max(1, server.Slots))
	secondsPerPlace := max(meanSeconds, typicalSeconds) * slowdown / slots
	waitSeconds := max(0, load+1-slots) * secondsPerPlace
	expected := seconds(serviceSeconds + waitSeconds)
	cost := (serviceSeconds + waitSeconds) * (1 + jitter*b.random.Float64()) / (1.001 - st.failureRate)
	choice := Choice{Server: server, ExpectedLatency: expected, canServeNow: load < float64(server.Slots) && slowdown < maxLocalSlowdown}
	nearlyFull := load >= float64(server.Slots-1) || expectedLoad >= float64(server.Slots)/2
	choice.Contended = nearlyFull && permit.QueueVisibility(b.limits.Daemons, server.Slots) < 1
	limitWait, limitUsedUp := b.limitWait(now, req, server, st)
	choice.Reason = b.refusalReason(now, req, server, st, expected, load, limitUsedUp)
	switch {
	case choice.Reason == ServerLimited:
		choice.RetryAfter = max(limitWait, b.retryAfter(req, expected))
	case choice.Reason == AllBusy && req.EffectiveRank() > 0:
		choice.RetryAfter = b.jittered(max(minRetryAfter, b.excessWait(now, req, server, expected, load, secondsPerPlace)))
	case choice.Reason == DaemonStops:
		choice.RetryAfter = b.jittered(minRetryAfter) // other daemons can serve it now
	case choice.Refused():
		choice.RetryAfter = b.retryAfter(req, expected)
	}
	return candidate{Choice: choice, cost: cost}
}

// refusalReason returns why a request must not be sent to a server now, or "" if it may be.
func (b *Balancer) refusalReason(now time.Time, req Requirements, server fleet.Server, st *serverState, expected time.Duration, load float64, limitUsedUp bool) Reason {
	switch {
	case now.Before(st.pausedUntil), st.connectFailed && st.inFlight > 0:
		return ServerUnreachable
	case st.inFlight >= b.connectionShare(req.Service):
		return ConnectionLimit
	case req.EndsTooLate(now, expected):
		return DaemonStops
	case now.Add(expected / 2).After(req.Deadline):
		return DeadlineTooNear
	case st.isCold(now) && !st.coldBucket.Has(now, b.coldRateLimit(req.Service, server.ID)):
		return ColdServer
	case limitUsedUp:
		return ServerLimited
	case load >= float64(server.Slots) && now.Add(expected).After(req.ReceivedAt.Add(b.latencyBudget(req))):
		return AllBusy
	case load+1-float64(server.Slots) > b.queuePlaces(now, req):
		return AllBusy
	case st.failureRate > failingThreshold && b.random.Float64() > probeShare:
		return ServerFailing
	}
	return ""
}

// retryAfter returns the delay after which a refused caller should retry, by when the queue
// has moved on. The delay is randomised so that callers do not return together.
func (b *Balancer) retryAfter(req Requirements, expected time.Duration) time.Duration {
	wait := max(minRetryAfter, min(expected, req.LatencyTarget)/3)
	return b.jittered(wait)
}

func (b *Balancer) jittered(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.7 + 0.6*b.random.Float64()))
}

// SeesQueue reports whether this daemon sees enough of a server's queue by itself, since few daemons
// send to it. A daemon that does not know the others yet counts as one of few.
func (b *Balancer) SeesQueue(server fleet.Server) bool {
	return !b.limits.Members.Complete || permit.QueueVisibility(b.limits.Daemons, server.Slots) >= 1
}

// connectionShare returns this daemon's share of the connections that a server accepts.
// A tenth of them is reserved for grants and for connections that are being closed. A daemon
// that does not know the others yet takes the smallest share.
func (b *Balancer) connectionShare(service config.Service) int {
	if service.MaxConnections == 0 {
		return 1 << 20
	}
	if !b.limits.Members.Complete {
		return 1
	}
	return max(1, service.MaxConnections*9/10/b.limits.Daemons)
}

func isExcluded(req Requirements, id string) bool {
	for _, excluded := range req.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}

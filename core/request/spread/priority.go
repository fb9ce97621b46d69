package spread

import (
	"maps"
	"math"
	"time"

	"catkinstep/core/request/class"
	"catkinstep/core/version/fleet"
)

const (
	// routeWaitRetention is how long the permitted wait of a route counts after its last request.
	// It covers pauses of a route with few requests; after it, a removed route has no effect.
	routeWaitRetention = 30 * time.Second
	// queueBoundDoubling is the time in which a learnt queue bound doubles without declines. A
	// server with a longer queue is found within a minute, and the declines that it takes to learn
	// the same bound again are few.
	queueBoundDoubling = 30 * time.Second
)

// priorities is what a daemon knows of the ranks of one service.
type priorities struct {
	ranks      [class.MaxRank + 1]rankWaits
	queueBound queueBound
}

// rankWaits holds how long the requests of one rank may wait for a slot, by route. Routes of one rank
// may have different targets; the shortest wait bounds the waits of less urgent ranks.
type rankWaits struct {
	routes map[string]routeWait
	// oldestAt is when the route that was not requested for longest was last requested.
	oldestAt time.Time
	// shortest is the shortest positive wait of the routes, 0 if there is none. A route without
	// time to wait never queues, and would otherwise close the queue to all less urgent ones.
	shortest time.Duration
}

type routeWait struct {
	wait   time.Duration
	seenAt time.Time
}

// queueBound estimates how many requests may wait at a server of the service before it declines
// more: the fewest that waited when one declined, increasing with the time since then.
type queueBound struct {
	waiting   float64 // 0 if no server has declined a request as full
	learnedAt time.Time
}

func (q *queueBound) observe(now time.Time, waiting int) {
	if float64(waiting) <= q.at(now) {
		q.waiting, q.learnedAt = float64(waiting), now
	}
}

// at returns the bound at a time; it is infinite if none was learnt.
func (q *queueBound) at(now time.Time) float64 {
	if q.waiting == 0 {
		return math.Inf(1)
	}
	return q.waiting * math.Exp2(float64(now.Sub(q.learnedAt))/float64(queueBoundDoubling))
}

func (b *Balancer) prioritiesOf(service string) *priorities {
	p := b.priorities[service]
	if p == nil {
		p = &priorities{}
		b.priorities[service] = p
	}
	return p
}

// PruneServices removes what is known of the ranks of services that no longer exist.
func (b *Balancer) PruneServices(exists func(service string) bool) {
	maps.DeleteFunc(b.priorities, func(service string, _ *priorities) bool { return !exists(service) })
}

// observe records how long a request's route may wait in its rank. It expires the waits of the other
// ranks as well: a rank without requests would otherwise bound the less urgent ones for ever.
func (p *priorities) observe(now time.Time, req Requirements, wait time.Duration) {
	r := &p.ranks[min(req.Rank, class.MaxRank)]
	if r.routes == nil {
		r.routes = map[string]routeWait{}
	}
	r.routes[req.Route] = routeWait{wait: wait, seenAt: now}
	r.update(now)
	for i := range p.ranks {
		if other := &p.ranks[i]; len(other.routes) > 0 && now.Sub(other.oldestAt) > routeWaitRetention {
			other.update(now)
		}
	}
}

// update removes routes that were not requested for long, and determines the shortest wait of the
// others.
func (r *rankWaits) update(now time.Time) {
	r.shortest, r.oldestAt = 0, now
	for route, w := range r.routes {
		if now.Sub(w.seenAt) > routeWaitRetention {
			delete(r.routes, route)
			continue
		}
		if w.wait > 0 && (r.shortest == 0 || w.wait < r.shortest) {
			r.shortest = w.wait
		}
		if w.seenAt.Before(r.oldestAt) {
			r.oldestAt = w.seenAt
		}
	}
}

// maxWait returns the longest wait of a rank above 0, given those of more urgent ranks: at most
// class.WaitShare of the wait of the rank before. It returns false if none of those was seen.
func (p *priorities) maxWait(rank int) (time.Duration, bool) {
	wait := math.Inf(1)
	for _, r := range p.ranks[:rank] {
		if r.shortest > 0 {
			wait = min(wait, float64(r.shortest))
		}
		wait *= class.WaitShare
	}
	return time.Duration(min(wait, math.MaxInt64/2)), !math.IsInf(wait, 1)
}

// latencyBudget returns how long a queued request may take in total. It is less than the
// latency target, since a late reply is of little use and its slot could have served another
// request in time. Requests of less urgent ranks wait less than the more urgent ones of the same
// service, whatever their own target, so they are refused first.
func (b *Balancer) latencyBudget(req Requirements) time.Duration {
	share := 1.0
	if req.Deferred {
		share = deferredBudgetShare
	}
	budget := share * targetShare(req) * float64(req.LatencyTarget)
	if wait, ok := b.waitBound(req); ok {
		budget = min(budget, share*(b.typicalSeconds(req)*float64(time.Second)+float64(wait)))
	}
	return time.Duration(budget)
}

// targetShare is the share of a request's own target that it may take if it has to queue.
func targetShare(req Requirements) float64 { return 0.95 - 0.1*float64(min(req.Priority, 3)) }

// permittedWait returns how long a request may wait by its own target alone.
func (b *Balancer) permittedWait(req Requirements) time.Duration {
	return time.Duration(targetShare(req)*float64(req.LatencyTarget)) - seconds(b.typicalSeconds(req))
}

// waitBound returns the longest wait of a request, by the waits of more urgent requests. A promoted
// request waits no longer than one of rank 0, since with a longer target it would take the queue.
func (b *Balancer) waitBound(req Requirements) (time.Duration, bool) {
	if req.Rank == 0 {
		return 0, false
	}
	p := b.prioritiesOf(req.Service.Name)
	if req.Promoted {
		return p.ranks[0].shortest, p.ranks[0].shortest > 0
	}
	return p.maxWait(req.EffectiveRank())
}

// queuePlaces returns how many requests may wait at a server after this one has joined the queue.
// Servers whose queue is shorter than the latency budget would otherwise decline requests of all
// ranks alike. Rank 0 has no bound: where many daemons share the servers, estimates of the queue are so
// rough that its requests would be refused although there is room for them.
func (b *Balancer) queuePlaces(now time.Time, req Requirements) float64 {
	rank := req.EffectiveRank()
	if rank == 0 {
		return math.Inf(1)
	}
	places := b.prioritiesOf(req.Service.Name).queueBound.at(now) * math.Pow(class.WaitShare, float64(rank))
	if req.Deferred {
		places *= deferredBudgetShare
	}
	return places
}

// excessWait returns the time in which the queue of a server becomes as short as the request
// accepts.
func (b *Balancer) excessWait(now time.Time, req Requirements, server fleet.Server, expected time.Duration, load, secondsPerPlace float64) time.Duration {
	excess := now.Add(expected).Sub(req.ReceivedAt.Add(b.latencyBudget(req)))
	// Without a bound, or with one learnt long ago, the difference may be -Inf or too large for a duration.
	waitingAhead := max(0, load+1-float64(server.Slots)-b.queuePlaces(now, req))
	return max(excess, seconds(waitingAhead*secondsPerPlace))
}

// PermitBudget returns how long a request may take at a server if it has to queue, by its latency
// budget and by the places of the queue that it may fill.
func (b *Balancer) PermitBudget(now time.Time, req Requirements, server fleet.Server) time.Duration {
	budget := b.latencyBudget(req) - now.Sub(req.ReceivedAt)
	places := b.queuePlaces(now, req)
	if math.IsInf(places, 1) {
		return budget
	}
	slowdown := b.currentSlowdown(now, b.stateOf(server), b.meanSeconds(req))
	wait := places * b.meanSeconds(req) * slowdown / float64(max(1, server.Slots))
	return min(budget, b.ServiceTime(now, req, server)+seconds(min(wait, req.LatencyTarget.Seconds())))
}

package router

import (
	"maps"
	"net/http"

	"catkinstep/core/process/burn"
	"catkinstep/core/request/class"
	"catkinstep/io/connection/caller"
)

// Counters of requests by their rank (see package class).
const (
	refusedByRank    = "priority.refused.rank"
	promotedRequests = "priority.promoted"
)

// rankState is what the ranks of requests and their promotion depend on. Router.mu guards it.
type rankState struct {
	demand    *class.Demand
	promoters map[string]*class.Promoter // by service
}

func newRankState() rankState {
	return rankState{demand: class.NewDemand(), promoters: map[string]*class.Promoter{}}
}

// setPriority sets the priority and the rank of a request by its workspace or route. Both may change
// while the request waits, with its workspace.
func (r *Router) setPriority(snap *snapshot, req *request) {
	req.requirements.Priority = req.priority()
	req.requirements.Rank = r.rankOf(snap, req)
	if req.requirements.Rank > 0 && !req.promotionDrawn {
		r.drawPromotion(req)
	}
}

// countPriority counts a request for the demand by priority.
func (r *Router) countPriority(snap *snapshot, req *request) {
	if !snap.ranks.Several(req.service.Name) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranked.demand.Add(r.now(), req.service.Name, req.priority())
}

// rankOf returns the rank of a request among the priorities that are in demand at this daemon.
func (r *Router) rankOf(snap *snapshot, req *request) int {
	if !snap.ranks.Several(req.service.Name) {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return snap.ranks.Rank(req.service.Name, req.priority(), func(priority int) bool { return r.ranked.demand.Has(req.service.Name, priority) })
}

// drawPromotion decides whether a request is treated as one of rank 0. It is called once for each
// request, so that attempts do not raise the chance. The draw is random, since a caller could choose an
// ID that is always promoted, and requests for the same content would be promoted together.
func (r *Router) drawPromotion(req *request) {
	req.promotionDrawn = true
	r.mu.Lock()
	defer r.mu.Unlock()
	promoter := r.ranked.promoters[req.service.Name]
	if promoter == nil {
		promoter = &class.Promoter{}
		r.ranked.promoters[req.service.Name] = promoter
	}
	if r.random.Float64() >= promoter.Share() {
		return
	}
	req.requirements.Promoted = true
	r.metrics.increment(promotedRequests)
}

// recordPriorityOutcome counts whether a request was served in time, if its service has requests of
// several ranks. A request that was sent to another daemon counts there, since that daemon draws its
// promotion and chooses its server. r.mu must be held.
func (r *Router) recordPriorityOutcome(req *request, outcome burn.Outcome) {
	if promoter := r.ranked.promoters[req.service.Name]; promoter != nil && !req.sentToPeer {
		promoter.Record(r.now(), req.requirements.EffectiveRank(), outcome == burn.Good)
	}
}

// recordCarriedPriority counts the outcome of a request that was served for another daemon.
func (r *Router) recordCarriedPriority(req *request, reply caller.Reply) {
	if reply.Status() == http.StatusTooManyRequests { // beyond its allowance, whatever its rank
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordPriorityOutcome(req, serviceOutcome(req, reply))
}

// pruneServices removes the state by rank of services that a new configuration no longer has.
func (r *Router) pruneServices() {
	cfg := r.current.Load().config
	exists := func(name string) bool {
		_, ok := cfg.Service(name)
		return ok
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.PruneServices(exists)
	r.admission.PruneServices(exists)
	r.ranked.demand.Prune(exists)
	maps.DeleteFunc(r.ranked.promoters, func(name string, _ *class.Promoter) bool { return !exists(name) })
}

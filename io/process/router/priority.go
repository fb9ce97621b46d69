package router

import "catkinstep/core/request/class"

// Counters of requests by their rank (see package class).
const (
	refusedByRank    = "priority.refused."
	promotedRequests = "priority.promoted"
)

// setPriority sets the priority and the rank of a request by its workspace or route.
func (req *request) setPriority(snap *snapshot) {
	req.requirements.Priority = req.priority()
	req.requirements.Rank = snap.ranks.Rank(req.service.Name, req.priority())
}

// drawPromotion decides whether a request is treated as one of rank 0. It is called once for each
// request, so that attempts do not raise the chance. The draw is random, since a caller could choose an
// ID that is always promoted, and requests for the same content would be promoted together.
func (r *Router) drawPromotion(req *request) {
	if req.requirements.Rank == 0 || r.randomFloat() >= class.MinShare {
		return
	}
	req.requirements.Promoted = true
	r.metrics.increment(promotedRequests)
}

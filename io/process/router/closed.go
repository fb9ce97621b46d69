package router

import (
	"context"
	"net/http"
	"time"

	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/link"
)

// reasonKeyMoving means that no server may run requests for a key at present, since its range
// is moving to another holder.
const reasonKeyMoving spread.Reason = "keyMoving"

// recordTableChange records which ranges were closed or opened by a new table, and wakes the
// requests that wait for a range.
func (r *Router) recordTableChange(now time.Time, t grant.Table) {
	servers := r.current.Load().fleet
	r.mu.Lock()
	r.reopenEstimator.Observe(now, t, func(holder grant.Holder) bool {
		server, ok := servers.Find(holder.Server)
		return ok && server.StartMillis == holder.StartMillis
	})
	r.mu.Unlock()
	close(*r.tableUpdateCh.Swap(new(make(chan struct{}))))
}

// closedRangeChoice returns the refusal of a request whose range is closed. It asks the caller
// to retry when the range has probably opened: an earlier retry would be refused again, a later
// one would waste time. r.mu must be held.
func (r *Router) closedRangeChoice(now time.Time, req *request, keyRange grant.Range, holderAlive bool) spread.Choice {
	estimate := r.reopenEstimator.EstimateReopening(r.now(), req.service.Name, keyRange, holderAlive)
	req.rangeOpensBy = now.Add(estimate.P90)
	return spread.Choice{Reason: reasonKeyMoving, RetryAfter: estimate.Median}
}

// retryAfterDeclined returns after which time to retry a request that the holder of its key
// declined. If the holder does not hold the key, it is the time until the range probably has
// another holder, and otherwise the time until the queue is shorter.
func (r *Router) retryAfterDeclined(req *request, server fleet.Server, resp *link.Response) time.Duration {
	keyRange, _ := r.current.Load().table.RangeOf(req.service.Name, req.key)
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.Status == http.StatusMisdirectedRequest {
		return r.reopenEstimator.EstimateReopening(r.now(), req.service.Name, keyRange, true).Median
	}
	return r.balancer.Evaluate(time.Now(), req.requirements, server).RetryAfter
}

// latestStart is when a request must be sent for a response within the latency target. r.mu must be held.
func (r *Router) latestStart(req *request) time.Time {
	return req.ReadAt.Add(req.route.LatencyTarget - r.balancer.TypicalServiceTime(req.requirements))
}

// opensInTime reports whether a closed range very probably opens early enough for a response within the
// latency target. r.mu must be held.
func (r *Router) opensInTime(req *request) bool {
	latestStart := r.latestStart(req)
	return !req.rangeOpensBy.After(latestStart) && !latestStart.After(req.deadline)
}

// awaitRangeOpen waits for a new table, and reports whether one came into force. A request
// waits only if its range very probably opens early enough for a response within the latency
// target. Any other request is refused at once, so that its caller can proceed without the
// response.
func (r *Router) awaitRangeOpen(ctx context.Context, req *request, tableUpdateCh <-chan struct{}) bool {
	r.mu.Lock()
	latestStart, opensInTime := r.latestStart(req), r.opensInTime(req)
	r.mu.Unlock()
	if !opensInTime {
		return false
	}
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	select {
	case <-tableUpdateCh:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

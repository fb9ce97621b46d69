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

// moving is why a request for a key cannot go anywhere now: its range is on its
// way to another holder.
const moving spread.Reason = "keyMoving"

// tableChanged notes which ranges have closed and opened, and wakes the requests that
// wait for one.
func (r *Router) tableChanged(now time.Time, t grant.Table) {
	f := r.current.Load().fleet
	r.mu.Lock()
	r.gaps.Observe(now, t, func(h grant.Holder) bool {
		v, ok := f.Find(h.Server)
		return ok && v.StartMillis == h.StartMillis
	})
	r.mu.Unlock()
	close(*r.tableUpdated.Swap(new(make(chan struct{}))))
}

// closedChoice is the refusal of a request whose range is closed: with the time in which
// the range is likely to open, so that the caller neither comes too early and is
// refused once more, nor misses it. The caller must hold the lock.
func (r *Router) closedChoice(now time.Time, o *order, g grant.Range, holderLives bool) spread.Choice {
	e := r.gaps.EstimateOpening(r.now(), o.service.Name, g, holderLives)
	o.opensBy = now.Add(e.P90)
	return spread.Choice{Reason: moving, RetryAfter: e.Median}
}

// comeBack is when a caller may return whose request the holder of its key did not
// run: when the range has another holder, or the queue is shorter.
func (r *Router) comeBack(o *order, v fleet.Server, a *link.Answer) time.Duration {
	g, _ := r.current.Load().table.RangeOf(o.service.Name, o.key)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Status == http.StatusMisdirectedRequest {
		return r.gaps.EstimateOpening(r.now(), o.service.Name, g, true).Median
	}
	return r.spread.Evaluate(time.Now(), o.need, v).RetryAfter
}

// awaitOpen waits for a change of the table, and tells whether one came. A request waits
// only where its range surely opens early enough to answer it within its aim; another
// one is refused at once, so that its caller can do without the answer.
func (r *Router) awaitOpen(ctx context.Context, o *order, changed <-chan struct{}) bool {
	r.mu.Lock()
	latest := o.Read.Add(o.route.LatencyTarget - r.spread.TypicalTime(o.need))
	r.mu.Unlock()
	if o.opensBy.After(latest) || latest.After(o.deadline) {
		return false
	}
	wait := time.NewTimer(time.Until(latest))
	defer wait.Stop()
	select {
	case <-changed:
		return true
	case <-wait.C:
	case <-ctx.Done():
	}
	return false
}

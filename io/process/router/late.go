package router

import (
	"time"

	"catkinstep/core/request/spread"
	"catkinstep/io/connection/link"
)

// Reasons why a response exceeded the latency target. Logs and metrics use these names.
const (
	lateRetried    = "afterFailedAttempt"
	lateQueued     = "waited"
	lateSlowServer = "slowServer"
	lateLongWork   = "longWork"
)

// slowdownThreshold is the slowdown from which a server counts as slow.
const slowdownThreshold = 1.5

// logLateResponse logs and counts a response that exceeded the route's latency target.
func (r *Router) logLateResponse(req *request, choice spread.Choice, resp *link.Response) {
	elapsed := time.Since(req.ReadAt)
	if elapsed <= req.route.LatencyTarget {
		return
	}
	reason := lateReason(req.attempts.count(), resp.Load)
	r.metrics.increment("late." + reason)
	load := link.Load{}
	if resp.Load != nil {
		load = *resp.Load
	}
	r.log.Info("request: answered late", append([]any{"id", req.id, "route", req.route.Name, "reason", reason, "took", elapsed.String(),
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "pace", load.Slowdown}, r.decisionAttrs(req, choice)...)...)
}

// lateReason derives the reason for a late response from the number of attempts and from the
// load that the server reported with it.
func lateReason(attempts int, l *link.Load) string {
	switch {
	case attempts > 1:
		return lateRetried
	case l != nil && (l.Waiting > 0 || l.Running >= l.Slots):
		return lateQueued
	case l != nil && l.Slowdown >= slowdownThreshold:
		return lateSlowServer
	}
	return lateLongWork
}

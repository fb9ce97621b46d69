package router

import (
	"time"

	"catkinstep/core/request/spread"
	"catkinstep/io/connection/link"
)

// Reasons why an answer exceeded the target latency. Logs and metrics use these names.
const (
	lateRetried    = "afterFailedAttempt"
	lateQueued     = "waited"
	lateSlowServer = "slowServer"
	lateLongWork   = "longWork"
)

// slowdownThreshold is the slowdown from which a server counts as slow.
const slowdownThreshold = 1.5

// logLateAnswer logs and counts an answer that exceeded the route's target latency.
func (r *Router) logLateAnswer(req *request, choice spread.Choice, a *link.Response) {
	elapsed := time.Since(req.ReadAt)
	if elapsed <= req.route.LatencyTarget {
		return
	}
	reason := lateReason(req.attempts(), a.Load)
	r.meters.increment("late." + reason)
	load := link.Load{}
	if a.Load != nil {
		load = *a.Load
	}
	r.log.Info("request: answered late", append([]any{"id", req.id, "route", req.route.Name, "reason", reason, "took", elapsed.String(),
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "pace", load.Slowdown}, r.decisionAttrs(req, choice)...)...)
}

// lateReason derives the reason for a late answer from the number of attempts and from the
// load that the server reported with the answer.
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

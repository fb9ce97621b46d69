package router

import (
	"time"

	"catkinstep/core/request/spread"
	"catkinstep/io/connection/link"
)

// Reasons why an answer came after its aim, as logs name them.
const (
	lateRepeated = "afterFailedAttempt"
	lateWaited   = "waited"
	lateSlow     = "slowServer"
	lateLong     = "longWork"
)

// slowPace is from what pace on a server is called slow.
const slowPace = 1.5

// noteLate logs an answer that came after its aim.
func (r *Router) noteLate(o *order, c spread.Choice, a *link.Response) {
	took := time.Since(o.ReadAt)
	if took <= o.route.LatencyTarget {
		return
	}
	reason := lateReason(o.attempts(), a.Load)
	r.meters.add("late." + reason)
	load := link.Load{}
	if a.Load != nil {
		load = *a.Load
	}
	r.log.Info("request: answered late", append([]any{"id", o.id, "route", o.route.Name, "reason", reason, "took", took.String(),
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "pace", load.Slowdown}, r.grounds(o, c)...)...)
}

// lateReason tells what the server said with the answer from what went before it.
func lateReason(attempts int, l *link.Load) string {
	switch {
	case attempts > 1:
		return lateRepeated
	case l != nil && (l.Waiting > 0 || l.Running >= l.Slots):
		return lateWaited
	case l != nil && l.Slowdown >= slowPace:
		return lateSlow
	}
	return lateLong
}

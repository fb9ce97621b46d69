package router

import (
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/request/proof"
	"catkinstep/core/request/spread"
	"catkinstep/io/connection/caller"
)

// giveUp ends a request without another attempt. Status 503 or 429 means that the request did not
// run, and comes with a time after which to retry. With 502 and 504 the request may have
// run.
func (r *Router) giveUp(req *request, choice spread.Choice, reason string, retryAfter time.Duration) caller.Reply {
	if req.fallback != nil {
		return *req.fallback
	}
	if !req.history.MaybeRan() {
		return r.refuseRequest(req, reason, retryAfter, r.decisionAttrs(req, choice)...)
	}
	status := http.StatusBadGateway
	if !time.Now().Before(req.deadline) {
		status = http.StatusGatewayTimeout
	}
	r.log.Info("request: given up, may have run", append([]any{"id", req.id, "route", req.route.Name, "reason", reason, "status", status}, r.decisionAttrs(req, choice)...)...)
	return *r.finalReply(req.id, status, reason, proof.NotRun{})
}

// decisionAttrs returns, as log attributes, what a decision about a request was based on,
// including the versions of the configuration and the table.
func (r *Router) decisionAttrs(req *request, choice spread.Choice) []any {
	snap := r.current.Load()
	return []any{"service", req.service.Name, "key", req.key, "server", choice.Server.ID, "expected", choice.ExpectedLatency.String(), "aim", req.route.LatencyTarget.String(),
		"left", time.Until(req.deadline).String(), "attempts", req.attempts.count(), "deferred", req.requirements.Deferred, "rank", req.requirements.Rank, "promoted", req.requirements.Promoted, "config", snap.config.Version, "epoch", snap.table.Epoch, "seq", snap.table.Seq}
}

// refuseRequest refuses a resolved request. If the caller sent the same ID before, that
// attempt may have run although this one did not. The refusal says so, since otherwise the
// caller would submit the request again under a new ID and it could run twice.
func (r *Router) refuseRequest(req *request, reason string, retryAfter time.Duration, attrs ...any) caller.Reply {
	r.recordBusyRefusal(reason)
	r.metrics.increment(refusedByRank + strconv.Itoa(req.requirements.Rank))
	refusal := caller.Refusal{ID: req.id, Status: refusalStatus(reason), Reason: reason, RetryAfter: retryAfter, NotRun: req.history.NotRun(), EarlierTry: r.wasSentBefore(req)}
	if refusal.EarlierTry {
		attrs = append(attrs, "earlierTry", "mayHaveRun")
	}
	return r.refuse(refusal, req.route.Name, attrs...)
}

// refuse replies that this attempt did not run, and after which time to retry.
func (r *Router) refuse(refusal caller.Refusal, route string, attrs ...any) caller.Reply {
	refusal.RetryAfter = max(refusal.RetryAfter, minRetryAfter)
	r.metrics.increment("refused." + refusal.Reason)
	r.log.Info("request: refused, not run", append([]any{"id", refusal.ID, "route", route, "reason", refusal.Reason, "retryAfter", refusal.RetryAfter.String()}, attrs...)...)
	return caller.NewRefusal(r.protocol, refusal)
}

// minRetryAfter keeps callers from retrying sooner than a response can be expected.
const minRetryAfter = 50 * time.Millisecond

// finalReply returns a reply without a time after which to retry.
func (r *Router) finalReply(id string, status int, reason string, notRun proof.NotRun) *caller.Reply {
	reply := caller.NewRefusal(r.protocol, caller.Refusal{ID: id, Status: status, Reason: reason, NotRun: notRun})
	return &reply
}

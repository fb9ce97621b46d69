package router

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"catkinstep/core/request/proof"
	"catkinstep/core/request/retry"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// attemptOutcome classifies the end of an attempt for the choice of servers.
func attemptOutcome(ctx context.Context, resp *link.Response, err error) spread.Outcome {
	switch {
	case err != nil && link.KindOf(err) == link.ConnectionRefused:
		return spread.ConnectionRefused
	case link.KindOf(err) == link.TooLate, link.KindOf(err) == link.Withheld, link.LackedMemory(err):
		return spread.Cancelled
	case err != nil && link.KindOf(err) == link.ConnectFailed && ctx.Err() == nil:
		return spread.ConnectFailed
	case err != nil && errors.Is(context.Cause(ctx), context.Canceled):
		return spread.Cancelled
	case err != nil && link.ResetOnNewConn(err):
		return spread.ConnectionReset
	case err != nil:
		return spread.Failed
	case resp.Declined && resp.Status == http.StatusMisdirectedRequest:
		return spread.Misdirected
	case resp.Declined:
		return spread.Declined
	case resp.Status >= http.StatusInternalServerError, proof.Promises(resp.Status):
		return spread.Failed
	}
	return spread.Answered
}

// attemptEnd is how an attempt ended: the server that it was for, why that one was chosen, and its response or
// an error.
type attemptEnd struct {
	server fleet.Server
	choice spread.Choice
	resp   *link.Response
	err    error
}

// evaluateAttempt handles the end of an attempt. It returns either the reply to the caller,
// or true if the request is to be sent again. It also sets the request's history and fallback, on
// which the decisions after further attempts depend.
func (r *Router) evaluateAttempt(ctx context.Context, req *request, e attemptEnd) (caller.Reply, bool) {
	ground := link.Ground(e.resp, e.err)
	req.history = req.history.WithEnded(ground)
	if !ground.Proves() {
		req.token = allowanceToken{} // it may be used for one run
	}
	if link.KindOf(e.err) == link.ConnectionLost {
		r.recordLoss(req, e.server.ID)
	}
	switch {
	case e.err == nil && e.resp.OutcomeLost:
		return r.replyOutcomeLost(req, e.server.ID), false
	case e.err == nil && ground.Proves():
		return r.evaluateDecline(ctx, req, e)
	case e.err == nil && r.isServerResponse(e.resp):
		return r.evaluateResponse(ctx, req, e)
	}
	return r.retryOrGiveUp(ctx, req, e, reasonAttemptFailed)
}

// evaluateDecline handles a server's statement that it did not run the request.
func (r *Router) evaluateDecline(ctx context.Context, req *request, e attemptEnd) (caller.Reply, bool) {
	switch {
	case declinedAtShortQueue(e.resp):
		r.metrics.increment("declines.shortQueue")
		e.choice.RetryAfter = 0 // no queue to wait for: the shortest delay applies
	case req.key >= 0:
		return r.giveUp(req, e.choice, reasonDeclined, r.retryAfterDeclined(req, e.server, e.resp)), false
	}
	return r.retryOrGiveUp(ctx, req, e, reasonAttemptFailed)
}

// evaluateResponse handles the response of a server that may have run the request. The caller gets it unless
// it promises the opposite. A failure may be followed by another attempt; it becomes the request's fallback then.
func (r *Router) evaluateResponse(ctx context.Context, req *request, e attemptEnd) (caller.Reply, bool) {
	r.clearSuspect(req)
	reply, ok := r.callerReply(req, e.resp)
	switch {
	case proof.Promises(e.resp.Status):
		return r.retryOrGiveUp(ctx, req, e, reasonUnproved)
	case !ok:
		return r.retryOrGiveUp(ctx, req, e, reasonAttemptFailed)
	case e.resp.Status < http.StatusInternalServerError:
		r.logLateResponse(req, e.choice, e.resp)
		return reply, false
	case r.mayRetry(ctx, req, false):
		req.fallback = &reply
		return r.retryOrGiveUp(ctx, req, e, reasonAttemptFailed)
	}
	r.logFailedAttempt(req, e, "passed on")
	return reply, false
}

// retryOrGiveUp ends a request whose attempt failed, or returns true if it is to be sent again.
func (r *Router) retryOrGiveUp(ctx context.Context, req *request, e attemptEnd, reason string) (caller.Reply, bool) {
	notRun := link.Ground(e.resp, e.err).Proves()
	if !r.mayRetry(ctx, req, notRun) {
		return r.giveUpAfter(req, e, e.choice, reason), false
	}
	req.excludeFailed(e.server, e.resp)
	if refusal, certain := r.certainRefusal(req); certain {
		return r.giveUpAfter(req, e, refusal, string(refusal.Reason)), false
	}
	if r.retryState(req, notRun).UsesBudget() && !r.tryWithdrawRetry(req) {
		return r.giveUpAfter(req, e, e.choice, reason), false
	}
	r.logFailedAttempt(req, e, "sent again")
	return caller.Reply{}, true
}

// giveUpAfter gives a request up after a failed attempt.
func (r *Router) giveUpAfter(req *request, e attemptEnd, choice spread.Choice, reason string) caller.Reply {
	r.logFailedAttempt(req, e, "given up")
	return r.giveUp(req, choice, reason, choice.RetryAfter)
}

// isServerResponse reports whether a response comes from the server itself. A response with a
// status below 300 must have the signature header to show this.
func (r *Router) isServerResponse(resp *link.Response) bool {
	return resp.Status >= http.StatusMultipleChoices || r.isSigned(resp)
}

// isPassedOn reports whether the caller may get a response to a request that may have run. Otherwise the
// caller gets a failure of the daemon's own, and may send the request again.
func (r *Router) isPassedOn(resp *link.Response) bool {
	return r.isServerResponse(resp) && caller.CanPassOn(resp.Status)
}

// mayRetry reports whether another attempt is allowed and can still succeed in time.
func (r *Router) mayRetry(ctx context.Context, req *request, notRun bool) bool {
	return ctx.Err() == nil && r.retryState(req, notRun).Retryable()
}

// retryState describes the attempts so far, the last of which failed.
func (r *Router) retryState(req *request, notRun bool) retry.State {
	return retry.State{Idempotent: req.route.Idempotent, NotRun: notRun, MaybeRan: req.history.MaybeRan(), SentAttempts: req.attempts.sent, UnsentAttempts: req.attempts.unsent,
		CrashSuspect: r.checkCrashSuspect(req), MaxAttempts: req.route.MaxAttempts, TimeLeft: time.Until(req.deadline), MinLatency: r.minRetryLatency(req)}
}

func (r *Router) logFailedAttempt(req *request, e attemptEnd, decision string) {
	status := 0
	if e.resp != nil {
		status = e.resp.Status
	}
	r.metrics.increment("attempts." + strings.ReplaceAll(decision, " ", ""))
	r.log.Info("request: attempt failed", "id", req.id, "route", req.route.Name, "key", req.key, "attempt", req.attempts.count(), "server", e.server.ID,
		"expected", e.choice.ExpectedLatency.String(), "left", time.Until(req.deadline).String(), "status", status, "err", e.err, "then", decision)
}

// minRetryLatency returns the shortest time in which another attempt can be expected to
// end: most responses take at least half of the typical time.
func (r *Router) minRetryLatency(req *request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.TypicalServiceTime(req.requirements) / 2
}

// tryWithdrawRetry takes one retry from the service's budget, and reports whether one was left that
// is not reserved for more urgent requests.
func (r *Router) tryWithdrawRetry(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetOf(req.service.Name).TryWithdrawFor(req.requirements.EffectiveRank())
}

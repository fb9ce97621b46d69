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
	case link.KindOf(err) == link.TooLate, link.KindOf(err) == link.Withheld:
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

// evaluateAttempt handles the end of an attempt. It returns either the reply to the caller,
// or true if the request is to be sent again. It also sets the request's history and fallback, on
// which the decisions after further attempts depend.
func (r *Router) evaluateAttempt(ctx context.Context, req *request, server fleet.Server, choice spread.Choice, resp *link.Response, err error) (caller.Reply, bool) {
	ground := link.Ground(resp, err)
	notRun := ground.Proves()
	req.history = req.history.WithEnded(ground)
	if !notRun {
		req.token = allowanceToken{} // it may be used for one run
	}
	if link.KindOf(err) == link.ConnectionLost {
		r.recordLoss(req, server.ID)
	}
	reason := reasonAttemptFailed
	switch {
	case err == nil && resp.OutcomeLost:
		return r.replyOutcomeLost(req, server.ID), false
	case err == nil && !notRun && r.isServerResponse(resp):
		r.clearSuspect(req)
		if reply, passedOn := r.passOn(ctx, req, server, choice, resp); passedOn {
			return reply, false
		}
		if proof.Promises(resp.Status) {
			reason = reasonUnproved
		}
	}
	shed := err == nil && declinedAtShortQueue(resp)
	if notRun && req.key >= 0 && err == nil && !shed {
		return r.giveUp(req, choice, reasonDeclined, r.retryAfterDeclined(req, server, resp)), false
	}
	if shed {
		r.metrics.increment("declines.shortQueue")
		choice.RetryAfter = 0 // no queue to wait for: the shortest delay applies
	}
	if !r.mayRetry(ctx, req, notRun) {
		r.logFailedAttempt(req, server, choice, resp, err, "given up")
		return r.giveUp(req, choice, reason, choice.RetryAfter), false
	}
	req.excludeFailed(server, resp)
	if refusal, certain := r.certainRefusal(req); certain {
		r.logFailedAttempt(req, server, choice, resp, err, "given up")
		return r.giveUp(req, refusal, string(refusal.Reason), refusal.RetryAfter), false
	}
	if r.retryState(req, notRun).UsesBudget() && !r.tryWithdrawRetry(req) {
		r.logFailedAttempt(req, server, choice, resp, err, "given up")
		return r.giveUp(req, choice, reason, choice.RetryAfter), false
	}
	r.logFailedAttempt(req, server, choice, resp, err, "sent again")
	return caller.Reply{}, true
}

// passOn returns the reply that passes a server's response on. It returns false if the response must not be
// passed on, or if a failure may be followed by another attempt; it becomes the request's fallback then.
func (r *Router) passOn(ctx context.Context, req *request, server fleet.Server, choice spread.Choice, resp *link.Response) (caller.Reply, bool) {
	reply, ok := r.callerReply(req, resp)
	switch {
	case !ok:
		return caller.Reply{}, false
	case resp.Status < http.StatusInternalServerError:
		r.logLateResponse(req, choice, resp)
	case r.mayRetry(ctx, req, false):
		req.fallback = &reply
		return caller.Reply{}, false
	default:
		r.logFailedAttempt(req, server, choice, resp, nil, "passed on")
	}
	return reply, true
}

// isServerResponse reports whether a response comes from the server itself. A response with a
// status below 300 must have the signature header to show this.
func (r *Router) isServerResponse(resp *link.Response) bool {
	return resp.Status >= http.StatusMultipleChoices || r.isSigned(resp)
}

// isPassedOn reports whether the caller may get a response to a request that may have run. Otherwise the
// caller gets a failure of the daemon's own, and may send the request again.
func (r *Router) isPassedOn(resp *link.Response) bool {
	return r.isServerResponse(resp) && !proof.Promises(resp.Status)
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

func (r *Router) logFailedAttempt(req *request, server fleet.Server, choice spread.Choice, resp *link.Response, err error, decision string) {
	status := 0
	if resp != nil {
		status = resp.Status
	}
	r.metrics.increment("attempts." + strings.ReplaceAll(decision, " ", ""))
	r.log.Info("request: attempt failed", "id", req.id, "route", req.route.Name, "key", req.key, "attempt", req.attempts.count(), "server", server.ID,
		"expected", choice.ExpectedLatency.String(), "left", time.Until(req.deadline).String(), "status", status, "err", err, "then", decision)
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

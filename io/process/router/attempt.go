package router

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"catkinstep/core/request/retry"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// sendWithRetries makes attempts until one yields the reply or no further attempt is
// allowed.
func (r *Router) sendWithRetries(ctx context.Context, req *request) caller.Response {
	for {
		if ctx.Err() != nil {
			return *r.finalReply(req.id, http.StatusBadGateway, reasonCallerLeft)
		}
		tableChanged := *r.tableUpdated.Load()
		server, choice := r.chooseServer(req)
		if choice.Reason == reasonKeyMoving && r.awaitRangeOpen(ctx, req, tableChanged) {
			continue
		}
		if !choice.Refused() || choice.RefusalUncertain() {
			choice = r.ensurePermit(ctx, req, server, choice)
		}
		if choice.Reason == reasonServerContended && req.tryOtherServer(server) {
			continue
		}
		if choice.Refused() {
			return r.giveUp(req, choice, string(choice.Reason), choice.RetryAfter)
		}
		a, err := r.send(ctx, req, server)
		r.releasePermit(req)
		if err != nil && link.NotRun(err) {
			req.unsent++
		} else {
			req.arrived++
		}
		reply, sendAgain := r.evaluateAttempt(ctx, req, server, choice, a, err)
		if !sendAgain {
			return reply
		}
		req.excludeFailed(server, a)
	}
}

// excludeFailed excludes a server from further attempts after a failed one. It keeps a
// server that declined with free slots, which may well accept the next attempt, and the
// holder of the request's key, which has no alternative.
func (req *request) excludeFailed(server fleet.Server, a *link.Response) {
	if req.key >= 0 || a != nil && declinedWithFreeSlots(a) {
		return
	}
	req.requirements.Excluded = append(req.requirements.Excluded, server.ID)
}

// declinedWithFreeSlots reports whether a server did not run a request although it reports
// free slots. It is likely to accept an immediate retry.
func declinedWithFreeSlots(a *link.Response) bool {
	return a.NotRun && a.Status != http.StatusMisdirectedRequest && a.Load != nil && a.Load.Running < a.Load.Slots
}

// chooseServer chooses the server for the next attempt.
func (r *Router) chooseServer(req *request) (fleet.Server, spread.Choice) {
	snap := r.current.Load()
	now := time.Now()
	if req.key >= 0 {
		return r.chooseHolder(snap, req, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	choice := r.spread.Choose(now, req.requirements, snap.serving[req.service.Name])
	if !choice.Refused() || choice.RefusalUncertain() {
		req.attemptStart = now
		r.spread.Begin(now, choice.Server, req.requirements)
	}
	return choice.Server, choice
}

// chooseHolder returns the holder of the request's key, the only server that may run it, or
// a refusal.
func (r *Router) chooseHolder(snap *snapshot, req *request, now time.Time) (fleet.Server, spread.Choice) {
	keyRange, ok := snap.table.RangeOf(req.service.Name, req.key)
	server, found := snap.fleet.Find(keyRange.Holder.Server)
	holderAlive := found && server.StartMillis == keyRange.Holder.StartMillis
	r.mu.Lock()
	defer r.mu.Unlock()
	if retryAfter, ok := r.admit(req, now); !ok {
		return server, spread.Choice{Server: server, Reason: reasonKeyOverloaded, RetryAfter: retryAfter}
	}
	if !ok || !keyRange.IsOpen() || !holderAlive || !snap.mayServe(server) {
		return server, r.closedRangeChoice(now, req, keyRange, holderAlive)
	}
	choice := r.spread.Evaluate(now, req.requirements, server)
	if !choice.Refused() || choice.RefusalUncertain() {
		req.attemptStart = now
		r.spread.Begin(now, server, req.requirements)
	}
	return server, choice
}

// send makes one attempt, and records the request as sent if the holder of its key
// deduplicates it.
func (r *Router) send(ctx context.Context, req *request, server fleet.Server) (*link.Response, error) {
	if !r.holderDeduplicates(req) {
		return r.exchange(ctx, req, server)
	}
	record, repeated := r.recordSent(req)
	a, err := r.exchange(ctx, req, server)
	r.recordSentOutcome(ctx, record, repeated, a, err)
	return a, err
}

// exchange sends the request to a server and waits for the answer. It stops when the caller
// leaves only if the request is idempotent: cancelling any other request would leave its
// outcome unknown without need.
func (r *Router) exchange(ctx context.Context, req *request, server fleet.Server) (*link.Response, error) {
	if !req.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	timeLeft := time.Until(req.deadline) - responseTransitTime
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(responseMargin))
	defer cancel()
	a, err := r.clientPool.requestClient(server).Do(ctx, link.Request{
		Method: req.Method, Target: req.target, Host: req.Host, Header: r.forwardedHeader(req), Body: req.Body, ID: req.id, TimeLeft: timeLeft,
	})
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread.End(now, server, req.requirements, req.attemptStart, attemptOutcome(ctx, a, err), loadReport(a))
	return a, err
}

func loadReport(a *link.Response) *spread.Report {
	if a == nil || a.Load == nil {
		return nil
	}
	return &spread.Report{Running: a.Load.Running, Waiting: a.Load.Waiting, Slots: a.Load.Slots, Bytes: a.Load.Bytes, Slowdown: a.Load.Slowdown}
}

func attemptOutcome(ctx context.Context, a *link.Response, err error) spread.Outcome {
	switch {
	case err != nil && link.KindOf(err) == link.ConnectionRefused:
		return spread.ConnectionRefused
	case err != nil && link.KindOf(err) == link.ConnectFailed && ctx.Err() == nil:
		return spread.ConnectFailed
	case err != nil && errors.Is(context.Cause(ctx), context.Canceled):
		return spread.Cancelled
	case err != nil && link.ResetOnNewConn(err):
		return spread.ConnectionReset
	case err != nil:
		return spread.Failed
	case a.NotRun:
		return spread.Shed
	case a.Status >= http.StatusInternalServerError:
		return spread.Failed
	}
	return spread.Answered
}

// evaluateAttempt handles the end of an attempt. It returns the reply to the caller, or true
// if the request is to be sent again.
func (r *Router) evaluateAttempt(ctx context.Context, req *request, server fleet.Server, choice spread.Choice, a *link.Response, err error) (caller.Response, bool) {
	notRun := err != nil && link.NotRun(err) || err == nil && a.NotRun
	if link.KindOf(err) == link.ConnectionLost {
		r.recordLoss(req, server.ID)
	}
	switch {
	case err == nil && a.OutcomeLost:
		return r.replyOutcomeLost(req, server.ID), false
	case err == nil && !a.NotRun && r.isServerAnswer(a):
		r.clearSuspicion(req)
		if a.Status < http.StatusInternalServerError || !r.mayRetry(ctx, req, false) {
			if a.Status >= http.StatusInternalServerError {
				r.logFailedAttempt(req, server, choice, a, nil, "passed on")
			} else {
				r.logLateAnswer(req, choice, a)
			}
			return r.callerReply(req, a), false
		}
		req.fallbackAnswer, req.maybeRan = a, true
	case !notRun:
		req.maybeRan = true
	}
	if notRun && req.key >= 0 && err == nil && !declinedWithFreeSlots(a) {
		return r.giveUp(req, choice, reasonNotHeldOrFull, r.retryAfterNotRun(req, server, a)), false
	}
	if r.mayRetry(ctx, req, notRun) && (!r.retryState(req, notRun).UsesBudget() || r.withdrawRetry(req)) {
		r.logFailedAttempt(req, server, choice, a, err, "sent again")
		return caller.Response{}, true
	}
	r.logFailedAttempt(req, server, choice, a, err, "given up")
	return r.giveUp(req, choice, reasonAttemptFailed, choice.RetryAfter), false
}

// isServerAnswer reports whether an answer comes from the server itself and not from something
// else in its place: a status below 300 only counts with the signature header.
func (r *Router) isServerAnswer(a *link.Response) bool {
	return a.Status >= http.StatusMultipleChoices || a.Header.Get(r.protocol.Names().Signature) != ""
}

// mayRetry reports whether another attempt is allowed and can still succeed in time.
func (r *Router) mayRetry(ctx context.Context, req *request, notRun bool) bool {
	return ctx.Err() == nil && r.retryState(req, notRun).Retryable()
}

// retryState describes the attempts so far, the last of which failed.
func (r *Router) retryState(req *request, notRun bool) retry.State {
	return retry.State{Idempotent: req.route.Idempotent, NotRun: notRun, MaybeRan: req.maybeRan, Arrived: req.arrived, Unsent: req.unsent,
		CrashSuspect: r.checkCrashSuspect(req), MaxAttempts: req.route.MaxAttempts, TimeLeft: time.Until(req.deadline), MinLatency: r.minRetryLatency(req)}
}

func (r *Router) logFailedAttempt(req *request, server fleet.Server, choice spread.Choice, a *link.Response, err error, decision string) {
	status := 0
	if a != nil {
		status = a.Status
	}
	r.meters.increment("attempts." + strings.ReplaceAll(decision, " ", ""))
	r.log.Info("request: attempt failed", "id", req.id, "route", req.route.Name, "key", req.key, "attempt", req.attempts(), "server", server.ID,
		"expected", choice.ExpectedLatency.String(), "left", time.Until(req.deadline).String(), "status", status, "err", err, "then", decision)
}

// minRetryLatency returns the shortest time in which another attempt can be expected to
// end: most answers take at least half of the typical time.
func (r *Router) minRetryLatency(req *request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spread.TypicalServiceTime(req.requirements) / 2
}

// withdrawRetry takes one retry from the service's budget, and reports whether one was left.
func (r *Router) withdrawRetry(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets[req.service.Name].TryWithdraw()
}

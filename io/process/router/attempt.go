package router

import (
	"context"
	"net/http"
	"time"

	"catkinstep/core/request/proof"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// sendWithRetries makes attempts until one yields the reply or no further attempt is
// allowed.
func (r *Router) sendWithRetries(ctx context.Context, req *request) caller.Reply {
	for {
		if ctx.Err() != nil {
			return *r.finalReply(req.id, http.StatusBadGateway, reasonCallerDisconnected, proof.NotRun{})
		}
		if rejection := r.updateWorkspace(r.current.Load(), req); rejection != nil {
			if req.history.MaybeRan() {
				return r.giveUp(req, spread.Choice{}, reasonUnknownAPIKey, 0)
			}
			return *rejection
		}
		r.boundByStop(req)
		if r.cutOff.Load() && !req.carried {
			return r.sendByOthers(ctx, req)
		}
		tableUpdateCh := *r.tableUpdateCh.Load()
		req.setLastResort()
		server, choice := r.chooseServer(req)
		if choice.Reason == reasonKeyMoving && r.awaitRangeOpen(ctx, req, tableUpdateCh) {
			continue
		}
		if !choice.Refused() || choice.RefusalUncertain() { // a permit may override an uncertain refusal
			choice = r.ensurePermit(ctx, req, server, choice)
		}
		choice = r.ensureToken(ctx, req, server, choice)
		choice = r.ensureAllowance(ctx, req, server, choice)
		if choice.Reason == reasonServerContended && req.tryOtherServer(server) {
			continue
		}
		if choice.Refused() {
			return r.giveUp(req, choice, string(choice.Reason), choice.RetryAfter)
		}
		req.history = req.history.WithBegun()
		resp, err := r.send(ctx, req, server)
		r.releasePermit(req)
		r.observeResponse(req, server, resp)
		if err != nil && link.NotRun(err) {
			req.attempts.unsent++
		} else {
			req.attempts.sent++
		}
		reply, sendAgain := r.evaluateAttempt(ctx, req, attemptEnd{server: server, choice: choice, resp: resp, err: err})
		if !sendAgain {
			return reply
		}
	}
}

// declinedAtShortQueue reports whether a server declined a request although it may run the request
// and reports a short queue. It is likely to accept an immediate retry.
func declinedAtShortQueue(resp *link.Response) bool {
	return resp != nil && resp.Declined && resp.Status != http.StatusMisdirectedRequest && resp.Load != nil && loadReport(resp).ShortQueue()
}

// chooseServer chooses the server for the next attempt. The attempt begins unless the choice is
// a refusal. It also begins if the refusal is uncertain, since a permit may override it;
// ensurePermit ends the attempt if none is granted.
func (r *Router) chooseServer(req *request) (fleet.Server, spread.Choice) {
	snap := r.current.Load()
	now := time.Now()
	if req.key >= 0 {
		return r.chooseHolder(snap, req, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	choice := r.balancer.Choose(now, req.requirements, snap.serving[req.service.Name])
	if !choice.Refused() || choice.RefusalUncertain() {
		req.attemptStart = now
		r.balancer.Begin(now, choice.Server, req.requirements)
	}
	return choice.Server, choice
}

// chooseHolder returns the holder of the request's key, the only server that may run it, and
// whether the request may be sent there now or is refused. The attempt begins as in
// chooseServer.
func (r *Router) chooseHolder(snap *snapshot, req *request, now time.Time) (fleet.Server, spread.Choice) {
	h := snap.holderFor(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if retryAfter, ok := r.admit(req, now); !ok {
		return h.server, spread.Choice{Server: h.server, Reason: reasonKeyOverloaded, RetryAfter: retryAfter}
	}
	if !h.isUsable || r.notices.Status(now, h.server).Leaving {
		return h.server, r.closedRangeChoice(now, req, h.keyRange, h.isAlive)
	}
	choice := r.balancer.Evaluate(now, req.requirements, h.server)
	if !choice.Refused() || choice.RefusalUncertain() {
		req.attemptStart = now
		r.balancer.Begin(now, h.server, req.requirements)
	}
	return h.server, choice
}

// send makes one attempt. If the holder of the request's key deduplicates it, send also
// records that it was sent and how the attempt ended.
func (r *Router) send(ctx context.Context, req *request, server fleet.Server) (*link.Response, error) {
	if !r.holderDeduplicates(req) {
		return r.exchange(ctx, req, server)
	}
	record, repeated := r.recordSent(req)
	resp, err := r.exchange(ctx, req, server)
	r.recordSentOutcome(record, repeated, r.sentOutcomeOf(ctx, resp, err))
	return resp, err
}

// exchange sends the request to a server and waits for the response. If the caller disconnects,
// it cancels only an idempotent request: cancelling any other one would leave its outcome
// unknown without need.
func (r *Router) exchange(ctx context.Context, req *request, server fleet.Server) (*link.Response, error) {
	if !req.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	r.observeSend(req)
	timeLeft := time.Until(req.deadline) - responseTransitTime
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(responseMargin))
	defer cancel()
	serverReq := link.Request{Method: req.Method, Target: req.target, Host: req.Host, Header: r.forwardedHeader(req), Body: req.Body, ID: req.id, TimeLeft: timeLeft, DecidedAt: req.attemptStart, SendBefore: r.sendBefore(req)}
	resp, err := r.clientPool.requestClient(server).Do(ctx, serverReq)
	r.countRemoteRequest(server, "requests."+req.service.Name, serverReq, resp)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.End(now, server, req.requirements, req.attemptStart, attemptOutcome(ctx, resp, err), loadReport(resp))
	r.observeRateLimit(now, server, resp)
	return resp, err
}

// loadReport returns the load that a server reported with its response, or nil.
func loadReport(resp *link.Response) *spread.Report {
	if resp == nil || resp.Load == nil {
		return nil
	}
	return &spread.Report{Running: resp.Load.Running, Waiting: resp.Load.Waiting, Slots: resp.Load.Slots, Bytes: resp.Load.Bytes, Slowdown: resp.Load.Slowdown}
}

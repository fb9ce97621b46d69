package router

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"catkinstep/core/process/quota"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/space"
	"catkinstep/io/connection/caller"
)

const (
	// reasonOverAllowance means that the workspace sends more requests than its allowance.
	reasonOverAllowance = "overAllowance"
	// reasonAllowanceUnknown means that no pool says whether the request is within the allowance.
	reasonAllowanceUnknown = "allowanceUnknown"
	// poolTimeout is how long a request waits for a pool: as long as a token that it gets would last.
	// poolRetryDelay is how long requests are refused at once if there is no pool to ask.
	poolTimeout    = 110 * time.Millisecond
	poolRetryDelay = 100 * time.Millisecond
	// maxShareWait is the share of the time until its deadline that a request waits for this daemon's share
	// of the allowances after a start, and lendTime is how long it then takes to lend it.
	maxShareWait = 0.3
	lendTime     = 2 * tickInterval
	// relaySilence is how long a relay that did not answer is not asked for tokens.
	relaySilence = time.Second
)

// tokenRelay is the daemon of the data centre that asks the pools of others for tokens.
type tokenRelay struct {
	address     string
	silentUntil atomic.Int64 // in nanoseconds; see relaySilence
}

// allowanceToken is the token of a request for its next attempt.
type allowanceToken struct {
	quota.Token
	workspace space.Workspace
	held      bool
}

// admitToAllowance decides whether a request is within the allowance of its workspace. If not, it
// returns the reply, and nothing else is spent on the request. Another daemon that sends the request to
// a server decides on it itself.
func (r *Router) admitToAllowance(ctx context.Context, req *request) *caller.Reply {
	if r.cutOff.Load() || !req.identity.workspace.Allowance.Limited() {
		return nil
	}
	r.countDemand(req)
	reason, retryAfter, ok := r.takeAllowance(ctx, req)
	if ok {
		return nil
	}
	reply := r.refuseRequest(req, reason, retryAfter, "workspace", req.identity.workspace.Name)
	return &reply
}

// countDemand counts a request for the demand of its workspace at this daemon.
func (r *Router) countDemand(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workspaceLimiter.Ask(r.now(), req.identity.workspace)
}

// ensureAllowance makes sure that the request has a token for an attempt that is about to be sent: a token
// must be used soon, and the request may have waited. It returns the choice, as a refusal if there is no
// token; the attempt has ended then.
func (r *Router) ensureAllowance(ctx context.Context, req *request, server fleet.Server, choice spread.Choice) spread.Choice {
	w := req.identity.workspace
	if choice.Refused() || !w.Allowance.Limited() {
		return choice
	}
	if req.token.held && req.token.workspace.Name == w.Name && req.token.Valid(r.now()) {
		return choice
	}
	if req.carried && req.attempts.count() == 0 {
		r.countDemand(req)
	}
	req.waited = !req.carried && req.attempts.count() == 0
	reason, retryAfter, ok := r.takeAllowance(ctx, req)
	if ok {
		return choice
	}
	choice.Reason, choice.RetryAfter = spread.Reason(reason), retryAfter
	r.endUnsentAttempt(req, server, spread.Cancelled)
	r.releasePermit(req)
	return choice
}

// takeAllowance takes a token for the request. It returns why there is none, and the time after which
// callers should retry. While this daemon has just started, requests wait for its share as they do for the
// lists from the store, if that is soon.
func (r *Router) takeAllowance(ctx context.Context, req *request) (reason string, retryAfter time.Duration, ok bool) {
	reason, retryAfter, ok = r.tryTakeAllowance(ctx, req)
	if ok || reason != reasonAllowanceUnknown || !r.awaitShare(ctx, req) {
		return reason, retryAfter, ok
	}
	return r.tryTakeAllowance(ctx, req)
}

// awaitShare waits until this daemon may lend its share for the first time. It returns false if that takes too
// long for the request.
func (r *Router) awaitShare(ctx context.Context, req *request) bool {
	r.mu.Lock()
	wait := r.lender.FreeIn(r.now())
	r.mu.Unlock()
	if wait == 0 || wait > time.Duration(maxShareWait*float64(time.Until(req.deadline))) {
		return false
	}
	sleep(ctx, wait+lendTime)
	return ctx.Err() == nil
}

// tryTakeAllowance is takeAllowance without waiting.
func (r *Router) tryTakeAllowance(ctx context.Context, req *request) (reason string, retryAfter time.Duration, ok bool) {
	w, now := req.identity.workspace, r.now()
	r.mu.Lock()
	r.giveBackToken(now, req)
	token, verdict, retryAfter := r.workspaceLimiter.Take(now, w)
	pools := r.lender.Pools(now)
	r.mu.Unlock()
	switch verdict {
	case quota.Admitted:
		r.metrics.increment("allowance.held")
		req.token = allowanceToken{Token: token, workspace: w, held: true}
		return "", 0, true
	case quota.Refused:
		return reasonOverAllowance, retryAfter, false
	case quota.Unknown:
		return reasonAllowanceUnknown, retryAfter, false
	case quota.AskPool:
	}
	return r.askPools(ctx, req, pools)
}

// askPools asks for a token: the relay of the data centre, which asks for many daemons, or the pools
// themselves if there is none that answers.
func (r *Router) askPools(ctx context.Context, req *request, pools []string) (reason string, retryAfter time.Duration, ok bool) {
	w, askedAt := req.identity.workspace, r.now()
	result := r.askRelay(ctx, w, pools)
	if !result.answered {
		askedAt = r.now()
		result = r.askEach(ctx, pools, false, w.Name, 1)
	}
	token := quota.NewToken(askedAt)
	if result.granted > 0 && token.Valid(r.now()) {
		r.metrics.increment("allowance.taken")
		req.token = allowanceToken{Token: token, workspace: w, held: true}
		return "", 0, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !result.answered || result.granted > 0 {
		r.metrics.increment("allowance.unanswered")
		return reasonAllowanceUnknown, r.workspaceLimiter.Unanswered(r.now(), w, retryDelayOf(pools), r.lender.FreeIn(r.now())), false
	}
	r.metrics.increment("allowance.denied")
	return reasonOverAllowance, r.workspaceLimiter.Denied(r.now(), w, result.wait), false
}

// retryDelayOf is how long requests are refused at once after no pool answered: not at all if there is one,
// which may answer the next.
func retryDelayOf(pools []string) time.Duration {
	if len(pools) > 0 {
		return 0
	}
	return poolRetryDelay
}

// askRelay asks the relay for a token, if there is one that answers.
func (r *Router) askRelay(ctx context.Context, w space.Workspace, pools []string) takeResult {
	relay := r.tokenRelay.Load()
	if relay == nil || relay.address == "" || slices.Contains(pools, relay.address) || r.now().Before(time.Unix(0, relay.silentUntil.Load())) {
		return takeResult{}
	}
	result := r.callTake(ctx, takeTarget{address: relay.address}, w.Name, 1)
	if !result.answered {
		relay.silentUntil.Store(r.now().Add(relaySilence).UnixNano())
	}
	return result
}

// askEach asks pools for tokens, one after the other until there are as many.
func (r *Router) askEach(ctx context.Context, pools []string, relayed bool, workspace string, count int) takeResult {
	var out takeResult
	for _, address := range pools {
		result := r.callTake(ctx, takeTarget{address: address, relayed: relayed}, workspace, count-out.granted)
		if !result.answered {
			continue
		}
		out = takeResult{granted: out.granted + result.granted, wait: result.wait, answered: true}
		if out.granted == count {
			break
		}
	}
	return out
}

// connectTime is how much longer than its token lasts it may take until a request is sent, on a connection
// that has to be opened.
const connectTime = 100 * time.Millisecond

// sendBefore is the time until which the request may be sent with its token; zero if it needs none.
func (r *Router) sendBefore(req *request) time.Time {
	if !req.token.held || req.token.Until.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(req.token.Until.Sub(r.now()) + connectTime) // the token has the control loop's clock
}

// returnToken gives back a token that the request did not use.
func (r *Router) returnToken(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.giveBackToken(r.now(), req)
}

// giveBackToken is returnToken with r.mu held.
func (r *Router) giveBackToken(now time.Time, req *request) {
	if req.token.held {
		r.workspaceLimiter.Return(now, req.token.workspace, req.token.Token)
		req.token = allowanceToken{}
	}
}

// observeSend counts the attempts that are sent for workspaces with an allowance.
func (r *Router) observeSend(req *request) {
	if !req.identity.workspace.Allowance.Limited() {
		return
	}
	a := quota.Attempt{Further: req.history.Unproved() > 0, Waited: req.waited, ForOthers: req.carried}
	r.mu.Lock()
	r.workspaceLimiter.Sent(req.identity.workspace, a)
	r.mu.Unlock()
	r.metrics.increment("allowance.sent")
	if a.ForOthers {
		r.metrics.increment("allowance.sentForOthers")
	}
	if a.Further {
		r.metrics.increment("allowance.furtherAttempts")
	}
	if a.Waited {
		r.metrics.increment("allowance.sentLate")
	}
}

// refusalStatus is the status of a refusal for a reason: beyond its allowance, a workspace is owed nothing.
func refusalStatus(reason string) int {
	if reason == reasonOverAllowance {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// namedWorkspaces is how many workspaces metrics name.
const namedWorkspaces = 20

// workspaceTotals returns the requests of the busiest workspaces, and of all others, for metrics.
func (r *Router) workspaceTotals() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	top, rest := r.workspaceLimiter.Totals(namedWorkspaces)
	return map[string]any{"top": top, "rest": rest}
}

// pruneWorkspaces forgets the workspaces that a new configuration no longer has.
func (r *Router) pruneWorkspaces() {
	cfg := r.current.Load().config
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workspaceLimiter.Prune(func(name string) bool {
		_, ok := cfg.WorkspaceNamed(name)
		return ok
	})
}

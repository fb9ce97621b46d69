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

// attempt sends the request until an answer counts or nothing more may be done.
func (r *Router) attempt(ctx context.Context, o *order) caller.Reply {
	for {
		if ctx.Err() != nil {
			return *r.plain(o.id, http.StatusBadGateway, reasonLeft)
		}
		changed := *r.tableUpdated.Load()
		v, c := r.choose(o)
		if c.Reason == moving && r.awaitOpen(ctx, o, changed) {
			continue
		}
		if !c.Refused() || c.RefusalUncertain() {
			c = r.askPermit(ctx, o, v, c)
		}
		if c.Reason == contendedNow && o.tryOther(v) {
			continue
		}
		if c.Refused() {
			return r.giveUp(o, c, string(c.Reason), c.RetryAfter)
		}
		a, err := r.send(ctx, o, v)
		r.endPermit(o)
		if err != nil && link.NotRun(err) {
			o.unsent++
		} else {
			o.arrived++
		}
		reply, again := r.judge(ctx, o, v, c, a, err)
		if !again {
			return reply
		}
		o.failedAt(v, a)
	}
}

// failedAt leaves a server out of the next attempts, unless it may well answer the
// next one: it declined with slots free, or it is the only one that holds the key.
func (o *order) failedAt(v fleet.Server, a *link.Answer) {
	if o.key >= 0 || a != nil && declined(a) {
		return
	}
	o.need.Excluded = append(o.need.Excluded, v.ID)
}

// declined tells whether a server did not run a request although it says that it
// has slots free: it may well run it if asked again at once.
func declined(a *link.Answer) bool {
	return a.NotRun && a.Status != http.StatusMisdirectedRequest && a.Load != nil && a.Load.Running < a.Load.Slots
}

// choose finds the server for the next attempt.
func (r *Router) choose(o *order) (fleet.Server, spread.Choice) {
	s := r.current.Load()
	now := time.Now()
	if o.key >= 0 {
		return r.owner(s, o, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.spread.Choose(now, o.need, s.serving[o.service.Name])
	if !c.Refused() || c.RefusalUncertain() {
		o.began = now
		r.spread.Begin(now, c.Server, o.need)
	}
	return c.Server, c
}

// owner finds the only server that may run a request with a key.
func (r *Router) owner(s *snap, o *order, now time.Time) (fleet.Server, spread.Choice) {
	g, ok := s.table.RangeOf(o.service.Name, o.key)
	v, found := s.fleet.Find(g.Holder.Server)
	lives := found && v.StartMillis == g.Holder.StartMillis
	r.mu.Lock()
	defer r.mu.Unlock()
	if back, ok := r.admitted(o, now); !ok {
		return v, spread.Choice{Server: v, Reason: overloaded, RetryAfter: back}
	}
	if !ok || !g.IsOpen() || !lives || !s.mayServe(v) {
		return v, r.closedChoice(now, o, g, lives)
	}
	c := r.spread.Evaluate(now, o.need, v)
	if !c.Refused() || c.RefusalUncertain() {
		o.began = now
		r.spread.Begin(now, v, o.need)
	}
	return v, c
}

// send makes one attempt. An idempotent request ends with its caller; another
// goes on, since breaking it off would leave its outcome unknown for nothing.
func (r *Router) send(ctx context.Context, o *order, v fleet.Server) (*link.Answer, error) {
	if !r.keepsIDs(o) {
		return r.exchange(ctx, o, v)
	}
	first, again := r.noteSent(o)
	a, err := r.exchange(ctx, o, v)
	r.noteEnd(ctx, first, again, a, err)
	return a, err
}

func (r *Router) exchange(ctx context.Context, o *order, v fleet.Server) (*link.Answer, error) {
	if !o.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	left := time.Until(o.deadline) - responseTransitTime
	ctx, cancel := context.WithDeadline(ctx, o.deadline.Add(responseMargin))
	defer cancel()
	a, err := r.clientPool.requestClient(v).Do(ctx, link.Request{
		Method: o.Method, Target: o.target, Host: o.Host, Header: r.forwarded(o), Body: o.Body, ID: o.id, Left: left,
	})
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread.End(now, v, o.need, o.began, outcome(ctx, a, err), report(a))
	return a, err
}

func report(a *link.Answer) *spread.Report {
	if a == nil || a.Load == nil {
		return nil
	}
	return &spread.Report{Running: a.Load.Running, Waiting: a.Load.Waiting, Slots: a.Load.Slots, Bytes: a.Load.Bytes, Slowdown: a.Load.Pace}
}

func outcome(ctx context.Context, a *link.Answer, err error) spread.Outcome {
	switch {
	case err != nil && link.KindOf(err) == link.Refused:
		return spread.ConnectionRefused
	case err != nil && link.KindOf(err) == link.NoWay && ctx.Err() == nil:
		return spread.ConnectFailed
	case err != nil && errors.Is(context.Cause(ctx), context.Canceled):
		return spread.Cancelled
	case err != nil && link.ResetNew(err):
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

// judge decides what an attempt's end means for the caller.
func (r *Router) judge(ctx context.Context, o *order, v fleet.Server, c spread.Choice, a *link.Answer, err error) (caller.Reply, bool) {
	notRun := err != nil && link.NotRun(err) || err == nil && a.NotRun
	if link.KindOf(err) == link.Unsure {
		r.lost(o, v.ID)
	}
	switch {
	case err == nil && a.Lost:
		return r.outcomeLost(o, v.ID), false
	case err == nil && !a.NotRun && r.isAnswer(a):
		r.answered(o)
		if a.Status < http.StatusInternalServerError || !r.mayRepeat(ctx, o, false) {
			if a.Status >= http.StatusInternalServerError {
				r.logAttempt(o, v, c, a, nil, "passed on")
			} else {
				r.noteLate(o, c, a)
			}
			return r.answer(o, a), false
		}
		o.held, o.maybeRan = a, true
	case !notRun:
		o.maybeRan = true
	}
	if notRun && o.key >= 0 && err == nil && !declined(a) {
		return r.giveUp(o, c, reasonNotHeld, r.comeBack(o, v, a)), false
	}
	if r.mayRepeat(ctx, o, notRun) && (!r.tried(o, notRun).UsesBudget() || r.spend(o)) {
		r.logAttempt(o, v, c, a, err, "sent again")
		return caller.Reply{}, true
	}
	r.logAttempt(o, v, c, a, err, "given up")
	return r.giveUp(o, c, reasonFailed, c.RetryAfter), false
}

// isAnswer tells a server's own answer from what something else wrote.
func (r *Router) isAnswer(a *link.Answer) bool {
	return a.Status >= http.StatusMultipleChoices || a.Header.Get(r.protocol.Names().Signature) != ""
}

// mayRepeat tells whether another attempt is allowed and can still help.
func (r *Router) mayRepeat(ctx context.Context, o *order, notRun bool) bool {
	return ctx.Err() == nil && r.tried(o, notRun).Retryable()
}

// tried is what is known of the attempts so far, the last of which failed.
func (r *Router) tried(o *order, notRun bool) retry.State {
	return retry.State{Idempotent: o.route.Idempotent, NotRun: notRun, MaybeRan: o.maybeRan, Arrived: o.arrived, Unsent: o.unsent,
		CrashSuspect: r.crashes(o), MaxAttempts: o.route.MaxAttempts, TimeLeft: time.Until(o.deadline), MinLatency: r.leastWorth(o)}
}

func (r *Router) logAttempt(o *order, v fleet.Server, c spread.Choice, a *link.Answer, err error, then string) {
	status := 0
	if a != nil {
		status = a.Status
	}
	r.meters.add("attempts." + strings.ReplaceAll(then, " ", ""))
	r.log.Info("request: attempt failed", "id", o.id, "route", o.route.Name, "key", o.key, "attempt", o.attempts(), "server", v.ID,
		"expected", c.ExpectedTime.String(), "left", time.Until(o.deadline).String(), "status", status, "err", err, "then", then)
}

// leastWorth is the time below which another attempt cannot be expected to end:
// most answers take at least half of the usual time.
func (r *Router) leastWorth(o *order) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spread.TypicalTime(o.need) / 2
}

// spend takes one repeat out of the shared budget.
func (r *Router) spend(o *order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets[o.service.Name].TryWithdraw()
}

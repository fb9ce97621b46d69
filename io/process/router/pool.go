package router

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/quota"
	"catkinstep/core/version/object"
	"catkinstep/core/version/space"
)

const (
	// renewTimeout bounds a renewal to the pool of another daemon.
	renewTimeout = 200 * time.Millisecond
	// loanPollInterval is the interval at which a shutdown checks whether other daemons have their shares
	// of the allowances back.
	loanPollInterval = 20 * time.Millisecond
	// maxLoanWait bounds that wait.
	maxLoanWait = 2 * time.Second
)

// poolCandidates are the addresses of the daemons whose pools may be used: the leader, the daemon that
// will probably lead next, the first relay of the data centre, and this daemon itself.
func (c *control) poolCandidates(now time.Time) []string {
	leader := c.r.current.Load().table.Leader.Daemon
	address := c.members.AddressOf(leader)
	if c.keeper != nil {
		address = c.r.self.Address
	}
	var out []string
	for _, candidate := range []string{address, c.members.Successor(now, leader), c.members.LocalRelay(now), c.r.self.Address} {
		if candidate != "" && !slices.Contains(out, candidate) {
			out = append(out, candidate)
		}
	}
	return out
}

// renewAllowances lends this daemon's share of the allowances, and renews its leases, where that is due.
func (c *control) renewAllowances(now time.Time) {
	if !c.r.current.Load().config.HasAllowances() {
		return
	}
	candidates, daemons := c.poolCandidates(now), c.members.ShareCount(now)
	c.updateTokenRelay(now)
	complete := !c.caches[object.Daemons].CurrentAt().IsZero()
	c.r.mu.Lock()
	c.r.pool.SetDaemons(now, daemons, complete)
	c.r.lender.SetDaemons(daemons, complete)
	c.r.lender.SetPools(candidates)
	var renewals []quota.Renewal
	due, silent := c.r.lender.Due(now), map[quota.Target]bool{}
	for _, target := range due {
		silent[target] = c.r.lender.IsSilent(target)
		renewals = append(renewals, c.r.lender.Begin(now, target).WithDemands(c.r.workspaceLimiter.Demands(now)))
	}
	share := c.r.pool.Share(now)
	c.r.mu.Unlock()
	for i, target := range due {
		if target.Address == c.r.self.Address {
			c.r.renewAt(target, now, renewals[i], false)
			continue
		}
		go c.r.renewAt(target, now, renewals[i], silent[target])
	}
	c.logShare(share, daemons)
	if last := c.lastRuns.usageReport; c.due(now, &c.lastRuns.usageReport, usageReportInterval) {
		c.logUsages(now.Sub(last).Seconds())
	}
}

const (
	// usageReportInterval is the time between two reports on allowances, and maxReportedUsages is how many
	// workspaces each part of one names.
	usageReportInterval = time.Second
	maxReportedUsages   = 20
)

// logUsages logs what this daemon's pool handed out of allowances that are used or asked for beyond what there is, and
// what this daemon sent of those of which it refused requests. The sums over all pools, and over all hosts, say what
// became of an allowance in a window of time.
func (c *control) logUsages(seconds float64) {
	c.r.mu.Lock()
	usages, sends := c.r.pool.TakeReport(maxReportedUsages, seconds), c.r.workspaceLimiter.TakeSends(maxReportedUsages)
	c.r.mu.Unlock()
	for _, u := range usages {
		c.r.log.Info("allowances: handed out", "workspace", u.Workspace, "perSecond", u.Allowance.Rate, "burst", u.Allowance.Burst, "taken", u.Taken, "denied", u.Denied,
			"leasedPerSecond", u.Leased, "share", u.Share, "left", u.Left)
	}
	for _, s := range sends {
		c.r.log.Info("allowances: sent", "workspace", s.Workspace, "perSecond", s.Allowance.Rate, "burst", s.Allowance.Burst, "sent", s.Sent, "refused", s.Refused,
			"further", s.Further, "waited", s.Waited, "forOthers", s.ForOthers)
	}
}

// updateTokenRelay chooses the daemon that asks for tokens of others.
func (c *control) updateTokenRelay(now time.Time) {
	address := c.members.LocalRelay(now)
	if address == c.r.self.Address {
		address = ""
	}
	if relay := c.r.tokenRelay.Load(); relay == nil || relay.address != address {
		c.r.tokenRelay.Store(&tokenRelay{address: address})
	}
}

// shareLogStep is how much the share of the allowances that is lent to this daemon's pool must change to be
// logged again.
const shareLogStep = 0.1

// logShare logs what is lent to this daemon's pool if that has changed by more than a little.
func (c *control) logShare(share float64, daemons int) {
	if (share == 0) == (c.loggedShare == 0) && math.Abs(share-c.loggedShare) < shareLogStep {
		return
	}
	c.r.log.Info("allowances: this pool has another share", "share", share, "before", c.loggedShare, "daemons", daemons)
	c.loggedShare = share
}

// renewAt sends a renewal to a pool, and applies the grant.
func (r *Router) renewAt(target quota.Target, sentAt time.Time, renewal quota.Renewal, silent bool) {
	m, err := r.callPool(target.Address, renewal, silent)
	r.mu.Lock()
	defer r.mu.Unlock()
	lender := r.lender.Of(target.Half)
	now, before := r.now(), lender.LentTo()
	if err != nil || m == nil || !r.lender.Answered(now, target, grantFromWire(m)) {
		r.lender.Failed(target)
		r.metrics.increment("allowance.renewalsFailed")
		return
	}
	r.workspaceLimiter.SetLeases(now, sentAt, grantFromWire(m))
	if renewal.Loan > 0 && before != r.loggedLoans[target.Half] {
		r.loggedLoans[target.Half] = before
		r.log.Info("allowances: share is lent", "pool", target.Address, "half", target.Half, "until", lender.LentUntil().Sub(now).String(), "leases", len(m.Leases))
	}
}

// callPool sends a renewal to the pool of a daemon, which may be this one. silent is set if it did not answer
// the last one: then its connection may have to be dropped.
func (r *Router) callPool(address string, renewal quota.Renewal, silent bool) (*wire.Grant, error) {
	m := renewalToWire(renewal)
	if address == r.self.Address {
		return r.handleRenewal(m), nil
	}
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), renewTimeout)
	defer cancel()
	send := r.callShared
	if silent {
		send = r.call
	}
	reply, err := send(ctx, address, &wire.Call{Kind: &wire.Call_Renewal{Renewal: m}})
	if err != nil {
		return nil, err
	}
	return reply.Grant, nil
}

// handleRenewal answers a renewal, from this daemon or another one. It returns nil if a later one has
// overtaken it.
func (r *Router) handleRenewal(m *wire.Renewal) *wire.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	grant, ok := r.pool.Renew(r.now(), renewalFromWire(m), r.current.Load().config.WorkspaceNamed)
	if !ok {
		return nil
	}
	return grantToWire(grant)
}

// handleTake answers a daemon that asks for tokens.
func (r *Router) handleTake(ctx context.Context, m *wire.Take) *wire.TakeReply {
	reply := &wire.TakeReply{Answers: make([]*wire.TakeAnswer, len(m.Asks))}
	var wg sync.WaitGroup
	for i, ask := range m.Asks {
		result := r.takeFromPool(ask.Workspace, int(ask.Count))
		if !m.Relayed && result.granted < int(ask.Count) {
			wg.Go(func() { reply.Answers[i] = answerOf(r.takeForOther(ctx, ask, result)) })
			continue
		}
		reply.Answers[i] = answerOf(result)
	}
	wg.Wait()
	return reply
}

func answerOf(t takeResult) *wire.TakeAnswer {
	return &wire.TakeAnswer{Granted: uint32(t.granted), BackMillis: millisOf(t.wait), Unknown: !t.answered}
}

// takeForOther takes the tokens that this daemon's pool did not have from its own leases, or asks the pools
// that it uses: in this way the requests of a data centre share its leases.
func (r *Router) takeForOther(ctx context.Context, ask *wire.TakeAsk, own takeResult) takeResult {
	w, ok := r.current.Load().config.WorkspaceNamed(ask.Workspace)
	if !ok || !w.Allowance.Limited() {
		return own
	}
	result, verdict, pools := r.takeLeased(w, int(ask.Count), own)
	if verdict != quota.AskPool {
		return result
	}
	pools = slices.DeleteFunc(pools, func(address string) bool { return address == r.self.Address })
	asked := r.askEach(ctx, pools, true, w.Name, int(ask.Count)-result.granted)
	if !asked.answered {
		return result
	}
	result = takeResult{granted: result.granted + asked.granted, wait: asked.wait, answered: true}
	if result.granted < int(ask.Count) {
		r.mu.Lock()
		r.workspaceLimiter.DeniedFor(r.now(), w, asked.wait)
		r.mu.Unlock()
	}
	return result
}

// takeLeased takes tokens for another daemon from this one's leases, in addition to those that it has. It returns
// the verdict on the first that there is none for, and the pools to ask.
func (r *Router) takeLeased(w space.Workspace, count int, result takeResult) (takeResult, quota.Verdict, []string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for range count - result.granted {
		r.workspaceLimiter.AskFor(now, w)
	}
	for result.granted < count {
		_, verdict, wait := r.workspaceLimiter.TakeFor(now, w)
		if verdict != quota.Admitted {
			return takeResult{granted: result.granted, wait: max(wait, result.wait), answered: result.answered || verdict == quota.Refused}, verdict, r.lender.Pools(now)
		}
		result.granted++
		result.answered = true
	}
	return result, quota.Admitted, nil
}

// takeFromPool takes tokens from this daemon's pool, if anything is lent to it.
func (r *Router) takeFromPool(workspace string, count int) takeResult {
	w, ok := r.current.Load().config.WorkspaceNamed(workspace)
	if !ok || !w.Allowance.Limited() {
		// The configurations differ. The daemon that asks knows of an allowance.
		return takeResult{wait: poolRetryDelay, answered: true}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.pool.Share(now) == 0 {
		return takeResult{}
	}
	out := takeResult{answered: true}
	for out.granted < count {
		wait, granted := r.pool.Take(now, w)
		if !granted {
			out.wait = wait
			break
		}
		out.granted++
	}
	return out
}

// awaitLoans waits until other daemons no longer depend on this one's pool, or the context ends.
func (r *Router) awaitLoans(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxLoanWait)
	defer cancel()
	for ctx.Err() == nil {
		r.mu.Lock()
		inUse := r.pool.HasLoansOfOthers(r.now(), r.self.Name)
		r.mu.Unlock()
		if !inUse {
			return
		}
		sleep(ctx, loanPollInterval)
	}
}

package router

import (
	"net/http"
	"slices"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/quota"
	"catkinstep/io/connection/caller"
)

const (
	// reasonOverAllowance means that the workspace sends more requests than its allowance.
	reasonOverAllowance = "overAllowance"
	// leaderContactTimeout is how long after the last contact with the leader, not counting a
	// round of gossip, a daemon keeps to its steady rates: relays hear the leader every half
	// second, and one message may be lost. Without a leader nobody limits a sudden load.
	leaderContactTimeout = time.Second
	// liveCountTTL is how long a relay's count of live daemons is used.
	liveCountTTL = 2 * time.Second
	// reportedShare is the share of the even part of an allowance below which a relay does not
	// report the requests of a workspace.
	reportedShare = 0.25
)

// liveCount is a relay's count of the live daemons of its data centre.
type liveCount struct {
	daemons int
	at      time.Time
}

// allowances is the control loop's part in keeping workspaces within their allowances.
type allowances struct {
	// controller is only used while this daemon leads.
	controller *quota.Controller
	// liveCounts are by data centre.
	liveCounts map[string]liveCount
	// relayed are the counts of other daemons of the data centre since the last report.
	relayed []quota.Count
}

func newAllowances(now time.Time) allowances {
	return allowances{controller: quota.NewController(now), liveCounts: map[string]liveCount{}}
}

// admitToAllowance decides whether a request is within the allowance of its workspace. If not,
// it returns the reply, and nothing else is spent on the request.
func (r *Router) admitToAllowance(req *request) *caller.Reply {
	now := time.Now()
	r.mu.Lock()
	retryAfter, ok := r.workspaceLimiter.Admit(now, req.identity.workspace)
	r.mu.Unlock()
	if ok {
		req.admittedAt = now
		return nil
	}
	reply := r.refuse(caller.Refusal{ID: req.id, Status: http.StatusTooManyRequests, Reason: reasonOverAllowance, RetryAfter: retryAfter, MaybeRan: r.wasSentBefore(req)},
		req.route.Name, "workspace", req.identity.workspace.Name)
	return &reply
}

// settleAllowance corrects what was taken from the allowance by the number of attempts that may
// have run: none if the request was refused, more if it was sent again.
func (r *Router) settleAllowance(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if req.attempts.ran == 0 {
		r.workspaceLimiter.Return(now, req.identity.workspace)
	}
	for range req.attempts.ran - 1 {
		r.workspaceLimiter.Count(now, req.identity.workspace)
	}
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

// lateSendDelay is how long after its admission a request counts as sent late: it may run in another
// window than the one in which it was counted.
const lateSendDelay = 250 * time.Millisecond

// observeSend counts the attempts that the allowance of a workspace does not bound when they are made.
func (r *Router) observeSend(now time.Time, req *request) {
	if !req.identity.workspace.Allowance.Limited() {
		return
	}
	r.metrics.increment("allowance.sent")
	switch {
	case req.carried:
		r.metrics.increment("allowance.sentForOthers")
	case req.attempts.ran > 0:
		r.metrics.increment("allowance.furtherAttempts")
	case now.Sub(req.admittedAt) > lateSendDelay:
		r.metrics.increment("allowance.sentLate")
	}
}

// logLeaderContact logs that this daemon found or lost the leader, with what it has sent for limited
// workspaces by then.
func (c *control) logLeaderContact(reachable bool, leader string) {
	if c.r.leaderContact.Load().reachable == reachable {
		return
	}
	m := c.r.metrics
	c.r.log.Info("allowances: contact with the leader", "reachable", reachable, "leader", leader, "daemons", c.members.Count(), "sent", m.value("allowance.sent"),
		"furtherAttempts", m.value("allowance.furtherAttempts"), "sentLate", m.value("allowance.sentLate"), "sentForOthers", m.value("allowance.sentForOthers"))
}

// updateLeaderContact records whether this daemon has contact with the leader.
func (c *control) updateLeaderContact(now time.Time) {
	leader := c.r.current.Load().table.Leader.Daemon
	reachable := c.keeper != nil || leader != "" && now.Sub(c.members.LastHeard(leader)) < leaderContactTimeout+c.members.GossipInterval()
	c.logLeaderContact(reachable, leader)
	contact := leaderContact{reachable: reachable, leading: c.keeper != nil, address: c.members.AddressOf(leader)}
	if contact.leading {
		contact.reachableShare = c.reachableShare(now)
	}
	c.r.leaderContact.Store(&contact)
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.workspaceLimiter.SetLeaderReachable(time.Now(), reachable)
}

// takeUsages returns the counts of requests by workspace since the last report, with those that
// a relay got from others.
func (c *control) takeUsages(isRelay bool) []*wire.Usage {
	c.r.mu.Lock()
	counts := slices.Concat(c.allowances.relayed, c.r.workspaceLimiter.TakeCounts())
	c.r.mu.Unlock()
	c.allowances.relayed = nil
	cfg, share := c.r.current.Load().config, c.localShare()
	var out []*wire.Usage
	for _, n := range quota.Sum(counts) {
		w, _ := cfg.WorkspaceNamed(n.Workspace)
		if isRelay && float64(n.Asked) < reportedShare*share*w.Allowance.Rate*countReportInterval.Seconds() {
			continue // far below the allowance
		}
		out = append(out, &wire.Usage{Workspace: n.Workspace, Asked: uint32(n.Asked), Admitted: int32(n.Admitted)})
	}
	return out
}

// localShare is the share of the daemons that are in this daemon's data centre.
func (c *control) localShare() float64 {
	_, local := c.members.LocalIndex()
	return float64(local) / float64(c.members.Count())
}

func countsFromWire(usages []*wire.Usage) []quota.Count {
	out := make([]quota.Count, 0, len(usages))
	for _, u := range usages {
		out = append(out, quota.Count{Workspace: u.Workspace, Asked: int(u.Asked), Admitted: int(u.Admitted)})
	}
	return out
}

// reachableShare is the share of all daemons that the leader has contact with, by its own count
// and those of the relays. A new leader has not heard from them yet.
func (c *control) reachableShare(now time.Time) float64 {
	if now.Sub(c.leadership.since) < liveCountTTL {
		return 1
	}
	live := c.members.LiveLocalCount(now)
	for dataCentre, n := range c.allowances.liveCounts {
		if dataCentre != c.r.self.DataCentre && now.Sub(n.at) < liveCountTTL {
			live += n.daemons
		}
	}
	return min(1, float64(live)/float64(c.members.Count()))
}

// limitWorkspaces ends a window of the controller. It returns the limits, and whether daemons must
// get them.
func (c *control) limitWorkspaces(now time.Time) ([]quota.Limit, bool) {
	limits, send := c.allowances.controller.Close(now, c.reachableShare(now), c.r.current.Load().config.WorkspaceNamed)
	for _, l := range limits {
		c.r.log.Debug("limits: workspace over its allowance", "workspace", l.Workspace, "fraction", l.Fraction, "wait", l.Wait.String(), "remaining", l.Remaining)
	}
	return limits, send
}

func workspaceLimitsToWire(limits []quota.Limit) []*wire.WorkspaceLimit {
	var out []*wire.WorkspaceLimit
	for _, l := range limits {
		out = append(out, &wire.WorkspaceLimit{Workspace: l.Workspace, Part: float32(l.Fraction), WaitMillis: millisOf(l.Wait)})
	}
	return out
}

func workspaceLimitsFromWire(limits []*wire.WorkspaceLimit) []quota.Limit {
	var out []quota.Limit
	for _, l := range limits {
		out = append(out, quota.Limit{Workspace: l.Workspace, Fraction: float64(l.Part), Wait: millis(l.WaitMillis)})
	}
	return out
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

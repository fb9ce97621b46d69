package member

import (
	"time"

	"catkinstep/core/version/grant"
)

// ShouldStepDown reports whether this daemon, if it leads, should step down because the store
// responds to other daemons but not to this one, or servers can be reached by others only.
func (c *Cluster) ShouldStepDown(now time.Time) bool {
	if c.shouldLeaveLead(now) {
		return true
	}
	if now.Sub(c.lastStoreResponse) < storeOutageTimeout {
		return false
	}
	for _, p := range c.peers {
		if c.isAlive(now, p) && !p.Leaving && p.LastStoreResponse.After(c.lastStoreResponse) && now.Sub(p.LastStoreResponse) < storeOutageTimeout/2 {
			return true
		}
	}
	return false
}

// ShouldTakeLead reports whether this daemon, which does not lead, should try to take the lead from
// the given leader. ended is set if that incarnation of the leader is proven to have ended.
func (c *Cluster) ShouldTakeLead(now time.Time, l grant.Leader) (try, ended bool) {
	if c.observedLeader != l {
		c.observedLeader, c.observedSince = l, now
	}
	if c.shouldLeaveLead(now) {
		return false, false
	}
	since, replace, ended := c.shouldReplaceLeader(now, l)
	if !replace {
		c.leaderToReplace = grant.Leader{}
		return false, ended
	}
	if c.leaderToReplace != l || c.replaceableSince.IsZero() {
		c.leaderToReplace, c.replaceableSince = l, since
	}
	return now.Sub(c.replaceableSince) >= c.takeoverDelay(now, l) && now.Sub(c.lastStoreResponse) < storeOutageTimeout, ended
}

// takeoverDelay returns how long this daemon lets others go first that may take the lead from the given
// leader. None does so if that is this daemon.
func (c *Cluster) takeoverDelay(now time.Time, l grant.Leader) time.Duration {
	if c.IsSelf(l) {
		return 0
	}
	delay := time.Duration(c.candidateRank(now, false)) * rankDelay
	if !c.IsRelay(now) {
		delay += c.GossipInterval() * nonRelayRounds
	}
	return delay
}

// IsSelf reports whether a leader is this daemon in its present incarnation.
func (c *Cluster) IsSelf(l grant.Leader) bool {
	return l.Daemon == c.self.Name && l.Incarnation == c.self.Incarnation
}

// shouldReplaceLeader reports whether a leader is lost, is leaving, or runs on a much weaker
// host than this daemon, so that the lead may be taken from it. It also returns the time since
// when that is so, and whether the leader's incarnation is proven to have ended.
func (c *Cluster) shouldReplaceLeader(now time.Time, l grant.Leader) (since time.Time, replace, ended bool) {
	if l.Daemon == "" {
		return later(c.startedAt, c.lastStoreResponse), true, true
	}
	if l.Daemon == c.self.Name {
		// Even in its present incarnation: its claim was stored and the response lost. The others take it for
		// the leader and wait, and all grants run out. The next claim has a higher epoch, as any takeover.
		return now, true, true
	}
	p := c.peers[l.Daemon]
	switch {
	case p == nil:
		return c.observedSince.Add(silenceTimeout), now.Sub(c.observedSince) > silenceTimeout, false
	case p.Incarnation > l.Incarnation:
		return now, true, true
	case p.refused:
		return now, true, false
	case p.Leaving && c.leaderAlive(now, p), c.shouldReplaceWeaker(now, p):
		return now, true, false
	case p.lastHeard.IsZero():
		return c.observedSince.Add(silenceTimeout), now.Sub(c.observedSince) > silenceTimeout, false
	}
	return p.lastHeard.Add(silenceTimeout), !c.leaderAlive(now, p), false
}

// shouldReplaceWeaker reports whether this daemon should take the lead from a leader that is
// alive, but on a much weaker host. The daemon that starts first becomes the first leader,
// whatever its host. When many servers change, updates queue up for a weak host's processor
// and network link, and the daemons of its data centre keep sending to draining servers.
func (c *Cluster) shouldReplaceWeaker(now time.Time, leader *peer) bool {
	return leader != nil && leader.CPUCapacity > 0 && c.self.CPUCapacity >= takeoverCapacityRatio*leader.CPUCapacity && c.leaderAlive(now, leader) && c.IsRelay(now) && !c.cutOff
}

// HasSteppedDown reports whether a previous leader is known to have ended, or to know the given
// epoch, so that it has stopped giving grants. That is also the case if there was no previous
// leader, or if it was this daemon itself.
func (c *Cluster) HasSteppedDown(l grant.Leader, epoch uint64) bool {
	if l.Daemon == "" || l.Daemon == c.self.Name {
		return true
	}
	p := c.peers[l.Daemon]
	return p != nil && (p.Incarnation > l.Incarnation || p.Incarnation == l.Incarnation && p.Epoch >= epoch)
}

// leaderAlive reports whether there was contact with a leader within silenceTimeout, which
// applies to a leader in any data centre.
func (c *Cluster) leaderAlive(now time.Time, p *peer) bool {
	return !p.refused && now.Sub(p.lastHeard) < silenceTimeout
}

// candidateRank is the number of live daemons that rank before this one as leader or reader.
// Unlike LocalRank, it leaves out daemons without a recent response from the store, except
// just after this daemon started. If localOnly is set, it counts only daemons of this daemon's
// data centre.
func (c *Cluster) candidateRank(now time.Time, localOnly bool) int {
	n := 0
	for _, p := range c.peers {
		if localOnly && p.DataCentre != c.self.DataCentre || !c.isAlive(now, p) || p.Leaving || !localOnly && p.CutOff {
			continue
		}
		if now.Sub(p.LastStoreResponse) > silenceTimeout && now.Sub(c.startedAt) > silenceTimeout {
			continue
		}
		if comparePriority(p.Member, c.self) < 0 {
			n++
		}
	}
	return n
}

// LocalRank is the number of live daemons of this daemon's data centre that rank before it,
// whether the store responds to them or not.
func (c *Cluster) LocalRank(now time.Time) int {
	n := 0
	for _, p := range c.peers {
		if p.DataCentre == c.self.DataCentre && c.isAlive(now, p) && !p.Leaving && comparePriority(p.Member, c.self) < 0 {
			n++
		}
	}
	return n
}

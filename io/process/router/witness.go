package router

import (
	"time"

	"catkinstep/core/process/keeper"
	"catkinstep/core/process/lease"
	"catkinstep/core/version/grant"
)

// witnessGossipInterval is the time between two rounds of gossip of a leader with its witnesses,
// and with those of earlier leaders that may still grant.
const witnessGossipInterval = 500 * time.Millisecond

// witnessCandidates returns the daemons that may be witnesses of this one, the best first.
func (c *control) witnessCandidates(now time.Time) []grant.Witness {
	var out []grant.Witness
	for _, m := range c.members.WitnessCandidates(now) {
		out = append(out, grant.Witness{Name: m.Name, Incarnation: m.Incarnation})
	}
	return out
}

// successorTable returns the table with which this daemon takes the lead, with the witnesses of its term.
func (c *control) successorTable(now time.Time, stored grant.Table) grant.Table {
	leader := grant.Leader{Daemon: c.r.self.Name, Incarnation: c.r.self.Incarnation}
	witnesses := lease.Choose(c.witnessCandidates(now), c.r.settings.LeaderWitnesses-1)
	return stored.WithCompletedMoves(c.r.current.Load().table).WithLeader(leader, witnesses)
}

// recordWitness records what a daemon's gossip says for the term of this leader and for earlier
// ones. Only a reply is support, as of the time at which the call was sent.
func (c *control) recordWitness(now time.Time, m gossipMsg) {
	if c.keeper == nil {
		return
	}
	w := grant.Witness{Name: m.gossip.Name, Incarnation: m.gossip.Incarnation}
	c.recordEpoch(now, w, m.gossip.Epoch)
	switch {
	case len(c.keeper.Witnesses()) == 0:
	case m.gossip.Epoch > c.keeper.Epoch():
		c.updateKeeper(now, keeper.EpochSeenMsg{Epoch: m.gossip.Epoch, At: now})
	case !m.sentAt.IsZero():
		c.updateKeeper(now, keeper.SupportMsg{Witness: w, At: m.sentAt})
	}
}

// recordEpoch records for the earlier terms the epoch of the newest table that a daemon knows.
func (c *control) recordEpoch(now time.Time, w grant.Witness, epoch uint64) {
	for _, e := range c.leadership.earlier {
		if !e.Record(now, w, epoch) {
			continue
		}
		at, _ := e.StoppedBy()
		c.r.log.Info("keys: end of an earlier leader derived", "epoch", e.Term().Epoch, "leader", e.Term().Leader.Daemon,
			"counted", e.Counted(), "needed", e.Needed(), "witnesses", len(e.Term().Witnesses), "stoppedIn", at.Sub(now).String())
	}
}

// checkEarlierLeaders tells the keeper by when each earlier leader has stopped, once that is known.
func (c *control) checkEarlierLeaders(now time.Time) {
	if c.keeper == nil {
		return
	}
	// This daemon may itself be a witness. Its epoch counts once its replies name it.
	c.recordEpoch(now, grant.Witness{Name: c.r.self.Name, Incarnation: c.r.self.Incarnation}, c.r.current.Load().table.Epoch)
	for _, e := range c.leadership.earlier {
		leader := e.Term().Leader
		if !e.Stopped() && leader.Daemon != "" && c.members.HasSteppedDown(leader, e.Term().Epoch+1) {
			e.RecordStopped(now)
			c.r.log.Info("keys: an earlier leader has stopped", "epoch", e.Term().Epoch, "leader", leader.Daemon)
		}
		if at, known := e.StoppedBy(); known {
			c.updateKeeper(now, keeper.EarlierLeaderStoppedMsg{Epoch: e.Term().Epoch, At: at})
		}
	}
}

// callWitnesses gossips with the witnesses of this leader, and with those of earlier leaders that
// are not known to have stopped, and replaces witnesses that do not reply.
func (c *control) callWitnesses(now time.Time) {
	if !c.due(now, &c.lastRuns.witnessGossip, witnessGossipInterval) {
		return
	}
	c.replaceWitnesses(now)
	if c.keeper == nil {
		return
	}
	witnesses := c.keeper.Witnesses()
	for _, e := range c.leadership.earlier {
		witnesses = append(witnesses, e.Missing()...)
	}
	var addresses []string
	for _, w := range witnesses {
		if address := c.members.AddressOf(w.Name); address != "" {
			addresses = append(addresses, address)
		}
	}
	c.gossipTo(now, addresses, false)
	c.reportWitnesses(now)
}

// replaceWitnesses chooses other witnesses for those that have not replied for lease.ReplaceAfter,
// and the first ones of a leader that has none, once enough daemons are live.
func (c *control) replaceWitnesses(now time.Time) {
	n := c.r.settings.LeaderWitnesses
	set, changing := c.keeper.WantedWitnesses()
	if n == 0 || changing {
		return
	}
	if len(set) == 0 {
		if first := lease.Choose(c.witnessCandidates(now), n-1); first != nil {
			c.updateKeeper(now, keeper.WitnessesMsg{Witnesses: first})
		}
		return
	}
	since := map[grant.Witness]time.Time{}
	for _, w := range set {
		since[w] = now
		if at, ok := c.leadership.witnessSince[w]; ok {
			since[w] = at
		}
	}
	c.leadership.witnessSince = since
	isLost := func(w grant.Witness) bool {
		return now.Sub(since[w]) > lease.ReplaceAfter && now.Sub(c.keeper.LastSupport(w)) > lease.ReplaceAfter
	}
	c.updateKeeper(now, keeper.WitnessesMsg{Witnesses: lease.Replace(set, c.witnessCandidates(now), isLost)})
}

// reportWitnesses sets the gauges of this leader's support; both are 0 for a daemon that does not
// lead or has no witnesses.
func (c *control) reportWitnesses(now time.Time) {
	witnesses, age := 0, int64(0)
	if c.keeper != nil {
		set, _ := c.keeper.WantedWitnesses()
		witnesses = len(set)
		if at := c.keeper.SupportedAt(); witnesses > 0 && !at.IsZero() {
			age = ageMillis(now, at)
		} else if witnesses > 0 {
			age = ageMillis(now, c.leadership.since)
		}
	}
	c.r.metrics.setGauge("leader.witnesses", uint64(witnesses))
	c.r.metrics.setGauge("leader.supportAgeMillis", uint64(max(0, age)))
}

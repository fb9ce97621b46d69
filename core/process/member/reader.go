package member

import "time"

// storeFailureBackoff is how long after a failed call to the store a daemon is not chosen as
// the standby reader.
const storeFailureBackoff = 4 * time.Second

// RecordStoreFailure records that a call of this daemon to the store failed.
func (c *Cluster) RecordStoreFailure(now time.Time) { c.lastStoreFailure = now }

// LastStoreFailure is when a call of this daemon to the store last failed; zero if the store
// has responded since.
func (c *Cluster) LastStoreFailure() time.Time { return c.lastStoreFailure }

// ShouldRead reports whether this daemon should read the store on behalf of the others. The leader
// always does. Another daemon reads if its copy of the store, which was last known to be
// current at currentAt, has been stale for so long that any daemon of its data centre that
// ranks before it would have refreshed it. Daemons that are not relays wait longer, since
// updates reach them some rounds of gossip later. A daemon that should replace a leader on a
// weaker host reads as well, to find out whether the store responds to it.
func (c *Cluster) ShouldRead(now, currentAt time.Time, leading bool) bool {
	wait := staleAfter + time.Duration(c.candidateRank(now, true))*rankDelay
	if !c.IsRelay(now) {
		wait += c.GossipInterval() * nonRelayRounds
	}
	return leading || now.Sub(currentAt) > wait || c.shouldReplaceWeaker(now, c.peers[c.observedLeader.Daemon])
}

// IsStandbyReader reports whether this daemon reads the store in addition to the leader. The
// store may refuse only the leader, or the leader's host may stall. Without a standby reader,
// draining servers would be sent requests for seconds, until the copies of the other daemons
// are so old that these daemons read. The standby reader is the first relay that had no failed
// call to the store lately, preferably one in another data centre than the leader.
func (c *Cluster) IsStandbyReader(now time.Time, leader string) bool {
	if leader == "" || leader == c.self.Name || c.storeFailedRecently(now, c.lastStoreFailure) || !c.IsRelay(now) || c.shouldLeaveLead(now) {
		return false
	}
	leaderDataCentre := c.dataCentreOf(leader)
	for _, dc := range append(c.dataCentres(), c.self.DataCentre) {
		for _, m := range c.relays(now, dc) {
			if m.Name != leader && isBetterStandby(leaderDataCentre, m, c.self) && c.canRead(now, m.Name) {
				return false
			}
		}
	}
	return true
}

// isBetterStandby reports whether relay a is a better standby reader than relay b for a leader
// in the given data centre.
func isBetterStandby(leaderDataCentre string, a, b Member) bool {
	if aWithLeader, bWithLeader := a.DataCentre == leaderDataCentre, b.DataCentre == leaderDataCentre; aWithLeader != bWithLeader {
		return bWithLeader
	}
	return comparePriority(a, b) < 0
}

// canRead reports whether another daemon is alive and had no failed call to the store lately.
func (c *Cluster) canRead(now time.Time, name string) bool {
	p := c.peers[name]
	return p != nil && c.isAlive(now, p) && !p.Leaving && (!p.CutOff || c.cutOff) && !c.storeFailedRecently(now, p.LastStoreFailure)
}

func (c *Cluster) storeFailedRecently(now, failedAt time.Time) bool {
	return !failedAt.IsZero() && now.Sub(failedAt) < storeFailureBackoff
}

func (c *Cluster) dataCentreOf(name string) string {
	if p := c.peers[name]; p != nil {
		return p.DataCentre
	}
	return ""
}

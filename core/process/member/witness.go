package member

import (
	"cmp"
	"slices"
	"time"
)

// WitnessCandidates returns the other live daemons of this daemon's data centre in the order in
// which they should be witnesses of this daemon as the leader: relays first, since the leader
// gossips with them anyway, and hosts that reach no servers last.
func (c *Cluster) WitnessCandidates(now time.Time) []Member {
	relays := c.relays(now, c.self.DataCentre)
	isRelay := func(m Member) bool {
		return slices.ContainsFunc(relays, func(r Member) bool { return r.Name == m.Name })
	}
	// In a large data centre daemons gossip less often than silenceTimeout.
	timeout := max(silenceTimeout, (nonRelayRounds+1)*c.GossipInterval())
	var out []Member
	for _, p := range c.peers {
		if p.DataCentre == c.self.DataCentre && !c.isUnreachable(now, p) && !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < timeout {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(compareBool(isRelay(b), isRelay(a)), compareBool(c.isCutOff(a.Name), c.isCutOff(b.Name)), comparePriority(a, b))
	})
	return out
}

package router

import (
	"time"
)

const (
	// leaderContactTimeout is how long after the last contact with the leader, not counting a
	// round of gossip, a daemon counts as out of contact: relays hear the leader every half
	// second, and one message may be lost.
	leaderContactTimeout = time.Second
	// liveCountTTL is how long a relay's count of live daemons is used.
	liveCountTTL = 2 * time.Second
)

// liveCount is a relay's count of the live daemons of its data centre.
type liveCount struct {
	daemons int
	at      time.Time
}

// leaderContact is what the control loop knows of the leader, for those that ask it for tokens.
type leaderContact struct {
	reachable, leading bool
	address            string
	// reachableShare is the share of all daemons that this daemon has contact with as the leader.
	reachableShare float64
}

// updateLeaderContact records whether this daemon has contact with the leader.
func (c *control) updateLeaderContact(now time.Time) {
	leader := c.r.current.Load().table.Leader.Daemon
	reachable := c.keeper != nil || leader != "" && now.Sub(c.members.LastHeard(leader)) < leaderContactTimeout+c.members.GossipInterval()
	contact := leaderContact{reachable: reachable, leading: c.keeper != nil, address: c.members.AddressOf(leader)}
	if contact.leading {
		contact.reachableShare = c.reachableShare(now)
	}
	if c.r.leaderContact.Load().reachable != reachable {
		c.r.log.Info("keys: contact with the leader", "reachable", reachable, "leader", leader, "daemons", c.members.Count())
	}
	c.r.leaderContact.Store(&contact)
}

// reachableShare is the share of all daemons that the leader has contact with, by its own count
// and those of the relays. A new leader has not heard from them yet.
func (c *control) reachableShare(now time.Time) float64 {
	if now.Sub(c.leadership.since) < liveCountTTL {
		return 1
	}
	live := c.members.LiveLocalCount(now)
	for dataCentre, n := range c.liveCounts {
		if dataCentre != c.r.self.DataCentre && now.Sub(n.at) < liveCountTTL {
			live += n.daemons
		}
	}
	return min(1, float64(live)/float64(c.members.Count()))
}

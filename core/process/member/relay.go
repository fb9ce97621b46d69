package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// relaysPerDataCentre is how many daemons of a data centre relay gossip for it. Every other
	// daemon sends them what it knows and gets the rest from them, so that a data centre of n
	// daemons makes 2n calls per round instead of n*n. There are two, so that the loss of
	// one does not interrupt gossip.
	relaysPerDataCentre = 2
	// minGossipInterval is the shortest interval between two rounds of gossip. In a large data
	// centre the interval is gossipIntervalPerDaemon for each of its daemons, so that a relay
	// receives at most about 40 messages a second however many daemons there are.
	minGossipInterval       = 250 * time.Millisecond
	gossipIntervalPerDaemon = 25 * time.Millisecond
	// nonRelayRounds bounds how much later than the relays the other daemons learn of changes,
	// in rounds of gossip: one for their own round, and one in case a message is lost.
	nonRelayRounds = 2
	// relayCacheTTL is how long the chosen relays are cached while no peer changes. A daemon
	// may become a relay again that much later than unansweredBackoff.
	relayCacheTTL = 200 * time.Millisecond
	// unansweredBackoff is how long a daemon that did not answer a call counts as unreachable
	// before it may be chosen as a relay again.
	unansweredBackoff = 5 * time.Second
)

// GossipInterval is the time between two rounds of gossip within the data centre.
func (c *Cluster) GossipInterval() time.Duration {
	if c.localCount == 0 {
		c.localCount = 1
		for _, p := range c.peers {
			if p.DataCentre == c.self.DataCentre {
				c.localCount++
			}
		}
	}
	return max(minGossipInterval, time.Duration(c.localCount)*gossipIntervalPerDaemon)
}

// IsRelay reports whether this daemon is a relay of its data centre.
func (c *Cluster) IsRelay(now time.Time) bool {
	return slices.ContainsFunc(c.relays(now, c.self.DataCentre), func(m Member) bool { return m.Name == c.self.Name })
}

// LocalRelays returns the addresses of the other relays in this daemon's data centre.
func (c *Cluster) LocalRelays(now time.Time) []string {
	return c.addresses(c.relays(now, c.self.DataCentre))
}

// RemoteRelays returns the addresses of the relays in other data centres.
func (c *Cluster) RemoteRelays(now time.Time) []string {
	var out []Member
	for _, dc := range c.dataCentres() {
		if dc != c.self.DataCentre {
			out = append(out, c.relays(now, dc)...)
		}
	}
	return c.addresses(out)
}

// RemoteRelaysAfterSelf returns the addresses of the relays in other data centres whose names
// sort after this daemon's. Only one of each pair needs to call the other, since the reply
// carries the same information as the call.
func (c *Cluster) RemoteRelaysAfterSelf(now time.Time) []string {
	afterSelf := map[string]bool{}
	for name, p := range c.peers {
		afterSelf[p.Address] = name > c.self.Name
	}
	return slices.DeleteFunc(c.RemoteRelays(now), func(address string) bool { return !afterSelf[address] })
}

// LocalRelay returns the address of the first relay of this daemon's data centre, which may be this
// daemon's.
func (c *Cluster) LocalRelay(now time.Time) string {
	return c.relays(now, c.self.DataCentre)[0].Address
}

// Successor returns the address of the daemon that leads next if a leader is lost, as far as this daemon
// knows: the first relay of all data centres.
func (c *Cluster) Successor(now time.Time, leader string) string {
	var relays []Member
	for _, dc := range append(c.dataCentres(), c.self.DataCentre) {
		relays = append(relays, c.relays(now, dc)...)
	}
	relays = slices.DeleteFunc(relays, func(m Member) bool { return m.Name == leader })
	if len(relays) == 0 {
		return ""
	}
	return slices.MinFunc(relays, comparePriority).Address
}

// LocalPeers returns the addresses of all other daemons in this daemon's data centre. Lost
// ones are included, so that contact resumes after a network partition.
func (c *Cluster) LocalPeers(now time.Time) []string {
	c.expirePeers(now)
	var out []Member
	for _, p := range c.peers {
		if p.DataCentre == c.self.DataCentre {
			out = append(out, p.Member)
		}
	}
	return c.addresses(out)
}

// LiveLocalCount returns the number of daemons of this daemon's data centre that were heard of
// within a few rounds of gossip, this one included.
func (c *Cluster) LiveLocalCount(now time.Time) int {
	n, timeout := 1, max(silenceTimeout, (nonRelayRounds+1)*c.GossipInterval())
	for _, p := range c.peers {
		if p.DataCentre == c.self.DataCentre && !p.refused && now.Sub(p.lastHeard) < timeout {
			n++
		}
	}
	return n
}

// AllPeers returns the addresses of all other daemons.
func (c *Cluster) AllPeers(now time.Time) []string {
	c.expirePeers(now)
	var out []Member
	for _, p := range c.peers {
		out = append(out, p.Member)
	}
	return c.addresses(out)
}

// relays returns the relays of a data centre: its daemons on the strongest hosts that are not
// known to be unreachable, by name among equals. Relays may have to lead, so hosts that reach no servers
// come last. Strong hosts cope best with the messages of
// the other daemons.
func (c *Cluster) relays(now time.Time, dc string) []Member {
	if c.relaysByDataCentre == nil || now.Sub(c.relaysComputedAt) >= relayCacheTTL {
		c.relaysByDataCentre, c.relaysComputedAt = map[string][]Member{}, now
	}
	if cached, ok := c.relaysByDataCentre[dc]; ok {
		return cached
	}
	c.relaysByDataCentre[dc] = c.findRelays(now, dc)
	return c.relaysByDataCentre[dc]
}

func (c *Cluster) findRelays(now time.Time, dc string) []Member {
	var candidates []Member
	if dc == c.self.DataCentre {
		candidates = append(candidates, c.self)
	}
	for _, p := range c.peers {
		if p.DataCentre == dc && !c.isUnreachable(now, p) {
			candidates = append(candidates, p.Member)
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(compareBool(c.isCutOff(a.Name), c.isCutOff(b.Name)), comparePriority(a, b))
	})
	return candidates[:min(relaysPerDataCentre, len(candidates))]
}

// ReachableAddresses returns, by data centre and in no particular order, the addresses of the
// daemons that are not known to be unreachable, including this one's.
func (c *Cluster) ReachableAddresses(now time.Time) map[string][]string {
	out := map[string][]string{c.self.DataCentre: {c.self.Address}}
	for _, p := range c.peers {
		if !c.isUnreachable(now, p) {
			out[p.DataCentre] = append(out[p.DataCentre], p.Address)
		}
	}
	return out
}

// comparePriority orders daemons by which should relay, read and lead first: those on stronger
// hosts, then by name.
func comparePriority(a, b Member) int {
	return cmp.Or(cmp.Compare(b.CPUCapacity, a.CPUCapacity), cmp.Compare(a.Name, b.Name))
}

// isUnreachable reports whether a daemon is leaving or is known not to answer calls. A daemon
// that was never called is not unreachable.
func (c *Cluster) isUnreachable(now time.Time, p *peer) bool {
	return p.refused || p.Leaving || !p.unansweredAt.IsZero() && now.Sub(p.unansweredAt) < unansweredBackoff
}

// expirePeers removes daemons that had no contact for forgetAfter and did not answer a call.
func (c *Cluster) expirePeers(now time.Time) {
	for name, p := range c.peers {
		if (p.refused || !p.unansweredAt.IsZero()) && !p.lastHeard.IsZero() && now.Sub(p.lastHeard) > forgetAfter {
			delete(c.peers, name)
			c.forgotten[name] = p.lastHeard
			c.invalidate()
		}
	}
}

// ShareCount is the number of daemons that share what all of them may use together. Daemons that have not
// been heard of for minutes still count: they may be cut off, and use their shares.
func (c *Cluster) ShareCount(now time.Time) int {
	n := c.Count()
	for name, lastHeard := range c.forgotten {
		if now.Sub(lastHeard) >= shareRetention || c.peers[name] != nil {
			delete(c.forgotten, name)
			continue
		}
		n++
	}
	return n
}

func (c *Cluster) dataCentres() []string {
	var out []string
	for _, p := range c.peers {
		if !slices.Contains(out, p.DataCentre) {
			out = append(out, p.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// addresses returns the sorted addresses of the given members other than this daemon, without
// duplicates.
func (c *Cluster) addresses(members []Member) []string {
	var out []string
	for _, m := range members {
		if m.Name != c.self.Name {
			out = append(out, m.Address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

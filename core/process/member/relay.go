package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// relaysPerDataCentre is how many daemons of a data centre relay gossip for it. Every other
	// one sends them what it knows and asks them for the rest, so that a data
	// centre of n daemons has 2n calls in a round in place of n*n. Two, so that the
	// loss of one is not noticed.
	relaysPerDataCentre = 2
	// paceLeast is the shortest pause between two rounds of gossip, and paceEach
	// what each daemon of the data centre adds to it: a relay hears about 40 messages a
	// second however many there are.
	paceLeast = 250 * time.Millisecond
	paceEach  = 25 * time.Millisecond
	// memberRounds is how many rounds later than relays the others learn of changes
	// at the latest: their own round, and one that was lost.
	memberRounds = 2
	// relaysLast is how long relays are not looked for anew while no peer changes: one that
	// missed a call is a candidate again that much later.
	relaysLast = 200 * time.Millisecond
	// missedFor is how long a daemon that did not answer a call counts as lost
	// before it may be called as a relay again.
	missedFor = 5 * time.Second
)

// Pace is the pause between two rounds of gossip within the data centre.
func (c *Cluster) Pace() time.Duration {
	if c.near == 0 {
		c.near = 1
		for _, p := range c.peers {
			if p.DataCentre == c.self.DataCentre {
				c.near++
			}
		}
	}
	return max(paceLeast, time.Duration(c.near)*paceEach)
}

// IsRelay tells whether this daemon relays for its data centre.
func (c *Cluster) IsRelay(now time.Time) bool {
	return slices.ContainsFunc(c.relays(now, c.self.DataCentre), func(m Member) bool { return m.Name == c.self.Name })
}

// Relays lists the other daemons that relay for this one's data centre.
func (c *Cluster) Relays(now time.Time) []string {
	return c.addresses(c.relays(now, c.self.DataCentre))
}

// FarRelays lists the daemons that relay for other data centres.
func (c *Cluster) FarRelays(now time.Time) []string {
	var out []Member
	for _, dc := range c.dataCentres() {
		if dc != c.self.DataCentre {
			out = append(out, c.relays(now, dc)...)
		}
	}
	return c.addresses(out)
}

// LaterRelays lists those of them that come after this daemon by name: each pair
// talks once, since an answer says as much as a question.
func (c *Cluster) LaterRelays(now time.Time) []string {
	later := map[string]bool{}
	for name, p := range c.peers {
		later[p.Address] = name > c.self.Name
	}
	return slices.DeleteFunc(c.FarRelays(now), func(address string) bool { return !later[address] })
}

// Near lists all other daemons of the data centre, the lost ones too, so that
// they are found again after a cut.
func (c *Cluster) Near(now time.Time) []string {
	c.forget(now)
	var out []Member
	for _, p := range c.peers {
		if p.DataCentre == c.self.DataCentre {
			out = append(out, p.Member)
		}
	}
	return c.addresses(out)
}

// All lists all other daemons.
func (c *Cluster) All(now time.Time) []string {
	c.forget(now)
	var out []Member
	for _, p := range c.peers {
		out = append(out, p.Member)
	}
	return c.addresses(out)
}

// relays are the strongest daemons of a data centre that are not known to be
// lost, by name among equals. Strong hosts bear the messages of the others best.
func (c *Cluster) relays(now time.Time, dc string) []Member {
	if c.relaysAt == nil || now.Sub(c.relaysTime) >= relaysLast {
		c.relaysAt, c.relaysTime = map[string][]Member{}, now
	}
	if have, ok := c.relaysAt[dc]; ok {
		return have
	}
	c.relaysAt[dc] = c.findRelays(now, dc)
	return c.relaysAt[dc]
}

func (c *Cluster) findRelays(now time.Time, dc string) []Member {
	var all []Member
	if dc == c.self.DataCentre {
		all = append(all, c.self)
	}
	for _, p := range c.peers {
		if p.DataCentre == dc && !c.isLost(now, p) {
			all = append(all, p.Member)
		}
	}
	slices.SortFunc(all, before)
	return all[:min(relaysPerDataCentre, len(all))]
}

// Living lists the daemons of each data centre that are not known to be lost, this one
// included, in no order.
func (c *Cluster) Living(now time.Time) map[string][]string {
	out := map[string][]string{c.self.DataCentre: {c.self.Address}}
	for _, p := range c.peers {
		if !c.isLost(now, p) {
			out[p.DataCentre] = append(out[p.DataCentre], p.Address)
		}
	}
	return out
}

// before orders daemons by who should relay, read and lead first.
func before(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Name, b.Name))
}

// isLost tells whether a daemon is known not to answer. One that was never
// called is not.
func (c *Cluster) isLost(now time.Time, p *peer) bool {
	return p.gone || p.Leaving || !p.missed.IsZero() && now.Sub(p.missed) < missedFor
}

// forget drops daemons that were neither heard nor found for a while.
func (c *Cluster) forget(now time.Time) {
	for name, p := range c.peers {
		if (p.gone || !p.missed.IsZero()) && !p.heard.IsZero() && now.Sub(p.heard) > forgetAfter {
			delete(c.peers, name)
			c.changed()
		}
	}
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

// addresses lists others' addresses, each once and in order.
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

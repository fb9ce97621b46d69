package member

import (
	"time"

	"catkinstep/core/version/grant"
)

const (
	// silentAfter is how long a daemon may say nothing before it counts as lost.
	// Daemons gossip every half second; two messages may be lost.
	silentAfter = 1500 * time.Millisecond
	// rankStep keeps daemons from taking the lead all at once; a conditional
	// update takes a few milliseconds and its news a few more.
	rankStep = 150 * time.Millisecond
	// staleAfter is how old a daemon's news of the platform may be before it asks
	// the platform itself. The leader's watch hears nothing for up to 0.6 s,
	// pauses for 0.3 s, and its gossip takes another 0.5 s; with less than that all
	// daemons would read. A leader that alone is refused by the platform must be
	// stood in for before a leaving server has to be known, two seconds after its
	// word.
	staleAfter = 1600 * time.Millisecond
	// muchStronger is by how many times a host must be stronger than the leader's for its
	// daemon to take over: each change of the leader holds up moves for a moment.
	muchStronger = 2.0
	// outAfter is how long a leader may fail to reach the platform, while others
	// do, before it gives way.
	outAfter = 1200 * time.Millisecond
	// farSilentAfter is the same for daemons of other data centres, which gossip
	// every four seconds unless they lead.
	farSilentAfter = 9 * time.Second
	// forgetAfter drops daemons that were not heard of any more, and that a call
	// did not find.
	forgetAfter = 30 * time.Second
)

// Member is one life of a daemon.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Incarnation uint64 `json:"incarnation"`
	// Strength is the host's share of a processor; 0 where it is not known.
	Strength float64 `json:"strength,omitempty"`
}

// Status is what a daemon says of itself.
type Status struct {
	// Leaving daemons stop, or give way as leaders.
	Leaving bool
	// Stored is when the daemon itself last had an answer of the platform.
	Stored time.Time
	// Failed is when the platform last did not answer it; zero if it did since.
	Failed time.Time
	// Epoch is that of the newest table that it knows.
	Epoch uint64
}

type peer struct {
	Member
	Status
	heard time.Time
	gone  bool
	// missed is when a call last got no answer, since it was last heard.
	missed time.Time
}

// Cluster is the state; one goroutine owns it.
type Cluster struct {
	self   Member
	since  time.Time
	stored time.Time
	failed time.Time
	peers  map[string]*peer // by name
	// known is the leader last asked about, and since when it has been known: a
	// leader that nothing was heard of yet is given as long as a silent one.
	known      grant.Leader
	knownSince time.Time
	// missed is the leader that is missed, and since when.
	missed      grant.Leader
	missedSince time.Time
	// relaysAt are the relays of each data centre as they were at a moment, of use for
	// relaysLast or until a peer changes: they are asked for many times a second.
	relaysAt   map[string][]Member
	relaysTime time.Time
	near       int // daemons of the own data centre, this one included; 0 if not counted
}

// New returns a Cluster that has heard of nobody.
func New(self Member, now time.Time) *Cluster {
	return &Cluster{self: self, since: now, peers: map[string]*peer{}}
}

// Self returns this daemon.
func (c *Cluster) Self() Member { return c.self }

// Stored notes an answer of the platform to this daemon.
func (c *Cluster) Stored(now time.Time) { c.stored, c.failed = now, time.Time{} }

// LastStored is when the platform last answered this daemon.
func (c *Cluster) LastStored() time.Time { return c.stored }

// Met adds a daemon that was only read of. It counts as lost until heard.
func (c *Cluster) Met(m Member) {
	if m.Name == c.self.Name {
		return
	}
	p := c.peers[m.Name]
	if p == nil || p.Incarnation < m.Incarnation {
		c.peers[m.Name] = &peer{Member: m}
		c.changed()
	}
}

// Heard takes in what a daemon says of itself.
func (c *Cluster) Heard(now time.Time, m Member, w Status) {
	if m.Name == c.self.Name {
		return
	}
	p := c.peers[m.Name]
	if p != nil && p.Incarnation > m.Incarnation {
		return // delayed message of a life that has ended
	}
	c.peers[m.Name] = &peer{Member: m, Status: w, heard: now}
	if p == nil || p.Member != m || p.Leaving != w.Leaving || p.gone || !p.missed.IsZero() {
		c.changed()
	}
}

// Refused notes that connections to a daemon's address are refused. Its process
// has ended, or a cut refuses them in its place: reason enough to take the lead
// at once, but no proof that it has stopped leading.
func (c *Cluster) Refused(address string) {
	for _, p := range c.peers {
		if p.Address == address {
			p.gone = true
			c.changed()
		}
	}
}

// Missed notes that a call to a daemon's address got no answer.
func (c *Cluster) Missed(now time.Time, address string) {
	for _, p := range c.peers {
		if p.Address == address {
			p.missed = now
			c.changed()
		}
	}
}

// HeardOf takes in when another daemon heard of a third one.
func (c *Cluster) HeardOf(name string, incarnation uint64, at time.Time) {
	if p := c.peers[name]; p != nil && p.Incarnation == incarnation && at.After(p.heard) {
		p.heard, p.gone = at, false
		c.changed()
	}
}

// changed makes what was worked out from the peers void.
func (c *Cluster) changed() { c.relaysAt, c.near = nil, 0 }

// HeardAt is when a daemon was last heard, of itself or by others.
func (c *Cluster) HeardAt(name string) time.Time {
	if p := c.peers[name]; p != nil {
		return p.heard
	}
	return time.Time{}
}

// AddressOf finds a daemon by name; "" when it is not known.
func (c *Cluster) AddressOf(name string) string {
	if p := c.peers[name]; p != nil {
		return p.Address
	}
	return ""
}

// Count is how many daemons there may be, this one included. Lost ones count,
// since they may still send to servers.
func (c *Cluster) Count() int { return len(c.peers) + 1 }

// Index is where this daemon stands among all that there may be, by name.
func (c *Cluster) Index() int {
	n := 0
	for name := range c.peers {
		if name < c.self.Name {
			n++
		}
	}
	return n
}

// NearIndex is where this daemon stands among those of its data centre that there may be, by
// name, and how many these are.
func (c *Cluster) NearIndex() (index, count int) {
	count = 1
	for name, p := range c.peers {
		if p.DataCentre != c.self.DataCentre {
			continue
		}
		count++
		if name < c.self.Name {
			index++
		}
	}
	return index, count
}

// GivesWay tells whether a leader should let another lead, since the platform
// answers others and not it.
func (c *Cluster) GivesWay(now time.Time) bool {
	if now.Sub(c.stored) < outAfter {
		return false
	}
	for _, p := range c.peers {
		if c.lives(now, p) && !p.Leaving && p.Stored.After(c.stored) && now.Sub(p.Stored) < outAfter/2 {
			return true
		}
	}
	return false
}

// MayLead tells whether this daemon should try to take the lead from a leader.
// ended says that the leader's life is proven over.
func (c *Cluster) MayLead(now time.Time, l grant.Leader) (try, ended bool) {
	if c.known != l {
		c.known, c.knownSince = l, now
	}
	since, missing, ended := c.missing(now, l)
	if !missing {
		c.missed = grant.Leader{}
		return false, ended
	}
	if c.missed != l || c.missedSince.IsZero() {
		c.missed, c.missedSince = l, since
	}
	wait := time.Duration(c.rank(now, false)) * rankStep
	if !c.IsRelay(now) {
		wait += c.Pace() * memberRounds
	}
	return now.Sub(c.missedSince) >= wait && now.Sub(c.stored) < outAfter, ended
}

// missing tells whether a leader is lost, since when, and whether for good.
func (c *Cluster) missing(now time.Time, l grant.Leader) (since time.Time, missing, ended bool) {
	if l.Daemon == "" {
		return later(c.since, c.stored), true, true
	}
	if l.Daemon == c.self.Name {
		return now, l.Incarnation != c.self.Incarnation, true
	}
	p := c.peers[l.Daemon]
	switch {
	case p == nil:
		return c.knownSince.Add(silentAfter), now.Sub(c.knownSince) > silentAfter, false
	case p.Incarnation > l.Incarnation:
		return now, true, true
	case p.gone:
		return now, true, false
	case p.Leaving && c.leads(now, p), c.relieves(now, p):
		return now, true, false
	case p.heard.IsZero():
		return c.knownSince.Add(silentAfter), now.Sub(c.knownSince) > silentAfter, false
	}
	return p.heard.Add(silentAfter), !c.leads(now, p), false
}

// relieves tells whether this daemon should take the lead from a leader on a much weaker
// host, although that lives. Whoever starts first takes the first lead. On a weak host, news
// waits for its processor and its link when many servers change: the daemons of its
// data centre go on sending to servers that have left.
func (c *Cluster) relieves(now time.Time, leader *peer) bool {
	return leader != nil && leader.Strength > 0 && c.self.Strength >= muchStronger*leader.Strength && c.leads(now, leader) && c.IsRelay(now)
}

// GaveWay tells whether a former leader is known to have ended, or to know of a
// newer epoch and so to have stopped granting.
func (c *Cluster) GaveWay(l grant.Leader, epoch uint64) bool {
	if l.Daemon == "" || l.Daemon == c.self.Name {
		return true
	}
	p := c.peers[l.Daemon]
	return p != nil && (p.Incarnation > l.Incarnation || p.Incarnation == l.Incarnation && p.Epoch >= epoch)
}

func (c *Cluster) lives(now time.Time, p *peer) bool {
	after := silentAfter
	if p.DataCentre != c.self.DataCentre {
		after = farSilentAfter
	}
	return !p.gone && !p.heard.IsZero() && now.Sub(p.heard) < after
}

// leads tells whether a leader was heard lately; leaders send gossip twice a second.
func (c *Cluster) leads(now time.Time, p *peer) bool {
	return !p.gone && now.Sub(p.heard) < silentAfter
}

// rank is how many come before this daemon among the living that could do the same.
func (c *Cluster) rank(now time.Time, near bool) int {
	n := 0
	for _, p := range c.peers {
		if near && p.DataCentre != c.self.DataCentre || !c.lives(now, p) || p.Leaving {
			continue
		}
		if now.Sub(p.Stored) > silentAfter && now.Sub(c.since) > silentAfter {
			continue
		}
		if before(p.Member, c.self) < 0 {
			n++
		}
	}
	return n
}

// Turn is how many living daemons of the data centre come before this one, whether the
// platform answers them or not.
func (c *Cluster) Turn(now time.Time) int {
	n := 0
	for _, p := range c.peers {
		if p.DataCentre == c.self.DataCentre && c.lives(now, p) && !p.Leaving && before(p.Member, c.self) < 0 {
			n++
		}
	}
	return n
}

// RetryPause is how long after a call to the platform that failed a daemon should try
// again, by its turn and the pause that a daemon alone would make. When the platform is
// away the news of all daemons grows old, and all of them would ask for it again and
// again; the first ones are enough to find out that it is back.
func RetryPause(turn int, pause time.Duration) time.Duration {
	return pause + pause*time.Duration(turn)/2
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

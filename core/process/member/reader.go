package member

import "time"

// failedFor is how long a daemon that the platform did not answer is passed over as the
// spare reader.
const failedFor = 4 * time.Second

// StoreFailed notes that the platform did not answer this daemon.
func (c *Cluster) StoreFailed(now time.Time) { c.failed = now }

// FailedAt is when the platform last did not answer this daemon; zero if it did since.
func (c *Cluster) FailedAt() time.Time { return c.failed }

// Reads tells whether this daemon should read the platform for the others: the
// news it has is old, and no other daemon of its data centre would come first.
// current is when the news was last known to be in force. Daemons that are not
// relays get their news a round of gossip later than relays, and wait for that. One
// that should lead in place of a weaker one reads as well, to find out whether it can.
func (c *Cluster) Reads(now, current time.Time, leading bool) bool {
	wait := staleAfter + time.Duration(c.rank(now, true))*rankStep
	if !c.IsRelay(now) {
		wait += c.Pace() * memberRounds
	}
	return leading || now.Sub(current) > wait || c.relieves(now, c.peers[c.known.Daemon])
}

// IsSpare tells whether this daemon reads beside the leader. The platform may refuse the
// leader alone, or the leader's host may stand still: by the time that the news is old enough
// for others to look, servers that left get requests for seconds. The spare is the first
// relay, of another data centre if there is one, that the platform has not failed lately.
func (c *Cluster) IsSpare(now time.Time, leader string) bool {
	if leader == "" || leader == c.self.Name || c.hasFailed(now, c.failed) || !c.IsRelay(now) {
		return false
	}
	at := c.dataCentreOf(leader)
	for _, dc := range append(c.dataCentres(), c.self.DataCentre) {
		for _, m := range c.relays(now, dc) {
			if m.Name != leader && comesFirst(at, m, c.self) && c.mayRead(now, m.Name) {
				return false
			}
		}
	}
	return true
}

// comesFirst tells whether a relay is a better spare than another one, beside a leader of a
// data centre.
func comesFirst(leaderAt string, m, than Member) bool {
	if near, thanNear := m.DataCentre == leaderAt, than.DataCentre == leaderAt; near != thanNear {
		return thanNear
	}
	return before(m, than) < 0
}

// mayRead tells whether another daemon lives and the platform has not failed it lately.
func (c *Cluster) mayRead(now time.Time, name string) bool {
	p := c.peers[name]
	return p != nil && c.lives(now, p) && !p.Leaving && !c.hasFailed(now, p.Failed)
}

func (c *Cluster) hasFailed(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < failedFor
}

func (c *Cluster) dataCentreOf(name string) string {
	if p := c.peers[name]; p != nil {
		return p.DataCentre
	}
	return ""
}

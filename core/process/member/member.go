package member

import (
	"maps"
	"slices"
	"time"

	"catkinstep/core/version/grant"
)

const (
	// silenceTimeout is how long after the last contact a daemon of the same data centre, or
	// the leader in any data centre, counts as lost. The leader and the relays of all data
	// centres exchange gossip every half second; two messages may be lost.
	silenceTimeout = 1500 * time.Millisecond
	// rankDelay is how much longer each candidate waits than the one ranked before it, so
	// that they don't all try to take the lead at once. A conditional update of the store
	// takes a few milliseconds, and the gossip about it a few more.
	rankDelay = 150 * time.Millisecond
	// staleAfter is how old a daemon's copy of the store may be before the daemon reads the
	// store itself. If nothing changes, the leader's watch of the servers returns after 0.6 s
	// (serverWatchWait in package router), the next one starts 0.3 s later (serverReadPause),
	// and the leader's gossip takes up to 0.5 s more (leaderGossipInterval). With a shorter
	// limit every daemon would read the store although the leader does. A longer limit would
	// delay news if the store refuses only the leader: all daemons must know of a draining
	// server two seconds after its announcement.
	staleAfter = 1600 * time.Millisecond
	// takeoverCapacityRatio is how many times the CPU capacity of the leader's host a host must
	// have for its daemon to take over. Each change of leader briefly delays moves of key
	// ranges, so a small advantage is not enough.
	takeoverCapacityRatio = 2.0
	// storeOutageTimeout is how long a leader may get no response from the store, while
	// other daemons do, before it steps down.
	storeOutageTimeout = 1200 * time.Millisecond
	// remoteSilenceTimeout is the silenceTimeout of daemons in other data centres that do not
	// lead. Gossip with them is exchanged every four seconds.
	remoteSilenceTimeout = 9 * time.Second
	// forgetAfter is how long after the last contact a daemon that also failed to answer a
	// call is removed from the list.
	forgetAfter = 30 * time.Second
	// shareRetention is how long after the last contact a daemon counts among those that share
	// what all may use together: longer than regions usually lose each other.
	shareRetention = 10 * time.Minute
)

// Member identifies one incarnation of a daemon: a single run of its process.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Incarnation uint64 `json:"incarnation"`
	// Region is the group of data centres that requests must not leave on their way.
	Region string `json:"region,omitempty"`
	// CPUCapacity is the processing capacity of the host, in cores of usual speed; 0 if unknown.
	CPUCapacity float64 `json:"strength,omitempty"`
}

// Status is what a daemon reports about itself in gossip.
type Status struct {
	// Leaving is set when the daemon is shutting down or stepping down as leader.
	Leaving bool
	// LastStoreResponse is when the store last responded to a request of the daemon itself.
	LastStoreResponse time.Time
	// LastStoreFailure is when the daemon's request to the store last failed; zero if one
	// has succeeded since.
	LastStoreFailure time.Time
	// Epoch is the epoch of the newest table that the daemon knows.
	Epoch uint64
	// CutOff is set while the daemon's host reaches no backend servers.
	CutOff bool
}

// peer is what is known of another daemon.
type peer struct {
	Member
	Status
	// lastHeard is when this daemon, or another one that reported it, last had contact with
	// the peer; zero if never.
	lastHeard time.Time
	// refused is set when the daemon's address refused a connection after the last contact.
	refused bool
	// unansweredAt is when a call last got no answer; zero if the daemon has sent gossip since.
	unansweredAt time.Time
}

// Cluster is the list of daemons as seen by one of them. It is not safe for concurrent use.
type Cluster struct {
	self              Member
	startedAt         time.Time
	lastStoreResponse time.Time
	lastStoreFailure  time.Time
	// cutOff is set while this daemon's host reaches no backend servers.
	cutOff bool
	peers  map[string]*peer // by name
	// forgotten holds when daemons that were removed from the list were last heard of, by name.
	forgotten map[string]time.Time
	// observedLeader is the leader that was passed to the last call of ShouldTakeLead, and
	// observedSince is when it was first passed. A leader that has sent no gossip yet counts as
	// lost silenceTimeout after that.
	observedLeader grant.Leader
	observedSince  time.Time
	// leaderToReplace is the leader from which the lead may be taken, and replaceableSince is
	// since when. The delay before this daemon tries to take the lead begins then.
	leaderToReplace  grant.Leader
	replaceableSince time.Time
	// relaysByDataCentre caches the relays, which are looked up many times a second. It is
	// valid for relayCacheTTL after relaysComputedAt, or until a peer changes.
	relaysByDataCentre map[string][]Member
	relaysComputedAt   time.Time
	// localCount is the number of daemons in the own data centre, this one included; 0 if
	// they have not been counted since a peer changed.
	localCount int
}

// New returns a Cluster that knows no other daemon.
func New(self Member, now time.Time) *Cluster {
	return &Cluster{self: self, startedAt: now, peers: map[string]*peer{}, forgotten: map[string]time.Time{}}
}

// Self returns the daemon whose view of the others this Cluster is.
func (c *Cluster) Self() Member { return c.self }

// RecordStoreResponse records that the store responded to this daemon. Earlier failures no
// longer count.
func (c *Cluster) RecordStoreResponse(now time.Time) {
	c.lastStoreResponse, c.lastStoreFailure = now, time.Time{}
}

// LastStoreResponse is when the store last responded to this daemon.
func (c *Cluster) LastStoreResponse() time.Time { return c.lastStoreResponse }

// AddDiscovered adds a daemon that was found in the store. It does not count as alive until
// its first gossip arrives.
func (c *Cluster) AddDiscovered(m Member) {
	if m.Name == c.self.Name {
		return
	}
	p := c.peers[m.Name]
	if p == nil || p.Incarnation < m.Incarnation {
		c.peers[m.Name] = &peer{Member: m}
		c.invalidate()
	}
}

// RecordGossip records a daemon's gossip about itself.
func (c *Cluster) RecordGossip(now time.Time, m Member, status Status) {
	if m.Name == c.self.Name {
		return
	}
	p := c.peers[m.Name]
	if p != nil && p.Incarnation > m.Incarnation {
		return // delayed message of an earlier incarnation
	}
	c.peers[m.Name] = &peer{Member: m, Status: status, lastHeard: now}
	if p == nil || p.Member != m || p.Leaving != status.Leaving || p.CutOff != status.CutOff || p.refused || !p.unansweredAt.IsZero() {
		c.invalidate()
	}
}

// RecordRefused records that a daemon's address refuses connections. Either its process has
// ended, or the network between the daemons rejects connections, as a firewall does. That is
// reason enough to take the lead at once, but no proof that the daemon has stopped leading.
func (c *Cluster) RecordRefused(address string) {
	for _, p := range c.peers {
		if p.Address == address {
			p.refused = true
			c.invalidate()
		}
	}
}

// RecordUnanswered records that a call to a daemon's address got no answer.
func (c *Cluster) RecordUnanswered(now time.Time, address string) {
	for _, p := range c.peers {
		if p.Address == address {
			p.unansweredAt = now
			c.invalidate()
		}
	}
}

// RecordIndirectContact records when another daemon last had contact with the named one.
func (c *Cluster) RecordIndirectContact(name string, incarnation uint64, at time.Time) {
	if p := c.peers[name]; p != nil && p.Incarnation == incarnation && at.After(p.lastHeard) {
		p.lastHeard, p.refused = at, false
		c.invalidate()
	}
}

// invalidate clears what was cached about the peers.
func (c *Cluster) invalidate() { c.relaysByDataCentre, c.localCount = nil, 0 }

// LastHeard is when this daemon, or another one that reported it, last had contact with the
// named daemon; zero if never.
func (c *Cluster) LastHeard(name string) time.Time {
	if p := c.peers[name]; p != nil {
		return p.lastHeard
	}
	return time.Time{}
}

// AddressOf returns the address of a daemon by name, or "" if it is unknown.
func (c *Cluster) AddressOf(name string) string {
	if p := c.peers[name]; p != nil {
		return p.Address
	}
	return ""
}

// Count is the number of known daemons, this one included. Lost daemons count as well, since
// they may still send requests to servers.
func (c *Cluster) Count() int { return len(c.peers) + 1 }

// PeerNames returns the names of all other known daemons, in no particular order.
func (c *Cluster) PeerNames() []string { return slices.Collect(maps.Keys(c.peers)) }

// LocalIndex returns the position of this daemon among the known daemons of its data centre,
// ordered by name, and the number of these daemons.
func (c *Cluster) LocalIndex() (index, count int) {
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

// isAlive reports whether there was contact with a daemon within the timeout that applies to
// its data centre.
func (c *Cluster) isAlive(now time.Time, p *peer) bool {
	timeout := silenceTimeout
	if p.DataCentre != c.self.DataCentre {
		timeout = remoteSilenceTimeout
	}
	return !p.refused && !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < timeout
}

// RetryDelay is how long a daemon of the given rank waits after a failed call to the store
// before it tries again; pause is the delay of the daemon that ranks first. While the store is
// down, the copies of all daemons become stale and all of them would keep retrying, although
// a few are enough to detect that it is back.
func RetryDelay(rank int, pause time.Duration) time.Duration {
	return pause + pause*time.Duration(rank)/2
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

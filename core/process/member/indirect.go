package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReleasePeer returns the address of the daemon through which a server is asked for a release at a try,
// counted from 1; "" if there is none. It is one of the server's data centre, or of any if that is empty or
// has none. Consecutive tries take turns. Daemons with recent contact come first, since a call to a lost
// host takes until its time-out. Servers differ in where they begin, so that the releases of many servers
// are spread over the daemons.
func (c *Cluster) ReleasePeer(now time.Time, dataCentre, server string, try int) string {
	candidates := c.releasePeers(now, func(p *peer) bool { return p.DataCentre == dataCentre })
	if len(candidates) == 0 {
		candidates = c.releasePeers(now, func(*peer) bool { return true })
	}
	if len(candidates) == 0 {
		return ""
	}
	first := int(xxhash.Sum64String(server) % uint64(len(candidates)))
	ordered := slices.Concat(candidates[first:], candidates[:first])
	slices.SortStableFunc(ordered, func(a, b *peer) int { return compareBool(!c.isAlive(now, a), !c.isAlive(now, b)) })
	return ordered[max(0, try-1)%len(ordered)].Address
}

// releasePeers returns the daemons that may make calls to servers for this one, by name.
func (c *Cluster) releasePeers(now time.Time, isWanted func(*peer) bool) []*peer {
	var out []*peer
	for _, p := range c.peers {
		if isWanted(p) && !p.CutOff && !c.isUnreachable(now, p) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

package spread

import (
	"github.com/cespare/xxhash/v2"

	"catkinstep/core/request/token"
	"catkinstep/core/version/config"
)

// coldRateLimit returns this daemon's share of the limit for a cold server, which is
// ColdRate*ColdFactor + ColdSlack. The daemons need no coordination: the shares are such that all
// their bursts, together with their requests in the following second, stay within the limit. In any second the sending daemons together send at most
// sendingDaemons*burst + ColdRate requests. If totalBurst is less than one request for each
// daemon, only some daemons may send to a cold server at all, and which ones depends on the
// server. A daemon that does not know the others yet may not send: after a restart of all
// daemons, each would take the whole limit for its own.
func (b *Balancer) coldRateLimit(service config.Service, serverID string) token.Rate {
	if !b.limits.Members.Complete {
		return token.Rate{}
	}
	daemons := len(b.limits.Members.Others) + 1
	totalBurst := coldBurstShare * (service.ColdRate*(b.limits.ColdFactor-1) + b.limits.ColdSlack)
	sendingDaemons := max(1, min(daemons, int(totalBurst)))
	if sendingDaemons < daemons && b.coldRank(serverID) >= sendingDaemons {
		return token.Rate{}
	}
	return token.Rate{PerSecond: service.ColdRate / float64(sendingDaemons), Burst: max(1, totalBurst/float64(daemons))}
}

// coldRank returns the number of daemons that rank before this one as senders to a cold server. The
// order is that of a hash of both names, so that a daemon that comes or is forgotten changes
// the ranks of the others by one at most. Daemons that have not all learned of it yet then agree
// on nearly all senders.
func (b *Balancer) coldRank(serverID string) int {
	rank, ok := b.coldRanks[serverID]
	if ok {
		return rank
	}
	weight := func(daemon string) uint64 { return xxhash.Sum64String(daemon + " " + serverID) }
	own := weight(b.limits.Members.Self)
	for _, other := range b.limits.Members.Others {
		if weight(other) > own {
			rank++
		}
	}
	b.coldRanks[serverID] = rank
	return rank
}

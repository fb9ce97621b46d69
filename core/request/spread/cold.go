package spread

import (
	"github.com/cespare/xxhash/v2"

	"catkinstep/core/request/token"
	"catkinstep/core/version/config"
)

// coldRateLimit returns this daemon's share of the limit for a cold server, which is
// ColdRate*ColdFactor + ColdSlack. In any second the daemons together send at most their bursts and
// ColdRate requests.
func (b *Balancer) coldRateLimit(service config.Service, serverID string) token.Rate {
	return b.shareOf(token.Rate{PerSecond: service.ColdRate, Burst: coldBurstShare * (service.ColdRate*(b.limits.ColdFactor-1) + b.limits.ColdSlack)}, serverID)
}

// shareOf returns this daemon's share of a rate at which all daemons together may send to a server.
// The daemons need no coordination: all their bursts, together with their requests in the following
// second, stay within the rate. If its burst is less than one request for each daemon, only some
// daemons may send at all, and which ones depends on the server. A daemon that does not know the
// others yet may not send: after a restart of all daemons, each would take the whole rate for its own.
func (b *Balancer) shareOf(total token.Rate, serverID string) token.Rate {
	if !b.limits.Members.Complete {
		return token.Rate{}
	}
	daemons := len(b.limits.Members.Others) + 1
	if senders := total.Senders(daemons); senders < daemons && b.senderRank(serverID) >= senders {
		return token.Rate{}
	}
	return total.Divided(daemons)
}

// senderRank returns the number of daemons that rank before this one as senders to a server. The
// order is that of a hash of both names, so that a daemon that comes or is forgotten changes
// the ranks of the others by one at most. Daemons that have not all learned of it yet then agree
// on nearly all senders.
func (b *Balancer) senderRank(serverID string) int {
	rank, ok := b.senderRanks[serverID]
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
	b.senderRanks[serverID] = rank
	return rank
}

package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/version/config"
)

// tokenBucket limits the requests from this daemon to a cold server. It starts empty,
// since a daemon may have used its share just before it restarted.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// rate is this daemon's share of the request rate allowed at a cold server. The daemons need no
// coordination: the shares are such that all their bursts, together with their requests in the
// following second, stay within the limit.
type rate struct {
	perSecond float64
	burst     float64
}

// coldRate divides the limit for a cold server among the daemons. In any second they send at
// most daemons*burst + ColdRate requests; the limit is ColdRate*ColdFactor + ColdSlack. If
// the burst is less than one request for each daemon, only some daemons may send to a cold
// server at all, and which ones depends on the server.
func (b *Balancer) coldRate(service config.Service, serverID string) rate {
	daemons := max(1, b.limits.Daemons)
	totalBurst := coldBurstShare * (service.ColdRate*(b.limits.ColdFactor-1) + b.limits.ColdSlack)
	sharers := max(1, min(daemons, int(totalBurst)))
	index := (b.limits.Index + int(xxhash.Sum64String(serverID)%uint64(daemons))) % daemons
	if index >= sharers {
		return rate{}
	}
	return rate{perSecond: service.ColdRate / float64(sharers), burst: max(1, totalBurst/float64(daemons))}
}

func (b *tokenBucket) hasToken(now time.Time, r rate) bool {
	b.refill(now, r)
	return b.tokens >= 1
}

func (b *tokenBucket) take(now time.Time, r rate) {
	b.refill(now, r)
	b.tokens--
}

func (b *tokenBucket) refill(now time.Time, r rate) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	b.tokens = min(r.burst, b.tokens+r.perSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/version/config"
)

// bucket counts what a cold server got of this daemon. It starts empty: a
// daemon that was just restarted may have used its share right before.
type bucket struct {
	tokens float64
	at     time.Time
}

// rate is this daemon's share of what a cold server bears. The daemons need not
// talk: what all of them may send at once and in the second after stays within
// the bound together.
type rate struct {
	perSecond float64
	burst     float64
}

// coldRate divides the bound among the daemons. In any second they send at most
// daemons*burst + ColdRate; the bound is ColdRate*ColdFactor + ColdSlack. Where
// that is less than one request for each daemon, only some of them, other ones
// for each server, may ask a cold server at all.
func (s *Spread) coldRate(v config.Service, server string) rate {
	n := max(1, s.limits.Daemons)
	over := coldMargin * (v.ColdRate*(s.limits.ColdFactor-1) + s.limits.ColdSlack)
	entitled := max(1, min(n, int(over)))
	index := (s.limits.Index + int(xxhash.Sum64String(server)%uint64(n))) % n
	if index >= entitled {
		return rate{}
	}
	return rate{perSecond: v.ColdRate / float64(entitled), burst: max(1, over/float64(n))}
}

func (b *bucket) has(now time.Time, r rate) bool {
	b.fill(now, r)
	return b.tokens >= 1
}

func (b *bucket) take(now time.Time, r rate) {
	b.fill(now, r)
	b.tokens--
}

func (b *bucket) fill(now time.Time, r rate) {
	if b.at.IsZero() {
		b.at = now
	}
	b.tokens = min(r.burst, b.tokens+r.perSecond*now.Sub(b.at).Seconds())
	b.at = now
}

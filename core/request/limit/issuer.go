package limit

import (
	"time"

	"catkinstep/core/request/token"
)

// minWait is the shortest time until a daemon that was refused a token asks again.
const minWait = 50 * time.Millisecond

// Issuer issues the tokens of servers for all daemons. The leader has it, from the begin of its
// term on. It is not safe for concurrent use.
type Issuer struct {
	buckets map[string]*instanceBucket // by server
}

// instanceBucket is the bucket of an instance of a server. It starts empty: the leader before may
// have issued as many tokens as there were.
type instanceBucket struct {
	startMillis int64
	token.Bucket
}

// NewIssuer returns an Issuer that has issued no tokens.
func NewIssuer() *Issuer { return &Issuer{buckets: map[string]*instanceBucket{}} }

// Acquire issues a token for a request to a server, or returns the time until there may be one.
// reachable is the share of all daemons that the leader has contact with: the rest of the limit
// belongs to the others.
func (i *Issuer) Acquire(now time.Time, l Limit, reachable float64) (retryAfter time.Duration, ok bool) {
	b := i.buckets[l.Server]
	if b == nil || b.startMillis < l.StartMillis {
		b = &instanceBucket{startMillis: l.StartMillis}
		i.buckets[l.Server] = b
	}
	if b.startMillis > l.StartMillis {
		return minWait, false // the daemon does not know of the restart yet
	}
	rate := rateOf(l.PerSecond*reachable, issuerBurst, issuerBurstTime)
	if b.TryTake(now, rate) {
		return 0, true
	}
	return max(minWait, b.Wait(now, rate)), false
}

// Prune forgets the servers that name no limit any more.
func (i *Issuer) Prune(stands func(server string) bool) {
	for server := range i.buckets {
		if !stands(server) {
			delete(i.buckets, server)
		}
	}
}

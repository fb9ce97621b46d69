package quota

import (
	"math/rand/v2"
	"time"

	"catkinstep/core/request/token"
	"catkinstep/core/version/space"
)

const (
	// limitTTL is how long limits apply after the leader sent them. It sends new ones twice a
	// second, and an empty list once none is needed. A new leader needs a few seconds to know
	// what is asked for.
	limitTTL = 5 * time.Second
	// steadyWindow is the time over which a daemon averages the rate from which it grows, and that
	// it keeps to without contact to the leader: so long that a load which the leader has not
	// heard of hardly counts.
	steadyWindow = 6 * time.Second
	// rateWindow is the time over which it averages low rates; see fastGrowthRate.
	rateWindow = 2 * time.Second
	// startTime is how long a daemon that has just started may take to find the leader. It has no
	// earlier rates to keep to, and counts as in contact until then.
	startTime = 2 * time.Second
	// rejoinDelay is how long after the contact with the leader is back a daemon still keeps to its
	// steady rates: a new leader needs so long to hear of a load and to limit it.
	rejoinDelay = 1500 * time.Millisecond
	// isolatedRateFactor is how much more than before a daemon without contact to the leader may
	// admit: about as much as the rate varies by chance.
	isolatedRateFactor = 1.1
	// isolatedBurstTime is the time whose requests such a daemon may admit at once, and
	// minIsolatedBurst their number in any case: requests come unevenly.
	isolatedBurstTime = time.Second
	minIsolatedBurst  = 3.0
	// growthFactor is how much more than its mean a daemon may admit, beyond its even share of the
	// allowance. It holds back a sudden load until the leader has heard of it and set a limit.
	growthFactor = 1.5
	// fastGrowthRate is the rate up to which a daemon grows by its rate of rateWindow instead of
	// steadyWindow: a caller or two that come anew, of a workspace that comes by few daemons.
	fastGrowthRate = 3.0
	// burstTime is the time whose requests a daemon may admit at once, and minBurst their
	// number in any case, since requests come unevenly. Where even shares are below one request
	// a second, it is lowShareBurst: callers come and go one by one.
	burstTime     = 750 * time.Millisecond
	minBurst      = 4.5
	lowShareBurst = 6.0
	// minRetryAfter and retrySpread bound the time after which a refused caller should retry.
	// The spread keeps the callers of a workspace from returning within one second.
	minRetryAfter = 200 * time.Millisecond
	retrySpread   = time.Second
)

// Count is the number of requests of a workspace at some daemons.
type Count struct {
	Workspace string
	// Asked is the number of requests received, and Admitted the number of those that were
	// sent to servers.
	Asked, Admitted int
}

// Limit says how to limit a workspace that asks for more than its allowance.
type Limit struct {
	Workspace string
	// Fraction is the fraction of the requests to admit.
	Fraction float64
	// Wait is the time until the allowance covers what was admitted so far.
	Wait time.Duration
	// Remaining is what is left of the allowance; negative if more was admitted.
	Remaining float64
}

// Limiter admits the requests that one daemon receives. It is not safe for concurrent use.
type Limiter struct {
	random  *rand.Rand
	daemons int
	// isolated is set while the daemon has no contact with the leader, and for rejoinDelay after. It
	// keeps to its steady rates then.
	isolated bool
	// startedAt is when the daemon first asked for contact with the leader.
	startedAt time.Time
	// reachableSince is when contact with the leader began; zero without contact. wasReachable is set
	// from the first contact on.
	reachableSince time.Time
	wasReachable   bool
	usages         map[string]*usage
	limits         map[string]Limit
	// limitsUntil is when the limits expire.
	limitsUntil time.Time
}

// usage is what a daemon knows about the requests of a workspace.
type usage struct {
	asked, admitted int // since they were last taken
	total           Total
	// rate and steadyRate are means of what was admitted, over rateWindow and steadyWindow.
	rate, steadyRate meanRate
	// isolatedRate is the steady rate when the contact with the leader was lost.
	isolatedRate float64
	bucket       token.Bucket
}

// NewLimiter returns a Limiter of a daemon that knows no other and has no contact with the leader yet.
func NewLimiter(seed uint64) *Limiter {
	return &Limiter{random: rand.New(rand.NewPCG(seed, 41)), daemons: 1, isolated: true, usages: map[string]*usage{}}
}

// SetDaemons sets the number of daemons that share the allowances.
func (l *Limiter) SetDaemons(n int) { l.daemons = max(1, n) }

// SetLeaderReachable records whether the daemon has contact with the leader. It must be called often.
func (l *Limiter) SetLeaderReachable(now time.Time, reachable bool) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	if !reachable {
		if !l.isolated {
			l.isolate(now)
		}
		l.reachableSince = time.Time{}
		return
	}
	if l.reachableSince.IsZero() {
		l.reachableSince = now
	}
	if l.isolated && (!l.wasReachable || now.Sub(l.reachableSince) >= rejoinDelay) {
		l.rejoin()
	}
}

// rejoin ends the time of keeping to earlier rates. Buckets start full, since a workspace that
// comes by few daemons would grow again only slowly.
func (l *Limiter) rejoin() {
	l.isolated, l.wasReachable = false, true
	for _, u := range l.usages {
		u.bucket.Set(lowShareBurst)
	}
}

func (l *Limiter) isolate(now time.Time) {
	l.isolated = true
	for _, u := range l.usages {
		u.isolatedRate = u.steadyRate.at(now)
	}
}

// SetLimits replaces all limits. The leader sent the new ones at sentAt.
func (l *Limiter) SetLimits(sentAt time.Time, limits []Limit) {
	l.limits, l.limitsUntil = make(map[string]Limit, len(limits)), sentAt.Add(limitTTL)
	for _, limit := range limits {
		l.limits[limit.Workspace] = limit
	}
}

// Admit decides whether a request of a workspace is within its allowance. If not, it returns
// the time after which a retry probably is.
func (l *Limiter) Admit(now time.Time, w space.Workspace) (retryAfter time.Duration, ok bool) {
	if !w.Allowance.Limited() {
		return 0, true
	}
	u := l.usage(w.Name)
	u.asked++
	u.total.Asked++
	limit, limited := l.limits[w.Name]
	limited = limited && now.Before(l.limitsUntil)
	if limited && l.random.Float64() >= limit.Fraction {
		u.total.Refused++
		return l.retryAfter(limit.Wait), false
	}
	if rate := l.ownLimit(now, u, w.Allowance, limited); !u.bucket.TryTake(now, rate) {
		u.total.Refused++
		return l.retryAfter(u.bucket.Wait(now, rate)), false
	}
	u.add(now, 1)
	return 0, true
}

// ownLimit is the rate, and the number of requests at once, that this daemon does not exceed
// whatever the leader says. limited is set if the leader's last word was that the workspace asks for
// too much: its earlier rate is no measure then.
func (l *Limiter) ownLimit(now time.Time, u *usage, a space.Allowance, limited bool) token.Rate {
	evenShare := a.Rate / float64(l.daemons)
	if l.isolated && (l.wasReachable || now.Sub(l.startedAt) > startTime) {
		rate := evenShare
		if !limited {
			rate = max(rate, isolatedRateFactor*u.isolatedRate)
		}
		return token.Rate{PerSecond: rate, Burst: max(minIsolatedBurst, isolatedBurstTime.Seconds()*rate)}
	}
	own := max(u.steadyRate.at(now), min(u.rate.at(now), fastGrowthRate))
	rate := max(evenShare, growthFactor*own)
	return token.Rate{PerSecond: rate, Burst: max(burstTime.Seconds()*rate, minBurst, lowShareBurst-evenShare)}
}

// Count adds a further attempt of an admitted request, since each one that runs counts.
func (l *Limiter) Count(now time.Time, w space.Workspace) {
	if w.Allowance.Limited() {
		l.usage(w.Name).add(now, 1)
	}
}

// Return gives back the allowance of an attempt that certainly did not run.
func (l *Limiter) Return(now time.Time, w space.Workspace) {
	if !w.Allowance.Limited() {
		return
	}
	u := l.usage(w.Name)
	u.add(now, -1)
	u.bucket.Return()
}

// TakeCounts returns the counts since the last call and resets them. A count may be negative
// where more was given back than admitted.
func (l *Limiter) TakeCounts() []Count {
	var out []Count
	for name, u := range l.usages {
		if u.asked != 0 || u.admitted != 0 {
			out = append(out, Count{Workspace: name, Asked: u.asked, Admitted: u.admitted})
			u.asked, u.admitted = 0, 0
		}
	}
	return out
}

// Prune forgets workspaces that the configuration no longer has.
func (l *Limiter) Prune(exists func(workspace string) bool) {
	for name := range l.usages {
		if !exists(name) {
			delete(l.usages, name)
		}
	}
}

func (l *Limiter) usage(workspace string) *usage {
	u := l.usages[workspace]
	if u == nil {
		u = &usage{rate: meanRate{window: rateWindow}, steadyRate: meanRate{window: steadyWindow}, bucket: token.New(lowShareBurst)}
		l.usages[workspace] = u
	}
	return u
}

func (l *Limiter) retryAfter(wait time.Duration) time.Duration {
	return max(minRetryAfter, wait) + time.Duration(l.random.Float64()*float64(retrySpread))
}

func (u *usage) add(now time.Time, n int) {
	u.admitted += n
	u.rate.add(now, n)
	u.steadyRate.add(now, n)
}

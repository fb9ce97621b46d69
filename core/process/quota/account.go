package quota

import (
	"math"
	"time"

	"catkinstep/core/version/space"
)

const (
	// minLease is the lowest rate that is leased, in requests per second. With less a daemon gets a
	// token for each request.
	minLease = 1.0
	// minLeasedAllowance is the lowest allowance that is leased, in requests per second. Smaller ones need
	// few tokens, and a lease that goes unused would take much of them.
	minLeasedAllowance = 50.0 / halves
	// burstTime is the time whose requests a lease may save up, as far as there is room.
	burstTime = time.Second
	// minUsefulRate, usefulRatePerBurst and maxUsefulRate are for usefulRate.
	minUsefulRate, usefulRatePerBurst, maxUsefulRate = 0.6, 0.15, 1.25
	// fullBurst is how many requests a lease must be able to save up so that hardly any of it goes unused.
	fullBurst = 4.0
	// scarceLevel is the share of the burst below which little is left of an allowance.
	scarceLevel = 0.5
	// minTokenWait and maxTokenWait bound the time until a daemon without a token asks again.
	minTokenWait = 50 * time.Millisecond
	maxTokenWait = 500 * time.Millisecond
	// expiryInterval is the shortest time between two searches for leases that have ended.
	expiryInterval = 100 * time.Millisecond
)

// account is what a pool has of the allowance of a workspace.
type account struct {
	workspace string
	allowance space.Allowance
	// tokens is what has been lent and not been handed out, up to cap.
	tokens, cap float64
	// lent is the pool's sum of what was lent when tokens was refilled, at refilledAt.
	lent       float64
	refilledAt time.Time
	share      float64
	leases     map[*lease]bool
	// leased and bursts are the sums over all leases, and demand that of what the daemons ask for.
	leased, bursts, demand float64
	// expiresAt is when the next lease changes without a renewal.
	expiresAt time.Time
	// nextTokenAt is when there may be a token for the next daemon that gets none.
	nextTokenAt time.Time
	lastUsedAt  time.Time
	// taken and denied are the tokens that were asked for since the last report.
	taken, denied int
}

// lease is what a daemon may use until an end. As long as the daemon has not confirmed the newest
// grant, it may still use the one before.
type lease struct {
	newest, before leaseTerms
	seq            uint64 // of the renewal that was answered with newest
	demand         float64
}

type leaseTerms struct {
	perSecond, burst float64
	until            time.Time
}

// merged returns terms that cover both.
func (t leaseTerms) merged(other leaseTerms) leaseTerms {
	out := leaseTerms{perSecond: max(t.perSecond, other.perSecond), burst: max(t.burst, other.burst), until: t.until}
	if other.until.After(t.until) {
		out.until = other.until
	}
	return out
}

// counted is what the daemon may use at most.
func (l *lease) counted() leaseTerms { return l.newest.merged(l.before) }

// setAllowance sets the allowance, of which the pool has a share.
func (a *account) setAllowance(allowance space.Allowance, share float64) {
	a.allowance, a.share = allowance, share
	a.cap = max(allowance.Burst*share, min(1, poolExtra*share))
}

// isTiny reports whether the pool's share is too small to save up a request. A token must be used soon
// after it is complete then: if each of many such pools kept one, all of them could be used at once.
func (a *account) isTiny() bool { return a.cap < 1 }

// refill adds what was lent since the last refill and is not leased.
func (a *account) refill(now time.Time, p *Pool) {
	elapsed := max(0, now.Sub(a.refilledAt).Seconds())
	lent := p.lent + p.share*min(shareTTL, max(0, now.Sub(p.countedAt))).Seconds()
	a.add(max(0, lent-a.lent)*a.allowance.Rate-a.leasedSince(now), elapsed)
	a.lent, a.refilledAt = lent, now
	a.expire(now)
}

// leasedSince is how much was leased since the last refill. Nobody may have looked for long, and leases
// have ended meanwhile.
func (a *account) leasedSince(now time.Time) float64 {
	if a.expiresAt.IsZero() || now.Before(a.expiresAt) {
		return a.leased * max(0, now.Sub(a.refilledAt).Seconds())
	}
	sum := 0.0
	for l := range a.leases {
		c := l.counted()
		until := now
		if c.until.Before(now) {
			until = c.until
		}
		sum += c.perSecond * max(0, until.Sub(a.refilledAt).Seconds())
	}
	return sum
}

// add adds tokens that came over some seconds.
func (a *account) add(tokens, seconds float64) {
	a.tokens += tokens
	if !a.isTiny() {
		a.tokens = min(a.cap, a.tokens)
		return
	}
	if a.tokens <= 1 {
		return
	}
	if tokens <= 0 || seconds <= 0 {
		a.tokens = 1 // left of a larger share
		return
	}
	// What is above one says how long ago the token was complete.
	rate := tokens / seconds
	since := math.Mod((a.tokens-1)/rate, 1/rate+tokenTTL.Seconds())
	if a.tokens = 1 + since*rate; since > tokenTTL.Seconds() {
		a.tokens = (since - tokenTTL.Seconds()) * rate
	}
}

// shrink limits what is saved up to a smaller share of the allowance.
func (a *account) shrink(now time.Time, p *Pool) {
	a.refill(now, p)
	a.setAllowance(a.allowance, p.share)
	a.tokens = min(a.cap, a.tokens)
}

// take takes a token. Daemons that get none are asked to return one after the other, as tokens come with the
// share that the pool will soon have.
func (a *account) take(now time.Time, expectedShare float64) (retryAfter time.Duration, ok bool) {
	a.lastUsedAt = now
	if a.tokens >= 1 {
		a.tokens--
		a.taken++
		if a.isTiny() {
			a.tokens = 0
		}
		return 0, true
	}
	a.denied++
	rate := a.allowance.Rate*expectedShare - a.leased
	if rate <= 0 {
		return maxTokenWait, false
	}
	if earliest := now.Add(seconds((1 - a.tokens) / rate)); a.nextTokenAt.Before(earliest) {
		a.nextTokenAt = earliest
	} else {
		a.nextTokenAt = a.nextTokenAt.Add(seconds(1 / rate))
	}
	if latest := now.Add(maxTokenWait); a.nextTokenAt.After(latest) {
		a.nextTokenAt = latest
	}
	return max(minTokenWait, a.nextTokenAt.Sub(now)), false
}

// renewedLease is what a renewal and the pool say of a lease.
type renewedLease struct {
	seq, acked uint64
	demand     float64
	until      time.Time
	share      float64
}

// renew renews the lease of a daemon: a part of what is leased in all, by its part of the demand.
func (a *account) renew(now time.Time, l *lease, r renewedLease) (Lease, bool) {
	a.lastUsedAt = now
	a.remove(l)
	if r.acked >= l.seq {
		l.before = l.newest
	} else {
		l.before = l.counted()
	}
	l.seq, l.demand = r.seq, r.demand
	l.newest = a.terms(l, r)
	a.insert(l)
	if l.newest.perSecond == 0 {
		return Lease{}, false
	}
	return Lease{Workspace: a.workspace, PerSecond: l.newest.perSecond, Burst: l.newest.burst}, true
}

// terms returns the new terms of a lease that is not counted in the sums at present.
func (a *account) terms(l *lease, r renewedLease) leaseTerms {
	if l.demand <= 0 || a.allowance.Rate < minLeasedAllowance {
		return leaseTerms{until: r.until}
	}
	part := l.demand / (a.demand + l.demand)
	rate, bursts := a.allowance.Rate*r.share, leaseBursts(a.allowance)*r.share
	burst := min(max(1, min(l.demand*burstTime.Seconds(), part*bursts)), bursts-a.bursts)
	perSecond := min(a.worthLeasing(burst)*min(part*rate*leasableShare, l.demand*usefulRate(burst)), rate-a.leased)
	if perSecond < minLease || burst < 1 {
		return leaseTerms{until: r.until}
	}
	return leaseTerms{perSecond: perSecond, burst: burst, until: r.until}
}

// usefulRate is how much of the demand of a daemon is worth leasing. Requests come unevenly: a lease
// that can save up little goes unused for much of the time if it covers all of them.
func usefulRate(burst float64) float64 {
	return min(maxUsefulRate, minUsefulRate+usefulRatePerBurst*(burst-1))
}

// worthLeasing is how much of a lease is granted, as a share of it. While little is left, daemons get
// tokens in the place of leases that can save up little, since these go unused for some of the time.
func (a *account) worthLeasing(burst float64) float64 {
	scarcity := 1 - min(1, max(0, a.tokens)/max(1, scarceLevel*a.cap))
	used := min(1, max(0, burst-1)/(fullBurst-1))
	return 1 - scarcity*(1-used)
}

func (a *account) insert(l *lease) {
	c := l.counted()
	a.leases[l] = true
	a.leased, a.bursts, a.demand = a.leased+c.perSecond, a.bursts+c.burst, a.demand+l.demand
	for _, t := range []leaseTerms{l.newest, l.before} {
		if !t.until.IsZero() && (a.expiresAt.IsZero() || t.until.Before(a.expiresAt)) {
			a.expiresAt = t.until
		}
	}
}

func (a *account) remove(l *lease) {
	if !a.leases[l] {
		return
	}
	c := l.counted()
	delete(a.leases, l)
	a.leased, a.bursts, a.demand = max(0, a.leased-c.perSecond), max(0, a.bursts-c.burst), max(0, a.demand-l.demand)
}

// expire ends leases that were not renewed.
func (a *account) expire(now time.Time) {
	if a.expiresAt.IsZero() || now.Before(a.expiresAt) {
		return
	}
	a.expiresAt, a.leased, a.bursts, a.demand = time.Time{}, 0, 0, 0
	defer func() {
		if earliest := now.Add(expiryInterval); !a.expiresAt.IsZero() && a.expiresAt.Before(earliest) {
			a.expiresAt = earliest
		}
	}()
	for l := range a.leases {
		if !now.Before(l.before.until) {
			l.before = leaseTerms{}
		}
		if !now.Before(l.newest.until) {
			l.newest = leaseTerms{}
		}
		if l.newest.until.IsZero() && l.before.until.IsZero() {
			delete(a.leases, l)
			continue
		}
		a.insert(l)
	}
}

// isUnused reports whether the account says no more than a new one would.
func (a *account) isUnused(now time.Time) bool {
	return len(a.leases) == 0 && a.tokens >= a.cap && now.Sub(a.lastUsedAt) > accountTTL
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

package quota

import (
	"math/rand/v2"
	"time"

	"catkinstep/core/version/space"
)

const (
	// demandWindow is the time over which a daemon averages what its callers ask for.
	demandWindow = 2 * time.Second
	// minDemand is the rate from which a demand is reported, in requests per second. With less a lease
	// costs more messages than tokens.
	minDemand = 4.0
	// minRetryAfter and retrySpread bound the time after which a refused caller should retry.
	// The spread keeps the callers of a workspace from returning within one second.
	minRetryAfter = 200 * time.Millisecond
	retrySpread   = time.Second
	// unknownSpread is the same for callers that were refused since no pool answered. Another one usually
	// does after a second at most.
	unknownSpread = 300 * time.Millisecond
	// maxReturned is how many returned tokens of a workspace are kept.
	maxReturned = 64
)

// Verdict is what a Limiter decides about a request.
type Verdict int

// Verdicts of a Limiter.
const (
	Refused Verdict = iota
	Admitted
	// AskPool means that only a pool knows, and Unknown that none answered a moment ago.
	AskPool
	Unknown
)

// Token allows one attempt of a request.
type Token struct {
	// Until is when it ends; zero if the workspace has no allowance.
	Until time.Time
}

// Valid reports whether the token may be used.
func (t Token) Valid(now time.Time) bool { return t.Until.IsZero() || now.Before(t.Until) }

// Limiter holds the leases of one daemon, and decides on the requests that it sends to servers. It is
// not safe for concurrent use.
type Limiter struct {
	random     *rand.Rand
	workspaces map[string]*holding
}

// holding is what a daemon has of the allowance of a workspace.
type holding struct {
	total  Total
	demand meanRate
	// sends and reportedRefused are for the next report.
	sends           Sends
	reportedRefused int
	// leases are by the incarnation of the pool. tokens is what is saved up from them since refilledAt.
	leases     map[uint64]heldLease
	tokens     float64
	refilledAt time.Time
	// returned are the ends of tokens that were not used.
	returned []time.Time
	// deniedUntil is the time until which pools need not be asked, and unanswered is set if none
	// answered.
	deniedUntil time.Time
	unanswered  bool
}

type heldLease struct {
	leaseTerms
	since time.Time
}

// NewLimiter returns a Limiter that holds nothing.
func NewLimiter(seed uint64) *Limiter {
	return &Limiter{random: rand.New(rand.NewPCG(seed, 41)), workspaces: map[string]*holding{}}
}

// Ask counts a request of a caller, whatever becomes of it.
func (l *Limiter) Ask(now time.Time, w space.Workspace) {
	if w.Allowance.Limited() {
		l.holding(w.Name).total.Asked++
		l.AskFor(now, w)
	}
}

// AskFor counts a request for which another daemon asks.
func (l *Limiter) AskFor(now time.Time, w space.Workspace) { l.holding(w.Name).demand.add(now, 1) }

// Take takes a token for an attempt of a request. If it refuses, it returns the time after which a
// retry is probably admitted.
func (l *Limiter) Take(now time.Time, w space.Workspace) (t Token, v Verdict, retryAfter time.Duration) {
	if !w.Allowance.Limited() {
		return Token{}, Admitted, 0
	}
	t, v, wait := l.TakeFor(now, w)
	switch v {
	case Refused:
		retryAfter = l.refuse(l.holding(w.Name), wait)
	case Unknown:
		retryAfter = l.refuseUnknown(l.holding(w.Name), wait)
	case Admitted, AskPool:
	}
	return t, v, retryAfter
}

// TakeFor is like Take for another daemon, which asks again after the time that it returns.
func (l *Limiter) TakeFor(now time.Time, w space.Workspace) (t Token, v Verdict, wait time.Duration) {
	h := l.holding(w.Name)
	if t, ok := h.takeReturned(now); ok {
		return t, Admitted, 0
	}
	if h.refill(now); h.tokens >= 1 {
		h.tokens--
		return Token{Until: now.Add(tokenTTL)}, Admitted, 0
	}
	wait = h.deniedUntil.Sub(now)
	switch {
	case wait > 0 && h.unanswered:
		return Token{}, Unknown, wait
	case wait > 0:
		return Token{}, Refused, wait
	}
	return Token{}, AskPool, 0
}

// NewToken returns the token that a pool handed out to an attempt that asked at a time.
func NewToken(askedAt time.Time) Token { return Token{Until: askedAt.Add(tokenTTL)} }

// Denied records that no pool had a token, and none will have one for a time. It returns the time
// after which callers should retry.
func (l *Limiter) Denied(now time.Time, w space.Workspace, wait time.Duration) time.Duration {
	l.DeniedFor(now, w, wait)
	return l.refuse(l.holding(w.Name), wait)
}

// DeniedFor is like Denied for another daemon.
func (l *Limiter) DeniedFor(now time.Time, w space.Workspace, wait time.Duration) {
	h := l.holding(w.Name)
	h.deniedUntil, h.unanswered = now.Add(wait), false
}

// Unanswered records that no pool answered, and none need be asked for a time. It returns the time after which
// callers should retry; the daemon's own share is of use after another time.
func (l *Limiter) Unanswered(now time.Time, w space.Workspace, wait, ownShareIn time.Duration) time.Duration {
	h := l.holding(w.Name)
	h.deniedUntil, h.unanswered = now.Add(wait), true
	return l.refuseUnknown(h, max(wait, ownShareIn))
}

func (l *Limiter) refuseUnknown(h *holding, wait time.Duration) time.Duration {
	h.total.Refused++
	return max(minRetryAfter, wait) + time.Duration(l.random.Float64()*float64(unknownSpread))
}

func (l *Limiter) refuse(h *holding, wait time.Duration) time.Duration {
	h.total.Refused++
	return max(minRetryAfter, wait) + time.Duration(l.random.Float64()*float64(retrySpread))
}

// Return gives back a token that was not used, or whose attempt certainly did not run.
func (l *Limiter) Return(now time.Time, w space.Workspace, t Token) {
	if !w.Allowance.Limited() || t.Until.IsZero() || !t.Valid(now) {
		return
	}
	if h := l.holding(w.Name); len(h.returned) < maxReturned {
		h.returned = append(h.returned, t.Until)
	}
}

// SetLeases replaces the leases of a pool by those that it granted to a renewal that was sent at a time.
func (l *Limiter) SetLeases(now, sentAt time.Time, g Grant) {
	until := sentAt.Add(g.TTL)
	granted := map[string]Lease{}
	for _, lease := range g.Leases {
		granted[lease.Workspace] = lease
		l.holding(lease.Workspace)
	}
	for name, h := range l.workspaces {
		lease, ok := granted[name]
		if _, held := h.leases[g.Pool]; !held && !ok {
			continue
		}
		h.refill(now)
		delete(h.leases, g.Pool)
		if ok {
			h.leases[g.Pool] = heldLease{since: now, leaseTerms: leaseTerms{perSecond: lease.PerSecond, burst: lease.Burst, until: until}}
		}
		h.tokens = min(h.tokens, h.burst(now))
	}
}

// Demands returns what the daemon's callers ask for, and the workspaces of its leases.
func (l *Limiter) Demands(now time.Time) []Demand {
	var out []Demand
	for name, h := range l.workspaces {
		if rate := h.demand.at(now); rate >= minDemand {
			out = append(out, Demand{Workspace: name, PerSecond: rate})
		}
	}
	return out
}

// Prune forgets workspaces that the configuration no longer has.
func (l *Limiter) Prune(exists func(workspace string) bool) {
	for name := range l.workspaces {
		if !exists(name) {
			delete(l.workspaces, name)
		}
	}
}

func (l *Limiter) holding(workspace string) *holding {
	h := l.workspaces[workspace]
	if h == nil {
		h = &holding{demand: meanRate{window: demandWindow}, leases: map[uint64]heldLease{}}
		l.workspaces[workspace] = h
	}
	return h
}

// takeReturned takes a token that was returned in time.
func (h *holding) takeReturned(now time.Time) (Token, bool) {
	for len(h.returned) > 0 {
		t := Token{Until: h.returned[0]}
		h.returned = h.returned[1:]
		if t.Valid(now) {
			return t, true
		}
	}
	return Token{}, false
}

// refill adds what the leases gave until now, or until they ended.
func (h *holding) refill(now time.Time) {
	for pool, lease := range h.leases {
		from, to := later(h.refilledAt, lease.since), now
		if lease.until.Before(now) {
			to = lease.until
			delete(h.leases, pool)
		}
		h.tokens += lease.perSecond * max(0, to.Sub(from).Seconds())
	}
	h.refilledAt = now
	h.tokens = min(h.tokens, h.burst(now))
}

// burst is how much may be saved up at present.
func (h *holding) burst(now time.Time) float64 {
	sum := 0.0
	for _, lease := range h.leases {
		if now.Before(lease.until) {
			sum += lease.burst
		}
	}
	return sum
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

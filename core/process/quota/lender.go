package quota

import (
	"slices"
	"time"
)

const (
	// failingAfter is how long the renewals to a pool get no answer until another one is chosen.
	failingAfter = 300 * time.Millisecond
	// unknownFailingAfter is the same for a pool that has never answered, to which nothing can be lent.
	unknownFailingAfter = 100 * time.Millisecond
	// minRetryInterval is the shortest time between two renewals to a pool.
	minRetryInterval = 50 * time.Millisecond
)

// Lender decides to which pool a daemon lends its share of the allowances. It never lends it to two
// pools at the same time. It is not safe for concurrent use.
type Lender struct {
	daemon      string
	incarnation uint64
	startedAt   time.Time
	daemons     int
	// complete is set once the daemon knows how many daemons there are.
	complete bool
	// isFree is set once no loan of an earlier incarnation can last any more.
	isFree bool
	// lentTo is the incarnation of the pool to which the share is lent until lentUntil.
	lentTo    uint64
	lentUntil time.Time
	seq       uint64 // of the newest renewal
	// pools are the addresses of pools by preference. contacts are by address.
	pools    []string
	contacts map[string]*contact
}

// contact is what is known of a pool.
type contact struct {
	// pool and stamp are those of its newest grant, which arrived at stampedAt.
	pool      uint64
	stamp     time.Duration
	stampedAt time.Time
	// begunAt is when the newest renewal was sent, and isPending is set until it has ended.
	begunAt    time.Time
	isPending  bool
	seq, acked uint64
	// failingSince is when the first renewal was sent that got no answer; zero if the last one got one.
	failingSince time.Time
}

// isFailing reports whether the pool has not answered for a while.
func (c *contact) isFailing(now time.Time) bool {
	after := failingAfter
	if c.pool == 0 {
		after = unknownFailingAfter
	}
	return !c.failingSince.IsZero() && now.Sub(c.failingSince) >= after
}

// isSilent reports whether the pool has not answered the last renewal.
func (c *contact) isSilent() bool { return !c.failingSince.IsZero() }

// NewLender returns a Lender of a daemon that has just started. A later incarnation has a higher number.
func NewLender(now time.Time, daemon string, incarnation uint64) *Lender {
	return &Lender{daemon: daemon, incarnation: incarnation, startedAt: now, daemons: 1, contacts: map[string]*contact{}}
}

// SetDaemons sets the number of daemons that share the allowances. complete is set if all are known:
// a daemon that knows fewer would take its share for a larger one.
func (l *Lender) SetDaemons(n int, complete bool) { l.daemons, l.complete = max(1, n), complete }

// SetPools sets the addresses of the daemons whose pools may be used, the preferred one first.
func (l *Lender) SetPools(addresses []string) {
	l.pools = addresses
	for address := range l.contacts {
		if !slices.Contains(addresses, address) && !l.isLentTo(l.contacts[address]) {
			delete(l.contacts, address)
		}
	}
}

// target is the first pool that is not known to be silent for long.
func (l *Lender) target(now time.Time) string {
	for _, address := range l.pools {
		if !l.contact(address).isFailing(now) {
			return address
		}
	}
	return ""
}

// Due returns the addresses of the pools to which a renewal is to be sent: the one that is used, those
// that are preferred to it, the one from which the share is recalled, and the others once the one that is
// used does not answer.
func (l *Lender) Due(now time.Time) []string {
	target := l.target(now)
	var out []string
	for _, address := range l.pools {
		if l.isDue(now, address, target) {
			out = append(out, address)
		}
		if address == target && !l.contact(address).isSilent() {
			break
		}
	}
	if lent := l.lentAddress(now); lent != "" && lent != target && !slices.Contains(out, lent) && l.isDue(now, lent, target) {
		out = append(out, lent)
	}
	return out
}

func (l *Lender) isDue(now time.Time, address, target string) bool {
	c := l.contact(address)
	interval := RenewInterval(l.daemons)
	if l.complete && !l.isFree {
		interval = freshInterval(l.daemons)
	}
	if address == target && l.loan(now, c) > 0 && !l.isLentTo(c) {
		interval = minRetryInterval
	}
	return !c.isPending && now.Sub(c.begunAt) >= interval
}

// lentAddress is the address of the pool to which the share is lent; empty if there is none.
func (l *Lender) lentAddress(now time.Time) string {
	if !now.Before(l.lentUntil) {
		return ""
	}
	for address, c := range l.contacts {
		if l.isLentTo(c) {
			return address
		}
	}
	return ""
}

// Begin returns the renewal to send to a pool.
func (l *Lender) Begin(now time.Time, address string) Renewal {
	c := l.contact(address)
	l.seq++
	c.seq, c.begunAt, c.isPending = l.seq, now, true
	r := Renewal{Daemon: l.daemon, Incarnation: l.incarnation, Seq: c.seq, Acked: c.acked, Pool: c.pool, Stamp: c.stamp, IsFresh: !l.isFree}
	if address != l.target(now) {
		r.Recall = l.isLentTo(c) && !l.contact(l.target(now)).stampedAt.IsZero()
		return r
	}
	if r.Loan = l.loan(now, c); r.Loan > 0 {
		l.lentTo = c.pool
		l.lentUntil = later(l.lentUntil, c.stampedAt.Add(r.Loan))
	}
	return r
}

// loan is for how long the share may be lent to a pool, from its stamp on; 0 if it may not.
func (l *Lender) loan(now time.Time, c *contact) time.Duration {
	loan := loanTime(l.daemons)
	l.isFree = l.isFree || l.complete && now.Sub(l.startedAt) >= loan
	switch {
	case !l.complete || !l.isFree || c.pool == 0 || !now.Before(c.stampedAt.Add(loan)):
		return 0
	case !l.isLentTo(c) && now.Before(l.lentUntil):
		return 0
	}
	return loan
}

// uses reports whether the share was lent last to the pool at an address.
func (l *Lender) uses(address string) bool {
	c := l.contacts[address]
	return c != nil && l.isLentTo(c)
}

func (l *Lender) isLentTo(c *contact) bool { return c.pool != 0 && c.pool == l.lentTo }

// Answered records a grant. It returns false if the grant does not answer the newest renewal.
func (l *Lender) Answered(now time.Time, address string, g Grant) bool {
	c := l.contact(address)
	if g.Seq != c.seq {
		return false
	}
	c.isPending, c.failingSince = false, time.Time{}
	c.pool, c.stamp, c.stampedAt, c.acked = g.Pool, g.Stamp, now, g.Seq
	until := now.Add(g.LentFor)
	if g.HadLoan && !l.isFree {
		// The loan of the incarnation before lasts on, and there is no other.
		l.lentTo, l.lentUntil = c.pool, until
	}
	l.isFree = l.isFree || g.HadLoan || g.AllFresh
	if l.isLentTo(c) && until.Before(l.lentUntil) {
		l.lentUntil = until
	}
	return true
}

// Failed records that the newest renewal to a pool got no answer.
func (l *Lender) Failed(address string) {
	c := l.contact(address)
	c.isPending = false
	if c.failingSince.IsZero() {
		c.failingSince = c.begunAt
	}
}

// Pools returns the addresses of the pools to ask for tokens: the one to which the share is still lent,
// and the one to which it will be.
func (l *Lender) Pools(now time.Time) []string {
	target, lent := l.target(now), l.lentAddress(now)
	var out []string
	if lent != "" && lent != target && !l.contact(lent).isSilent() {
		out = append(out, lent)
	}
	if target != "" {
		out = append(out, target)
	}
	return out
}

// IsSilent reports whether the pool at an address has not answered the last renewal.
func (l *Lender) IsSilent(address string) bool { return l.contact(address).isSilent() }

// FreeIn is the time until the daemon may lend its share for the first time.
func (l *Lender) FreeIn(now time.Time) time.Duration {
	if l.isFree {
		return 0
	}
	return max(0, l.startedAt.Add(loanTime(l.daemons)).Sub(now))
}

// LentUntil is when the share is no longer lent to any pool.
func (l *Lender) LentUntil() time.Time { return l.lentUntil }

// LentTo is the incarnation of the pool to which the share was lent last; 0 if it never was.
func (l *Lender) LentTo() uint64 { return l.lentTo }

func (l *Lender) contact(address string) *contact {
	c := l.contacts[address]
	if c == nil {
		c = &contact{}
		l.contacts[address] = c
	}
	return c
}

package quota

import (
	"math/rand/v2"
	"time"

	"catkinstep/core/version/space"
)

const (
	// shareTTL is how long a pool uses its count of the loans.
	shareTTL = 25 * time.Millisecond
	// accountTTL is how long after its last use the account of a workspace is forgotten, unless its
	// bucket has not filled yet.
	accountTTL = 10 * time.Second
	// leasableShare is the share of an allowance that is leased. The rest is for daemons without a
	// lease, and for requests that come unevenly.
	leasableShare = 0.5
)

// FindWorkspace returns the workspace with a name.
type FindWorkspace func(name string) (space.Workspace, bool)

// Pool hands out what daemons have lent to it. It is not safe for concurrent use.
type Pool struct {
	incarnation uint64
	startedAt   time.Time
	random      *rand.Rand
	daemons     int
	complete    bool
	members     map[string]*member // by daemon
	accounts    map[string]*account
	// share is the share of all daemons whose loans last for tokenTTL, and leaseShare that of those
	// whose loans last longer than a lease. They were counted at countedAt.
	share, leaseShare float64
	countedAt         time.Time
	// renewing is the share of the daemons that have renewed lately, whether they lend or will soon.
	renewing float64
	// lent is the sum of share over time, in seconds, and unused is how much of it a bucket holds
	// from which nothing was taken.
	lent, unused float64
	prunedAt     time.Time
}

// member is a daemon that renews.
type member struct {
	incarnation, seq uint64
	renewedAt        time.Time
	// startedAt is when the first renewal of this incarnation arrived, and freshAt is the newest stamp after
	// which the daemon said that it had lent nothing since its start; negative if it has.
	startedAt time.Time
	freshAt   time.Duration
	// isFree is set once it is known that nothing which its incarnation before lent can be in use.
	isFree bool
	// lentBy is the incarnation whose loan lasts until lentUntil.
	lentBy    uint64
	lentUntil time.Time
	// leases are those of this incarnation, by workspace.
	leases map[string]*lease
}

// NewPool returns a Pool to which nothing is lent. Its incarnation must differ from those of other pools.
func NewPool(now time.Time, incarnation uint64) *Pool {
	return &Pool{incarnation: incarnation, startedAt: now, random: rand.New(rand.NewPCG(incarnation, 47)),
		daemons: 1, countedAt: now, members: map[string]*member{}, accounts: map[string]*account{}}
}

// SetDaemons sets the number of daemons that share the allowances. complete is set if all are known: until
// then the pool hands out nothing, since it would take its share for a larger one.
func (p *Pool) SetDaemons(now time.Time, n int, complete bool) {
	if n = max(1, n); n != p.daemons || complete != p.complete {
		p.daemons, p.complete = n, complete
		p.count(now)
	}
}

// Share is the share of the allowances that is lent to the pool.
func (p *Pool) Share(now time.Time) float64 {
	p.refreshShare(now)
	return p.share
}

// HasLoansOfOthers reports whether any other daemon lends its share to this pool.
func (p *Pool) HasLoansOfOthers(now time.Time, self string) bool {
	for name, m := range p.members {
		if name != self && now.Before(m.lentUntil) {
			return true
		}
	}
	return false
}

// Renew records what a daemon lends, and grants it leases. It returns false for a renewal that was
// overtaken by a later one.
func (p *Pool) Renew(now time.Time, r Renewal, find FindWorkspace) (Grant, bool) {
	m := p.members[r.Daemon]
	if m == nil {
		m = &member{incarnation: r.Incarnation, leases: map[string]*lease{}}
		p.members[r.Daemon] = m
	}
	if r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Seq <= m.seq {
		return Grant{}, false
	}
	if r.Incarnation > m.incarnation {
		p.dropLeases(now, m)
		m.incarnation, m.startedAt, m.isFree = r.Incarnation, time.Time{}, false
	}
	m.record(now, r, p.incarnation)
	grant := Grant{Seq: r.Seq, Pool: p.incarnation, Stamp: now.Sub(p.startedAt), HadLoan: now.Before(m.lentUntil) && m.lentBy != r.Incarnation, TTL: leaseTime(p.daemons)}
	p.recordLoan(now, m, r)
	p.refreshShare(now)
	p.prune(now, find)
	if r.Recall {
		p.endLoan(now, m)
	}
	if r.IsFresh && !m.isFree && p.areAllFresh(now) {
		for _, other := range p.members {
			other.isFree = true
		}
	}
	grant.AllFresh = m.isFree
	grant.LentFor = max(0, m.lentUntil.Sub(now))
	for _, d := range r.Demands {
		if w, ok := find(d.Workspace); ok && w.Allowance.Limited() {
			if l, leased := p.grantLease(now, m, r, w, d.PerSecond); leased {
				grant.Leases = append(grant.Leases, l)
			}
		}
	}
	return grant, true
}

// record records what a renewal says of the daemon itself.
func (m *member) record(now time.Time, r Renewal, pool uint64) {
	m.seq, m.renewedAt = r.Seq, now
	if m.startedAt.IsZero() {
		m.startedAt, m.freshAt = now, 0
	}
	switch {
	case !r.IsFresh:
		m.freshAt = -1
	case r.Pool == pool:
		m.freshAt = r.Stamp
	}
}

// areAllFresh reports whether each daemon had lent nothing since its start at a time when all of them had
// started. A stamp proves that a renewal was sent after it.
func (p *Pool) areAllFresh(now time.Time) bool {
	if !p.complete || len(p.members) != p.daemons {
		return false
	}
	started := time.Duration(0)
	for _, m := range p.members {
		started = max(started, m.startedAt.Sub(p.startedAt))
	}
	for _, m := range p.members {
		if m.freshAt < started || now.Sub(m.renewedAt) > leaseTime(p.daemons) {
			return false
		}
	}
	return true
}

// recordLoan records a loan. A stamp of an earlier incarnation of the pool says nothing about its clock.
func (p *Pool) recordLoan(now time.Time, m *member, r Renewal) {
	if r.Loan <= 0 || r.Pool != p.incarnation {
		return
	}
	until := p.startedAt.Add(r.Stamp + r.Loan)
	if until.Before(m.lentUntil) {
		return
	}
	if now.Before(m.lentUntil) {
		m.lentUntil, m.lentBy = until, r.Incarnation
		return
	}
	p.count(now) // until now without this loan
	m.lentUntil, m.lentBy = until, r.Incarnation
	p.count(now)
}

// endLoan gives a share back, once the tokens and the leases that were handed out have ended.
func (p *Pool) endLoan(now time.Time, m *member) {
	inUse := shareTTL + tokenTTL
	if p.hasLeases() {
		inUse += leaseTime(p.daemons)
	}
	if until := now.Add(inUse); until.Before(m.lentUntil) {
		m.lentUntil = until
		p.count(now)
	}
}

func (p *Pool) hasLeases() bool {
	for _, a := range p.accounts {
		if a.leased > 0 {
			return true
		}
	}
	return false
}

func (p *Pool) grantLease(now time.Time, m *member, r Renewal, w space.Workspace, demand float64) (Lease, bool) {
	a := p.account(now, w)
	l := m.leases[w.Name]
	if l == nil {
		l = &lease{}
		m.leases[w.Name] = l
	}
	return a.renew(now, l, renewedLease{seq: r.Seq, acked: r.Acked, demand: demand, until: now.Add(leaseTime(p.daemons)), share: p.leaseShare})
}

// dropLeases ends the leases of an incarnation that has ended.
func (p *Pool) dropLeases(now time.Time, m *member) {
	for workspace, l := range m.leases {
		if a := p.accounts[workspace]; a != nil {
			a.refill(now, p)
			a.remove(l)
		}
	}
	m.leases = map[string]*lease{}
}

// Take hands out a token for a request of a workspace. If there is none, it returns the time until
// there may be one for this daemon.
func (p *Pool) Take(now time.Time, w space.Workspace) (retryAfter time.Duration, ok bool) {
	p.refreshShare(now)
	return p.account(now, w).take(now, max(p.share, p.renewing))
}

// account returns the account of a workspace, with what it has at present.
func (p *Pool) account(now time.Time, w space.Workspace) *account {
	a := p.accounts[w.Name]
	if a == nil {
		a = &account{workspace: w.Name, leases: map[*lease]bool{}, lent: p.lent, refilledAt: now, tokens: p.unused * w.Allowance.Rate}
		if a.setAllowance(w.Allowance, p.share); a.isTiny() {
			a.tokens = -p.random.Float64()
		}
		p.accounts[w.Name] = a
	}
	a.setAllowance(w.Allowance, p.share)
	a.refill(now, p)
	return a
}

func (p *Pool) refreshShare(now time.Time) {
	if now.Sub(p.countedAt) >= shareTTL || now.Before(p.countedAt) {
		p.count(now)
	}
}

// count counts the loans. What is saved up shrinks with the share of the allowance that it comes from.
func (p *Pool) count(now time.Time) {
	lentSince := p.lentSinceCount(now)
	p.lent += lentSince
	p.unused += lentSince
	lent, lentLonger, renewing := 0, 0, 0
	forTokens := now.Add(shareTTL + tokenTTL)
	forLeases := forTokens.Add(leaseTime(p.daemons))
	for _, m := range p.members {
		if !m.lentUntil.Before(forTokens) {
			lent++
		}
		if !m.lentUntil.Before(forLeases) {
			lentLonger++
		}
		if now.Sub(m.renewedAt) < leaseTime(p.daemons) {
			renewing++
		}
	}
	p.renewing = min(1, float64(renewing)/float64(p.daemons))
	if !p.complete {
		lent, lentLonger = 0, 0
	}
	before := p.share
	p.share, p.leaseShare, p.countedAt = min(1, float64(lent)/float64(p.daemons)), min(1, float64(lentLonger)/float64(p.daemons)), now
	if p.share >= before {
		return
	}
	p.unused *= p.share / before
	for _, a := range p.accounts {
		a.shrink(now, p)
	}
}

// lentSinceCount is what was lent since the last count, in seconds of the whole allowance.
func (p *Pool) lentSinceCount(now time.Time) float64 {
	sum := time.Duration(0)
	for _, m := range p.members {
		until := now
		if m.lentUntil.Before(now) {
			until = m.lentUntil
		}
		if until.After(p.countedAt) {
			sum += until.Sub(p.countedAt)
		}
	}
	return min(max(0, now.Sub(p.countedAt).Seconds()), sum.Seconds()/float64(p.daemons))
}

// prune forgets daemons and workspaces that are no longer used.
func (p *Pool) prune(now time.Time, find FindWorkspace) {
	if now.Sub(p.prunedAt) < accountTTL {
		return
	}
	p.prunedAt = now
	for name, m := range p.members {
		if unused := accountTTL + leaseTime(p.daemons); now.Sub(m.lentUntil) > unused && now.Sub(m.renewedAt) > unused {
			p.dropLeases(now, m)
			delete(p.members, name)
		}
	}
	for name, a := range p.accounts {
		a.refill(now, p)
		if _, exists := find(name); !exists || a.isUnused(now) {
			delete(p.accounts, name)
		}
	}
}

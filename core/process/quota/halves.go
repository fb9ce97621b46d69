package quota

import (
	"slices"
	"time"

	"catkinstep/core/version/space"
)

// halves is into how many parts all allowances are divided. Each part has pools and loans of its own, and
// another preferred pool: what the loss of one pool leaves covers the usual load until its loans have ended.
const halves = 2

// Target is a pool: that of one half at the daemon with an address.
type Target struct {
	Address string
	Half    int
}

// Lenders decide to which pools a daemon lends its shares of the halves.
type Lenders struct {
	lenders [halves]*Lender
	turn    int // the half whose pools were asked first; it begins with another one for each daemon
}

// NewLenders returns the Lenders of a daemon that has just started. A later incarnation has a higher number.
func NewLenders(now time.Time, daemon string, incarnation uint64) *Lenders {
	l := &Lenders{turn: int(incarnation % halves)}
	for half := range halves {
		l.lenders[half] = NewLender(now, daemon, incarnation)
	}
	return l
}

// SetDaemons sets the number of daemons that share the allowances; see Lender.SetDaemons.
func (l *Lenders) SetDaemons(n int, complete bool) {
	for _, lender := range l.lenders {
		lender.SetDaemons(n, complete)
	}
}

// SetPools sets the addresses of the daemons whose pools may be used. Each half prefers another one of the
// first two: the one to which it is lent already, if that is one of them.
func (l *Lenders) SetPools(addresses []string) {
	first, second := addresses, slices.Clone(addresses)
	if len(second) > 1 {
		second[0], second[1] = second[1], second[0]
		if l.lenders[1].uses(addresses[0]) || l.lenders[0].uses(addresses[1]) {
			first, second = second, first
		}
	}
	l.lenders[0].SetPools(first)
	l.lenders[1].SetPools(second)
}

// Due returns the pools to which a renewal is to be sent.
func (l *Lenders) Due(now time.Time) []Target {
	var out []Target
	for half, lender := range l.lenders {
		for _, address := range lender.Due(now) {
			out = append(out, Target{Address: address, Half: half})
		}
	}
	return out
}

// Begin returns the renewal to send to a pool.
func (l *Lenders) Begin(now time.Time, t Target) Renewal {
	r := l.lenders[t.Half].Begin(now, t.Address)
	r.Half = t.Half
	return r
}

// Answered records a grant. It returns false if the grant does not answer the newest renewal.
func (l *Lenders) Answered(now time.Time, t Target, g Grant) bool {
	return l.lenders[t.Half].Answered(now, t.Address, g)
}

// Failed records that the newest renewal to a pool got no answer.
func (l *Lenders) Failed(t Target) { l.lenders[t.Half].Failed(t.Address) }

// IsSilent reports whether a pool has not answered the last renewal.
func (l *Lenders) IsSilent(t Target) bool { return l.lenders[t.Half].IsSilent(t.Address) }

// Pools returns the addresses of the pools to ask for tokens. The halves come first by turns, so that
// neither is used up while the other has plenty.
func (l *Lenders) Pools(now time.Time) []string {
	l.turn = (l.turn + 1) % halves
	var out []string
	for i := range halves {
		for _, address := range l.lenders[(l.turn+i)%halves].Pools(now) {
			if !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	return out
}

// FreeIn is the time until the daemon may lend a share for the first time.
func (l *Lenders) FreeIn(now time.Time) time.Duration {
	return l.lenders[0].FreeIn(now)
}

// Of returns the Lender of a half.
func (l *Lenders) Of(half int) *Lender { return l.lenders[half] }

// Pools are the pools of both halves at one daemon.
type Pools struct{ pools [halves]*Pool }

// NewPools returns Pools to which nothing is lent. Their incarnation must differ from those of other daemons.
func NewPools(now time.Time, incarnation uint64) *Pools {
	p := &Pools{}
	for half := range halves {
		p.pools[half] = NewPool(now, incarnation*halves+uint64(half))
	}
	return p
}

// SetDaemons sets the number of daemons that share the allowances; see Pool.SetDaemons.
func (p *Pools) SetDaemons(now time.Time, n int, complete bool) {
	for _, pool := range p.pools {
		pool.SetDaemons(now, n, complete)
	}
}

// Share is the share of the allowances that is lent to this daemon.
func (p *Pools) Share(now time.Time) float64 {
	sum := 0.0
	for _, pool := range p.pools {
		sum += pool.Share(now)
	}
	return sum / halves
}

// HasLoansOfOthers reports whether any other daemon lends a share to this one.
func (p *Pools) HasLoansOfOthers(now time.Time, self string) bool {
	return slices.ContainsFunc(p.pools[:], func(pool *Pool) bool { return pool.HasLoansOfOthers(now, self) })
}

// Renew records what a daemon lends, and grants it leases; see Pool.Renew.
func (p *Pools) Renew(now time.Time, r Renewal, find FindWorkspace) (Grant, bool) {
	if r.Half < 0 || r.Half >= halves {
		return Grant{}, false
	}
	demands := make([]Demand, len(r.Demands))
	for i, d := range r.Demands {
		demands[i] = Demand{Workspace: d.Workspace, PerSecond: d.PerSecond / halves}
	}
	return p.pools[r.Half].Renew(now, r.WithDemands(demands), func(name string) (space.Workspace, bool) {
		w, ok := find(name)
		return halved(w), ok
	})
}

// halved returns a workspace with half of its allowance.
func halved(w space.Workspace) space.Workspace {
	w.Allowance.Rate, w.Allowance.Burst = w.Allowance.Rate/halves, w.Allowance.Burst/halves
	return w
}

// Take hands out a token for a request of a workspace. If there is none, it returns the time until there
// may be one for this daemon.
func (p *Pools) Take(now time.Time, w space.Workspace) (retryAfter time.Duration, ok bool) {
	w = halved(w)
	for _, pool := range p.pools {
		if pool.Share(now) == 0 {
			continue
		}
		wait, granted := pool.Take(now, w)
		if granted {
			return 0, true
		}
		if retryAfter == 0 || wait < retryAfter {
			retryAfter = wait
		}
	}
	return max(minTokenWait, retryAfter), false
}

// TakeReport returns the usages of both halves together; see Pool.TakeReport.
func (p *Pools) TakeReport(n int, seconds float64) []Usage {
	var out []Usage
	for _, pool := range p.pools {
		for _, u := range pool.TakeReport(n, seconds) {
			u.Allowance.Rate, u.Allowance.Burst, u.Share = u.Allowance.Rate*halves, u.Allowance.Burst*halves, u.Share/halves
			i := slices.IndexFunc(out, func(other Usage) bool { return other.Workspace == u.Workspace })
			if i < 0 {
				out = append(out, u)
				continue
			}
			out[i] = out[i].with(u)
		}
	}
	return out[:min(n, len(out))]
}

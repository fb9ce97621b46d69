package carry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxTargets is how many daemons of the own data centre, and how many others, are asked. It bounds
	// the connections of a site on which a whole data centre is cut off.
	maxTargets = 4
	// answerTTL is how long a daemon that agreed is used without another answer.
	answerTTL = 700 * time.Millisecond
	// retryDelay is how long a daemon is left alone after it declined or did not answer.
	retryDelay = time.Second
	// remoteCost is how many more requests a daemon of the own data centre carries than another one
	// before that is preferred.
	remoteCost = 4
	// maxInFlight bounds the requests that one daemon carries for another at a time.
	maxInFlight = 128
)

// Peer is another daemon.
type Peer struct {
	Address string
	// Local is set if it is in the own data centre.
	Local bool
}

// Peers are the daemons that may carry requests. It is not safe for concurrent use.
type Peers struct {
	self   string
	states map[string]*state // by address
}

type state struct {
	Peer
	agreedAt   time.Time
	declinedAt time.Time
	inFlight   int
}

// New returns Peers of a daemon that has asked nobody yet.
func New(self string) *Peers { return &Peers{self: self, states: map[string]*state{}} }

// Targets returns the addresses of the candidates to ask now. Each daemon asks others, so that the
// requests of many are spread evenly.
func (p *Peers) Targets(now time.Time, candidates []Peer) []string {
	p.forget(now, candidates)
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Peer) int { return cmp.Compare(p.weight(a), p.weight(b)) })
	var out []string
	local, remote := 0, 0
	for _, c := range sorted {
		count := &remote
		if c.Local {
			count = &local
		}
		if *count >= maxTargets || now.Sub(p.stateOf(c).declinedAt) < retryDelay {
			continue
		}
		*count++
		out = append(out, c.Address)
	}
	return out
}

func (p *Peers) weight(c Peer) uint64 { return xxhash.Sum64String(p.self + " " + c.Address) }

// forget drops the daemons that are no candidates any more.
func (p *Peers) forget(now time.Time, candidates []Peer) {
	for address, st := range p.states {
		if st.inFlight == 0 && now.Sub(st.agreedAt) > answerTTL && !slices.Contains(candidates, st.Peer) {
			delete(p.states, address)
		}
	}
}

func (p *Peers) stateOf(c Peer) *state {
	st := p.states[c.Address]
	if st == nil {
		st = &state{Peer: c}
		p.states[c.Address] = st
	}
	return st
}

// RecordAnswer records whether a daemon carries requests. One that did not answer does not.
func (p *Peers) RecordAnswer(now time.Time, address string, willing bool) {
	st := p.states[address]
	switch {
	case st == nil:
	case willing:
		st.agreedAt, st.declinedAt = now, time.Time{}
	default:
		st.agreedAt, st.declinedAt = time.Time{}, now
	}
}

// Choose returns a daemon that has agreed just now, except those that were tried already.
func (p *Peers) Choose(now time.Time, tried []string) (Peer, bool) {
	var best *state
	for _, st := range p.states {
		if now.Sub(st.agreedAt) >= answerTTL || st.inFlight >= maxInFlight || slices.Contains(tried, st.Address) {
			continue
		}
		if best == nil || p.prefer(st, best) {
			best = st
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return best.Peer, true
}

func (p *Peers) prefer(a, b *state) bool {
	if costA, costB := a.cost(), b.cost(); costA != costB {
		return costA < costB
	}
	return p.weight(a.Peer) < p.weight(b.Peer)
}

func (st *state) cost() int {
	if st.Local {
		return st.inFlight
	}
	return st.inFlight + remoteCost
}

// Begin records that a request is sent to a daemon, and End that it has ended.
func (p *Peers) Begin(address string) { p.add(address, 1) }

// End records the end of a request that began.
func (p *Peers) End(address string) { p.add(address, -1) }

// InFlight returns the number of requests that a daemon carries.
func (p *Peers) InFlight(address string) int {
	if st := p.states[address]; st != nil {
		return st.inFlight
	}
	return 0
}

func (p *Peers) add(address string, n int) {
	if st := p.states[address]; st != nil {
		st.inFlight += n
	}
}

// Any reports whether a daemon has agreed just now.
func (p *Peers) Any(now time.Time) bool { _, ok := p.Choose(now, nil); return ok }

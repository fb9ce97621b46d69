package pick

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	smoothing = 0.2
	// startLatency is assumed of a server that was never asked.
	startLatency = 5 * time.Millisecond
	// farPenalty is the price of a server in another data centre.
	farPenalty = 2 * time.Millisecond
	// failureTime is how long a failure counts against a server.
	failureTime = time.Second
	// samples is how many latencies the hedge delay is drawn from.
	samples = 256
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Answered Outcome = iota
	Refused
	Failed
)

// Candidate is a server that may be chosen.
type Candidate struct {
	Address string
	Far     bool
}

// Picker holds what this entry host measured.
type Picker struct {
	random  *rand.Rand
	servers map[string]*measured
	recent  map[string]*ring
}

type measured struct {
	latency time.Duration
	waiting uint32
	running []time.Time
	failed  time.Time
}

type ring struct {
	values []time.Duration
	next   int
	sorted []time.Duration
	stale  int
}

// New returns a Picker that has measured nothing.
func New(seed uint64) *Picker {
	return &Picker{random: rand.New(rand.NewPCG(seed, 17)), servers: map[string]*measured{}, recent: map[string]*ring{}}
}

// Choose returns the better of two candidates drawn at random, leaving out
// those in not as long as there are others; "" when there is none at all.
func (p *Picker) Choose(now time.Time, from []Candidate, not []string) string {
	left := slices.DeleteFunc(slices.Clone(from), func(c Candidate) bool { return slices.Contains(not, c.Address) })
	if len(left) == 0 {
		left = from
	}
	if len(left) == 0 {
		return ""
	}
	a := p.random.IntN(len(left))
	if len(left) == 1 {
		return left[a].Address
	}
	b := (a + 1 + p.random.IntN(len(left)-1)) % len(left)
	if p.cost(now, left[b]) < p.cost(now, left[a]) {
		a = b
	}
	return left[a].Address
}

// Begin notes an attempt under way.
func (p *Picker) Begin(now time.Time, server string) {
	m := p.server(server)
	m.running = append(m.running, now)
}

// End notes the end of an attempt that began at a time.
func (p *Picker) End(now, began time.Time, service, server string, o Outcome, waiting uint32) {
	m := p.server(server)
	if i := slices.Index(m.running, began); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
	}
	m.waiting = waiting
	if o != Answered {
		m.failed = now
		return
	}
	latency := now.Sub(began)
	m.latency += time.Duration(smoothing * float64(latency-m.latency))
	r := p.recent[service]
	if r == nil {
		r = &ring{}
		p.recent[service] = r
	}
	r.add(latency)
}

// HedgeAfter returns how long to wait for an answer before a second server is
// asked: the 95th percentile of late. Zero means that too little is known.
func (p *Picker) HedgeAfter(service string) time.Duration {
	r := p.recent[service]
	if r == nil || len(r.values) < samples/4 {
		return 0
	}
	return r.quantile(0.95)
}

func (p *Picker) server(address string) *measured {
	m := p.servers[address]
	if m == nil {
		m = &measured{latency: startLatency}
		p.servers[address] = m
	}
	return m
}

// cost estimates how long a server would take now. An attempt that is under
// way for longer than the mean raises the estimate at once: a server that has
// just become slow answers nothing that a mean could learn from.
func (p *Picker) cost(now time.Time, c Candidate) time.Duration {
	m := p.server(c.Address)
	latency := m.latency
	if len(m.running) > 0 {
		latency = max(latency, now.Sub(m.running[0]))
	}
	cost := latency * time.Duration(1+len(m.running)+int(m.waiting)/2)
	if c.Far {
		cost += farPenalty
	}
	if now.Sub(m.failed) < failureTime && !m.failed.IsZero() {
		cost += failureTime - now.Sub(m.failed)
	}
	return cost
}

func (r *ring) add(d time.Duration) {
	r.stale++
	if len(r.values) < samples {
		r.values = append(r.values, d)
		return
	}
	r.values[r.next] = d
	r.next = (r.next + 1) % samples
}

// quantile sorts anew only after some more values: it is asked at each lookup.
func (r *ring) quantile(q float64) time.Duration {
	if r.sorted == nil || r.stale > samples/8 {
		r.sorted = slices.Sorted(slices.Values(r.values))
		r.stale = 0
	}
	return r.sorted[int(q*float64(len(r.sorted)-1))]
}

package router

import (
	"math"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
)

const (
	// heatSlow is the weight of the newest second in the lasting rates: with two
	// requests a second at a server, less than ten seconds are mostly chance.
	heatSlow = 0.08
	// heatFew is how many deviations the last seconds must differ by before they
	// count for more than the lasting rate: hot keys come within a second.
	heatFew = 2.0
	// paceTrust is the weight of the guess that a server is as fast as others, in
	// answers.
	paceTrust = 4.0
)

// heats are the leader's counts of requests for keys, over all daemons.
type heats struct {
	services map[string]*heat
	paces    map[string]map[string]pace // by daemon and server
	since    time.Time
}

// heat is one service's counts, by bucket.
type heat struct {
	now, last []float64 // requests in this window and in the one before
	slow      []float64 // requests a second
	work      float64   // slot seconds of all requests
	requests  float64
}

// pace sums up findings of how slow a server is: the factors, each weighted by
// the answers that it was learnt from, and those answers.
type pace struct{ factor, answers float64 }

func (p pace) with(factor, answers float64) pace {
	return pace{factor: p.factor + factor*answers, answers: p.answers + answers}
}

func newHeats() *heats {
	return &heats{services: map[string]*heat{}, paces: map[string]map[string]pace{}}
}

// add takes in what a daemon counted.
func (h *heats) add(daemon string, hail *wire.Hail) {
	for _, x := range hail.Heat {
		h.count(x)
	}
	if len(hail.Paces) == 0 {
		return
	}
	by := map[string]pace{}
	for _, p := range hail.Paces {
		by[p.Server] = pace{}.with(float64(p.Factor), float64(p.Answers))
	}
	h.paces[daemon] = by
}

func (h *heats) count(x *wire.Heat) {
	if x.Bucket >= keeper.Buckets {
		return
	}
	s := h.services[x.Service]
	if s == nil {
		s = &heat{now: make([]float64, keeper.Buckets), last: make([]float64, keeper.Buckets), slow: make([]float64, keeper.Buckets)}
		h.services[x.Service] = s
	}
	s.now[x.Bucket] += float64(x.Requests)
	s.requests += float64(x.Requests)
	s.work += float64(x.WorkMillis) / 1000
}

// roll closes a window and returns each service's load.
func (h *heats) roll(now time.Time) []keeper.LoadMsg {
	took := now.Sub(h.since).Seconds()
	first := h.since.IsZero()
	h.since = now
	if first || took <= 0 {
		return nil
	}
	factors := h.factors()
	var out []keeper.LoadMsg
	for name, s := range h.services {
		out = append(out, keeper.LoadMsg{Service: name, Work: s.roll(took), Factors: factors})
	}
	return out
}

// roll returns the slots that each bucket keeps busy.
func (s *heat) roll(took float64) []float64 {
	mean := s.work / max(1, s.requests)
	out := make([]float64, len(s.now))
	for i, n := range s.now {
		s.slow[i] += heatSlow * (n/took - s.slow[i])
		recent := n + s.last[i]
		spread := heatFew * math.Sqrt(recent)
		least, most := (recent-spread)/(2*took), (recent+spread+heatFew)/(2*took)
		out[i] = mean * max(least, min(most, s.slow[i]))
		s.last[i], s.now[i] = n, 0
	}
	return out
}

// factors are the servers' slowness, as all daemons found it.
func (h *heats) factors() map[string]float64 {
	sums := map[string]pace{}
	for _, by := range h.paces {
		for server, p := range by {
			sum := sums[server]
			sums[server] = pace{factor: sum.factor + p.factor, answers: sum.answers + p.answers}
		}
	}
	out := map[string]float64{}
	for server, p := range sums {
		out[server] = (p.factor + paceTrust) / (p.answers + paceTrust)
	}
	return out
}

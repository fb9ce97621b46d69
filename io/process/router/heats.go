package router

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/rate"
	"catkinstep/core/version/config"
)

// paceTrust is the weight of the guess that a server is as fast as others, in
// answers.
const paceTrust = 4.0

// heats are the leader's counts of requests for keys, over all daemons, and what
// they found of the servers.
type heats struct {
	meter *rate.Meter
	paces map[string]map[string]pace // by daemon and server
}

// pace sums up findings of how slow a server is: the factors, each weighted by
// the answers that it was learnt from, and those answers.
type pace struct{ factor, answers float64 }

func (p pace) with(factor, answers float64) pace {
	return pace{factor: p.factor + factor*answers, answers: p.answers + answers}
}

func newHeats() *heats {
	return &heats{meter: rate.New(keeper.Buckets), paces: map[string]map[string]pace{}}
}

// add takes in what a daemon counted.
func (h *heats) add(daemon string, gossip *wire.Gossip) {
	for _, x := range gossip.Heat {
		h.meter.Add(x.Service, int(x.Bucket), int(x.Requests), millis(x.WorkMillis), millis(x.AimMillis))
	}
	if len(gossip.Paces) == 0 {
		return
	}
	by := map[string]pace{}
	for _, p := range gossip.Paces {
		by[p.Server] = pace{}.with(float64(p.Factor), float64(p.Answers))
	}
	h.paces[daemon] = by
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// roll closes a window and returns each service's load.
func (h *heats) roll(now time.Time, c config.Config) []keeper.LoadMsg {
	factors := h.factors()
	var out []keeper.LoadMsg
	for _, l := range h.meter.Roll(now) {
		service, _ := c.Service(l.Service)
		out = append(out, keeper.LoadMsg{Service: l.Service, Work: l.Slots, Each: l.Each.Seconds(), Aim: l.Aim,
			Factors: factors, ColdRate: service.ColdRate})
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

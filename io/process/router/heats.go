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
	// heard are reports of the servers' queues since the last window.
	heard []keeper.Report
}

// pace sums up findings of how slow a server is: the factors, each weighted by
// the answers that it was learnt from, and those answers.
type pace struct {
	factor, answers float64
	// heard and full are how many answers reported the load, and a long queue.
	heard, full int
}

// newPace is one finding.
func newPace(factor float64, answers, heard, full int) pace {
	return pace{factor: factor * float64(answers), answers: float64(answers), heard: heard, full: full}
}

// paceOf reads what another daemon found.
func paceOf(p *wire.Pace) pace {
	return newPace(float64(p.Factor), int(p.Answers), int(p.Heard), int(p.Full))
}

// with adds other findings.
func (p pace) with(o pace) pace {
	return pace{factor: p.factor + o.factor, answers: p.answers + o.answers, heard: p.heard + o.heard, full: p.full + o.full}
}

// message is the form for other daemons.
func (p pace) message(server string) *wire.Pace {
	out := &wire.Pace{Server: server, Answers: uint32(p.answers), Heard: uint32(p.heard), Full: uint32(p.full)}
	if p.answers > 0 {
		out.Factor = float32(p.factor / p.answers)
	}
	return out
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
		by[p.Server] = paceOf(p)
		if p.Heard > 0 {
			h.heard = append(h.heard, keeper.Report{Server: p.Server, Answers: int(p.Heard), Full: int(p.Full)})
		}
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
			Factors: factors, ColdRate: service.ColdRate, Reports: h.heard})
		h.heard = nil // they are for the holders of all services
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

package router

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/pace"
	"catkinstep/core/process/rate"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// heats are the leader's counts of requests for keys, over all daemons, and what
// they found of the servers.
type heats struct {
	meter *rate.Meter
	paces *pace.Estimator
	// heard are reports of the servers' queues since the last window.
	heard []keeper.QueueReport
}

// found is what daemons found of a server since they last reported.
type found struct {
	pace.Sample
	// heard and full are how many answers reported the load, and a long queue.
	heard, full int
}

// foundOf reads what another daemon found.
func foundOf(p *wire.Pace) found {
	return found{Sample: pace.Sample{Factor: float64(p.Factor), Answers: int(p.Answers)}, heard: int(p.Heard), full: int(p.Full)}
}

// with adds other findings.
func (f found) with(o found) found {
	return found{Sample: f.With(o.Sample), heard: f.heard + o.heard, full: f.full + o.full}
}

// message is the form for other daemons.
func (f found) message(server string) *wire.Pace {
	return &wire.Pace{Server: server, Factor: float32(f.Factor), Answers: uint32(f.Answers), Heard: uint32(f.heard), Full: uint32(f.full)}
}

func newHeats() *heats { return &heats{meter: rate.New(keeper.Buckets), paces: pace.New()} }

// add takes in what a daemon counted.
func (h *heats) add(gossip *wire.Gossip) {
	for _, x := range gossip.Heat {
		h.meter.Add(x.Service, int(x.Bucket), int(x.Requests), millis(x.WorkMillis), millis(x.AimMillis))
	}
	for _, p := range gossip.Paces {
		f := foundOf(p)
		h.paces.Add(p.Server, f.Sample)
		if f.heard > 0 {
			h.heard = append(h.heard, keeper.QueueReport{Server: p.Server, Answers: f.heard, LongQueues: f.full})
		}
	}
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// roll closes a window and returns each service's load.
func (h *heats) roll(now time.Time, c config.Config, f *fleet.Fleet) []keeper.LoadMsg {
	h.paces.Retain(func(server string) bool { _, ok := f.Find(server); return ok })
	factors := h.paces.Factors()
	var out []keeper.LoadMsg
	for _, l := range h.meter.CloseWindow(now) {
		service, _ := c.Service(l.Service)
		out = append(out, keeper.LoadMsg{Service: l.Service, BusySlots: l.BusySlots, RequestSeconds: l.ServiceTime.Seconds(), TargetLatency: l.TargetLatency,
			Slowdowns: factors, ColdRate: service.ColdRate, Reports: h.heard})
		h.heard = nil // they are for the holders of all services
	}
	return out
}

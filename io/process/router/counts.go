package router

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/pace"
)

// countReport is what a daemon's reports of its counts need to know of the last one.
type countReport struct {
	at time.Time
	// relayed are paces of servers that others of the data centre reported since then.
	relayed []*wire.Pace
	// epoch is that of the leader to which the last one went.
	epoch uint64
}

// sendHeat passes on which keys were asked for and how slow servers were, once a
// second: to a relay of the data centre, and from there to the leader, who gets
// one message for each relay and not for each daemon.
func (c *control) sendHeat(now time.Time, relay bool) {
	if now.Sub(c.lastCountReport.at) < loadReportInterval {
		return
	}
	h := c.newGossip(now)
	last := c.lastCountReport
	c.lastCountReport = countReport{at: now, epoch: c.r.current.Load().table.Epoch}
	h.Heat, h.Paces = c.r.takeHeat(last.relayed, c.lastCountReport.epoch != last.epoch)
	if c.keeper != nil {
		c.loadStats.add(h)
		return
	}
	to := c.members.AddressOf(c.r.current.Load().table.Leader.Daemon)
	if relays := c.members.LocalRelays(now); !relay && len(relays) > 0 {
		to = relays[0]
	}
	if to != "" && tellsCounts(h) {
		go c.r.sendGossip(to, h)
	}
}

// tellsCounts tells whether gossip carries counts: of requests, or only of answers.
func tellsCounts(h *wire.Gossip) bool { return len(h.Heat)+len(h.Paces) > 0 }

// takeHeat takes in another daemon's counts: the leader for good, a relay to pass
// them on with its own.
func (c *control) takeHeat(now time.Time, h *wire.Gossip) {
	switch {
	case c.keeper != nil:
		c.loadStats.add(h)
	case tellsCounts(h) && h.DataCentre == c.r.self.DataCentre && c.members.IsRelay(now):
		c.r.addHeat(h.Heat)
		c.lastCountReport.relayed = append(c.lastCountReport.relayed, h.Paces...)
	}
}

// addHeat counts another daemon's requests with this one's.
func (r *Router) addHeat(heat []*wire.Heat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range heat {
		k := bucketKey{service: x.Service, bucket: x.Bucket}
		r.bucketLoads[k] = r.bucketLoads[k].with(x.Requests, millis(x.WorkMillis), millis(x.AimMillis))
	}
}

// takeHeat returns the counts since it last did, and how slow servers were found
// to be meanwhile, here and by others that reported to this daemon. A new leader knows
// nothing and gets all.
func (r *Router) takeHeat(relayed []*wire.Pace, newLeader bool) ([]*wire.Heat, []*wire.Pace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heat []*wire.Heat
	for k, n := range r.bucketLoads {
		heat = append(heat, &wire.Heat{Service: k.service, Bucket: k.bucket, Requests: n.requests,
			WorkMillis: uint32(n.serviceTime.Milliseconds()), AimMillis: uint32(n.latencyTarget.Milliseconds())})
	}
	clear(r.bucketLoads)
	keyed := map[string]bool{}
	for _, s := range r.current.Load().keyed() {
		keyed[s] = true
	}
	sums := map[string]found{}
	for _, p := range relayed {
		sums[p.Server] = sums[p.Server].with(foundOf(p))
	}
	for _, p := range r.spread.TakeStats(newLeader) {
		if v, ok := r.current.Load().fleet.Find(p.Server); ok && keyed[v.Service] {
			f := found{Sample: pace.Sample{Factor: p.Slowdown, Answers: p.Answers}, heard: p.LoadReports, full: p.FullReports}
			sums[p.Server] = sums[p.Server].with(f)
		}
	}
	var paces []*wire.Pace
	for server, f := range sums {
		paces = append(paces, f.message(server))
	}
	return heat, paces
}

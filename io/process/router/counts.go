package router

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/pace"
)

// sendHeat passes on which keys were asked for and how slow servers were, once a
// second: to a head of the data centre, and from there to the leader, who gets
// one message for each head and not for each daemon.
func (c *control) sendHeat(now time.Time, head bool) {
	if now.Sub(c.heated) < heatEvery {
		return
	}
	c.heated = now
	h := c.gossipNow(now)
	epoch := c.r.current.Load().table.Epoch
	h.Heat, h.Paces = c.r.takeHeat(c.relayed, epoch != c.pacedFor)
	c.relayed, c.pacedFor = nil, epoch
	if c.keeper != nil {
		c.heats.add(h)
		return
	}
	to := c.members.AddressOf(c.r.current.Load().table.Leader.Daemon)
	if heads := c.members.Heads(now); !head && len(heads) > 0 {
		to = heads[0]
	}
	if to != "" && len(h.Heat) > 0 {
		go c.r.sendGossip(to, h)
	}
}

// takeHeat takes in another daemon's counts: the leader for good, a head to pass
// them on with its own.
func (c *control) takeHeat(now time.Time, h *wire.Gossip) {
	switch {
	case c.keeper != nil:
		c.heats.add(h)
	case len(h.Heat) > 0 && h.DataCentre == c.r.self.DataCentre && c.members.IsHead(now):
		c.r.addHeat(h.Heat)
		c.relayed = append(c.relayed, h.Paces...)
	}
}

// addHeat counts another daemon's requests with this one's.
func (r *Router) addHeat(heat []*wire.Heat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range heat {
		k := heatKey{service: x.Service, bucket: x.Bucket}
		r.heat[k] = r.heat[k].with(x.Requests, millis(x.WorkMillis), millis(x.AimMillis))
	}
}

// takeHeat returns the counts since it last did, and how slow servers were found
// to be meanwhile, here and by others that reported to this daemon. A new leader knows
// nothing and is told all.
func (r *Router) takeHeat(relayed []*wire.Pace, newLeader bool) ([]*wire.Heat, []*wire.Pace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heat []*wire.Heat
	for k, n := range r.heat {
		heat = append(heat, &wire.Heat{Service: k.service, Bucket: k.bucket, Requests: n.requests,
			WorkMillis: uint32(n.work.Milliseconds()), AimMillis: uint32(n.aim.Milliseconds())})
	}
	clear(r.heat)
	keyed := map[string]bool{}
	for _, s := range r.current.Load().keyed() {
		keyed[s] = true
	}
	sums := map[string]found{}
	for _, p := range relayed {
		sums[p.Server] = sums[p.Server].with(foundOf(p))
	}
	for _, p := range r.spread.TakePaces(newLeader) {
		if v, ok := r.current.Load().fleet.Find(p.Server); ok && keyed[v.Service] {
			f := found{Finding: pace.Finding{Factor: p.Factor, Answers: p.Answers}, heard: p.Heard, full: p.Full}
			sums[p.Server] = sums[p.Server].with(f)
		}
	}
	var paces []*wire.Pace
	for server, f := range sums {
		paces = append(paces, f.message(server))
	}
	return heat, paces
}

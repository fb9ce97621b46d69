package leader

import (
	"math"
	"slices"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

const (
	// leastSlack is the share above the mean that is not worth a move.
	leastSlack = 0.05
	// mostNoise is the share of chance in the loads beyond which shards are spread
	// by their number alone.
	mostNoise = 0.25
	// loadMemory is about how long the smoothed loads reach back.
	loadMemory = 10 * time.Second
)

// shards moves the ownership of shards towards what is wanted.
func (p *plan) shards() {
	if p.HomesVersion < p.t.HomesSeen {
		return // the homes known here are older than what the table builds on
	}
	if p.Homes.Floors[p.dataCentre] != p.t.Epoch {
		// A leader before us, paused since, could still wake and give away what
		// we assign here. Once the homes carry our epoch it finds itself replaced.
		return
	}
	for _, v := range p.Site.Services {
		row, ok := p.Homes.Rows[v.Name]
		if !ok {
			continue
		}
		p.ensureRow(v, len(row))
		for s := range row {
			p.settleHome(v, s)
		}
		p.moveOwners(v)
	}
}

func (p *plan) ensureRow(v site.Service, shards int) {
	var servers []string
	for _, s := range p.myServers() {
		if s.Service == v.Name {
			servers = append(servers, s.Address)
		}
	}
	have, ok := p.t.Rows[v.Name]
	if ok && !slices.ContainsFunc(servers, func(s string) bool { return !slices.Contains(have.Servers, s) }) {
		return
	}
	p.t.EnsureRow(v.Name, shards, servers)
	p.changed = true
}

// settleHome handles the shards that come, go, or are gone.
func (p *plan) settleHome(v site.Service, s int) {
	r := p.t.Rows[v.Name]
	owned := r.Owner[s] != shard.None
	switch {
	case !p.home(v.Name, s):
		if owned || r.Leaving[s] {
			r.Owner[s], r.Leaving[s] = shard.None, false
			r.Source[s] = shard.None
			p.changed = true
		}
	case !p.staying(v.Name, s):
		if r.Leaving[s] {
			return
		}
		if owned && !p.mayMove(v, r.Servers[r.Owner[s]], uint32(s)) {
			return
		}
		from, was := lastLedger(p.Table, p.Homes, v.Name, uint32(s))
		p.t.Leave(v.Name, uint32(s), from, was)
		p.changed = true
	case r.Leaving[s] && p.HomesVersion > p.tried:
		r.Leaving[s] = false
		p.changed = true
	}
}

// awaitsIDs tells whether a server that works well is still without ids of before,
// which a paused daemon may bring. They are looked for where its dispatcher knows
// of them; shards that merely even out the loads would leave that trail.
func (p *plan) awaitsIDs(address string) bool {
	r := p.report(p.Table.Dispatches[address].Daemon, address)
	return r != nil && r.IdsMissing && r.State == wire.ServerState_SERVER_STATE_OK &&
		!p.Site.HostOut(address) && !p.Site.DataCentreOut(p.dataCentre)
}

// forming tells whether this leader has begun just now, and knows its servers
// from their first reports only.
func (p *plan) forming() bool { return p.now.Sub(p.since) < p.formFor }

// unheard tells whether a server of a service has not been reported on yet.
func (p *plan) unheard(service string) bool {
	return slices.ContainsFunc(p.myServers(), func(v site.Server) bool {
		r := p.report(p.t.Dispatches[v.Address].Daemon, v.Address)
		return v.Service == service && (r == nil || r.State == wire.ServerState_SERVER_STATE_STARTING)
	})
}

func (p *plan) moveOwners(v site.Service) {
	if !p.anyOwned(v.Name) && p.now.Sub(p.since) < p.formFor/4 && p.unheard(v.Name) {
		return // else the first to be heard of gets all shards, and gives most away again
	}
	want := p.wantedOwners(v)
	for s, to := range want {
		r := p.t.Rows[v.Name]
		if !p.home(v.Name, s) || !p.staying(v.Name, s) || r.Leaving[s] || to == r.Owner[s] || to == shard.None {
			continue
		}
		if _, ok := p.Table.Dispatches[r.Servers[to]]; !ok {
			continue // its dispatcher comes first
		}
		if r.Owner[s] != shard.None {
			owner := r.Servers[r.Owner[s]]
			if p.awaitsIDs(owner) || !p.mayMove(v, owner, uint32(s)) {
				continue
			}
		}
		from, was := lastLedger(p.Table, p.Homes, v.Name, uint32(s))
		p.t.Assign(v.Name, uint32(s), to, from, was, p.Homes, p.HomesVersion)
		p.changed = true
	}
}

// lastLedger names where a shard's ids are: here or, for a shard that came home
// and was never assigned since, where it came from. Forgetting the latter when
// such a shard goes on to yet another home would let its ids run again there.
//
// The home counts its changes, since a leader may have missed that a shard which
// it gave away has come back: what it remembers is then of before, and bookings
// that ran elsewhere meanwhile would run again.
func lastLedger(t table.Table, h shard.Homes, service string, s uint32) (from shard.Ledger, was uint64) {
	if r := t.Rows[service]; int(s) < len(r.Moved) && h.Moves(service, s) > r.Moved[s] {
		return h.Source(service, s)
	}
	if from, was = t.LastLedger(service, s); from != (shard.Ledger{}) {
		return from, was
	}
	return h.Source(service, s)
}

// wantedOwners plans anew only when the servers' weights or the shards at home
// change, or when it is time to even out the loads: a plan that followed every
// wobble of the loads would ask for releases and take them back.
func (p *plan) wantedOwners(v site.Service) []int {
	r := p.t.Rows[v.Name]
	weights := p.weights(v, r.Servers)
	mine := make([]bool, len(r.Owner))
	for s := range mine {
		mine[s] = p.home(v.Name, s) && p.staying(v.Name, s)
	}
	w := p.want[v.Name]
	if w == nil || len(w.loads) != len(r.Owner) {
		w = &wish{loads: make([]float64, len(r.Owner)), counted: make([]float64, len(r.Owner)), balanced: p.now}
		p.want[v.Name] = w
	}
	due := p.now.Sub(w.balanced) >= p.balanceEvery
	if due {
		w.fold(p.now.Sub(w.balanced))
		w.balanced = p.now
	}
	if !due && slices.Equal(weights, w.weights) && slices.Equal(mine, w.mine) {
		return w.owner
	}
	moves, slack, noise := 0, 0.0, w.noise(weights)
	if slices.Equal(weights, w.weights) && slices.Equal(mine, w.mine) {
		moves, slack = p.balanceMoves, noise
	}
	w.weights, w.mine = weights, mine
	w.owner = w.spread(r.Owner, weights, mine, moves, slack, noise < mostNoise)
	return w.owner
}

// weights are the servers' shares: nothing for those that cannot take work,
// and little for one that has just started, in step with what it bears.
func (p *plan) weights(v site.Service, servers []string) []float64 {
	out := make([]float64, len(servers))
	for i, address := range servers {
		if !p.serves(address) || p.Site.HostOut(address) || p.Site.DataCentreOut(p.dataCentre) {
			continue
		}
		h := p.servers[address]
		r := p.report(p.t.Dispatches[address].Daemon, address)
		if h == nil {
			continue
		}
		if r == nil || r.State == wire.ServerState_SERVER_STATE_STARTING {
			// Its dispatcher is new and has not reported yet: as before.
			if h.okSince.IsZero() && !p.holds(v.Name, i) {
				continue
			}
			out[i] = p.lastWeight(v.Name, i)
			continue
		}
		if r.State != wire.ServerState_SERVER_STATE_OK {
			continue
		}
		if !p.holds(v.Name, i) && p.now.Sub(h.okSince) < p.returnAfter && !p.forming() {
			continue
		}
		out[i] = 1
		if h.ramping {
			out[i] = max(0.25, min(1, float64(int(r.Limit*4))/4))
		}
		if h.slow {
			out[i] = min(out[i], p.slowWeight(v.Name))
		}
	}
	return out
}

// slowWeight is the weight that leaves a server about a shard.
func (p *plan) slowWeight(service string) float64 {
	r := p.t.Rows[service]
	owned := 0
	for _, o := range r.Owner {
		if o != shard.None {
			owned++
		}
	}
	return min(1, leastShards*float64(len(r.Servers))/float64(max(1, owned)))
}

func (p *plan) lastWeight(service string, i int) float64 {
	if w := p.want[service]; w != nil && i < len(w.weights) {
		return w.weights[i]
	}
	return 1
}

func (p *plan) holds(service string, server int) bool {
	return slices.Contains(p.t.Rows[service].Owner, server)
}

func (p *plan) anyOwned(service string) bool {
	return slices.ContainsFunc(p.t.Rows[service].Owner, func(o int) bool { return o != shard.None })
}

// fold takes the orders counted over a span into the smoothed loads.
func (w *wish) fold(span time.Duration) {
	for s, n := range w.counted {
		rate := n / span.Seconds()
		w.loads[s] += (rate - w.loads[s]) / 2
		w.counted[s] = 0
	}
}

// noise is how far a server's load may be off by chance alone, as a share of it.
// Evening that out would move shards to and fro for nothing.
func (w *wish) noise(weights []float64) float64 {
	servers, orders := 0, 0.0
	for _, v := range weights {
		if v > 0 {
			servers++
		}
	}
	for _, n := range w.loads {
		orders += n * loadMemory.Seconds()
	}
	if servers == 0 || orders == 0 {
		return 1
	}
	return 2 / math.Sqrt(orders/float64(servers))
}

// spread plans the shards at home only. Sizes blend the counted load with an
// even part, so that idle shards are spread too and noise moves nothing.
func (w *wish) spread(owner []int, weights []float64, mine []bool, moves int, slack float64, byLoad bool) []int {
	total := 0.0
	var at []int
	for s := range owner {
		if mine[s] {
			at = append(at, s)
			total += w.loads[s]
		}
	}
	have, sizes := make([]int, len(at)), make([]float64, len(at))
	for i, s := range at {
		have[i] = owner[s]
		sizes[i] = 1
		if byLoad && total > 0 {
			sizes[i] = 0.1 + 0.9*w.loads[s]*float64(len(at))/total
		}
	}
	spread := shard.Spreader{Sizes: sizes, Slack: max(leastSlack, slack), MaxMoves: moves}.Spread(have, weights)
	want := slices.Clone(owner)
	for i, s := range at {
		want[s] = spread[i]
	}
	return want
}

package spread

import (
	"slices"
	"time"

	"catkinstep/core/request/permit"
	"catkinstep/core/request/subset"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// Choose returns the server with the least expected time. Servers to which other
// daemons turn first cost extra, those in other data centres more, and failing ones
// are rarely asked. Where a near server has a free slot the far ones are not looked
// at: there are hundreds on large sites, and an answer from afar costs bytes between
// data centres.
func (s *Spread) Choose(now time.Time, n Need, servers []fleet.Server) Choice {
	if len(n.Lost) > 0 {
		others := n
		others.Tried, others.Lost = slices.Concat(n.Tried, n.Lost), nil
		if c := s.Choose(now, others, servers); !c.Refused() {
			return c
		}
	}
	near := 0
	for _, v := range servers {
		if v.DataCentre == n.Near {
			near++
		}
	}
	best := s.look(now, n, servers, true, near, offer{Choice: Choice{Reason: None, RetryAfter: 4 * retryAtLeast}})
	if best.Refused() || !best.free {
		best = s.look(now, n, servers, false, len(servers)-near, best)
	}
	return best.Choice
}

// offer is a choice with what it costs, in seconds.
type offer struct {
	Choice
	cost float64
}

// look weighs the near or the far servers, of which there are so many, and returns
// the best of them or the best one so far.
func (s *Spread) look(now time.Time, n Need, servers []fleet.Server, near bool, count int, best offer) offer {
	at, loads := -1, usualLoads{spread: s, now: now, need: n}
	for _, v := range servers {
		if (v.DataCentre == n.Near) != near {
			continue
		}
		at++
		if v.Draining || tried(n, v.ID) {
			continue
		}
		o := s.weigh(now, n, v, loads.of(v.DataCentre))
		o.cost += s.detour(n, near, subset.Rank(s.limits.NearIndex, s.limits.Near, at, count))
		if best.Reason == None || better(o, best) {
			best = o
		}
	}
	return best
}

// detour is what it costs to turn to a server that other daemons turn to first, of
// which this daemon knows less how busy it is, or to one that is far.
func (s *Spread) detour(n Need, near bool, rank int) float64 {
	cost := rankStep * float64(min(rankMost, rank)) * s.usual(n)
	if !near {
		cost += farPerKilobyte.Seconds() * s.kind(n).size
	}
	return cost
}

// Judge decides about the only server that may run a request.
func (s *Spread) Judge(now time.Time, n Need, v fleet.Server) Choice {
	o := s.weigh(now, n, v, 0)
	if o.Reason == Sick {
		o.Reason = ""
	}
	return o.Choice
}

// better prefers servers that can be asked, then the cheaper one.
func better(a, b offer) bool {
	if a.Refused() != b.Refused() {
		return !a.Refused()
	}
	return a.cost < b.cost
}

func (s *Spread) weigh(now time.Time, n Need, v fleet.Server, others float64) offer {
	st := s.server(v)
	usual := s.usual(n)
	ahead := s.ahead(now, v.ID, st, others)
	factor := s.factorOf(now, st, usual)
	work := usual * factor
	wait := max(0, (ahead+1-float64(max(1, v.Slots)))/float64(max(1, v.Slots))) * work
	expected := seconds(work + wait)
	cost := (work + wait) * (1 + jitter*s.random.Float64()) / (1.001 - st.failing)
	c := Choice{Server: v, Expected: expected, free: ahead < float64(v.Slots) && factor < freeFactor}
	busy := ahead >= float64(v.Slots-1) || others >= float64(v.Slots)/2
	c.Contended = busy && permit.QueueVisibility(s.limits.Daemons, v.Slots) < 1
	c.Reason = s.objection(now, n, v, st, expected, ahead)
	if c.Refused() {
		c.RetryAfter = s.retryAfter(n, expected)
	}
	return offer{Choice: c, cost: cost}
}

// objection says why a server should not be asked now, or nothing.
func (s *Spread) objection(now time.Time, n Need, v fleet.Server, st *state, expected time.Duration, ahead float64) Reason {
	switch {
	case now.Before(st.pause), st.silent && st.own > 0:
		return Unreached
	case st.own >= s.connections(n.Service):
		return Crowded
	case now.Add(expected / 2).After(n.Deadline):
		return TooLate
	case now.Before(st.coldTill) && !st.cold.has(now, s.coldRate(n.Service, v.ID)):
		return ColdFull
	case ahead >= float64(v.Slots) && now.Add(expected).After(n.Began.Add(s.patience(n))):
		return Busy
	case st.failing > sickShare && s.random.Float64() > trickle:
		return Sick
	}
	return ""
}

// patience is how long a request may take in all if it has to wait: within its
// aim, since what comes late is worth little and holds a slot that another
// could have used in time. The less urgent kinds give way first.
func (s *Spread) patience(n Need) time.Duration {
	share := 0.95 - 0.1*float64(min(n.Priority, 3))
	return time.Duration(share * float64(n.Aim))
}

// retryAfter asks callers to return when the queue has moved on, spread in time.
func (s *Spread) retryAfter(n Need, expected time.Duration) time.Duration {
	wait := max(retryAtLeast, min(expected, n.Aim)/3)
	return time.Duration(float64(wait) * (0.7 + 0.6*s.random.Float64()))
}

// connections is this daemon's share of the connections that a server takes;
// a tenth is left for grants and for connections on their way out.
func (s *Spread) connections(v config.Service) int {
	if v.Connections == 0 {
		return 1 << 20
	}
	return max(1, v.Connections*9/10/s.limits.Daemons)
}

func tried(n Need, id string) bool {
	for _, t := range n.Tried {
		if t == id {
			return true
		}
	}
	return false
}

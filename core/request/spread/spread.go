package spread

import (
	"math/rand/v2"
	"time"

	"catkinstep/core/version/fleet"
)

type state struct {
	own      int
	running  []time.Time
	reported float64 // running and waiting of others than this daemon
	at       time.Time
	factor   float64 // its time over the usual one
	answers  int     // that the factor was learnt from
	slowness slowness
	failing  float64
	pause    time.Time
	silent   bool // no connection could be made since the last answer
	cold     bucket
	born     int64
	coldTill time.Time
	// heard and full count the answers that reported the load, and a long queue,
	// since the paces were last taken.
	heard, full int
	// found is how often the server's factor was found since then, and foundSum their sum.
	found    int
	foundSum float64
}

// find notes the server's factor during one answer.
func (st *state) find(factor float64) {
	st.found++
	st.foundSum += factor
}

// Spread holds what this daemon measured. It is not safe for concurrent use.
type Spread struct {
	random  *rand.Rand
	limits  Limits
	kinds   map[string]*kind
	servers map[string]*state
	peers   map[string]peerLoad // by daemon
	groups  map[group]*groupLoad
}

// New returns a Spread that has measured nothing.
func New(seed uint64, l Limits) *Spread {
	return &Spread{random: rand.New(rand.NewPCG(seed, 11)), limits: l, kinds: map[string]*kind{}, servers: map[string]*state{}, peers: map[string]peerLoad{}, groups: map[group]*groupLoad{}}
}

// Limit follows a change of the number of daemons.
func (s *Spread) Limit(l Limits) { s.limits = l }

// Begin notes a request under way to a server.
func (s *Spread) Begin(now time.Time, v fleet.Server, n Need) {
	st := s.server(v)
	st.own++
	st.running = append(st.running, now)
	if now.Before(st.coldTill) {
		st.cold.take(now, s.coldRate(n.Service, v.ID))
	}
}

// End notes how a request that began at a time ended.
func (s *Spread) End(now time.Time, v fleet.Server, n Need, began time.Time, o Outcome, r *Report) {
	st := s.server(v)
	st.own--
	st.running = without(st.running, began)
	if o == Answered || o == Shed {
		st.silent = false
	}
	if r != nil {
		st.reported = max(0, float64(r.Running+r.Waiting-st.own-1))
		st.at = now
		s.groupLoad(group{service: v.Service, dataCentre: v.DataCentre}).add(now, st.reported)
		if o != Shed {
			st.heard++
			if r.Waiting >= r.Slots {
				st.full++
			}
		}
		if r.Pace > 0 {
			st.slowness.add(now, r.Pace)
			st.factor = st.slowness.lasting
			st.find(r.Pace)
		}
	}
	switch o {
	case Answered:
		st.failing *= 1 - forget
		s.learned(n, st, now.Sub(began), r)
	case TurnedAway:
		if k := s.kind(n); k.known > 0 && now.Sub(began).Seconds() < turnedAwayShare*k.usual {
			// Servers with long queues reset connections. Sent again there at once,
			// the request would only be reset once more.
			st.tookNoMore(now, 2*v.Slots)
		}
		st.failing += forget * (1 - st.failing)
	case Failed:
		st.failing += forget * (1 - st.failing)
	case Shed:
		if r == nil || r.Running >= r.Slots {
			st.tookNoMore(now, v.Slots)
		}
		st.failing += forget / 3 * (1 - st.failing)
	case NotPermitted:
		st.tookNoMore(now, 2*v.Slots)
	case Unreachable:
		st.pause = now.Add(refusedPause)
		st.coldTill = now.Add(refusedPause + restartDoubt)
	case Silent:
		st.silent, st.pause = true, now.Add(silentPause)
		st.failing += forget * (1 - st.failing)
	case CalledOff:
	}
}

// tookNoMore notes that a server turned a request away, and so has at least so many.
func (st *state) tookNoMore(now time.Time, requests int) {
	st.heard++
	st.full++
	st.reported, st.at = max(st.reported, float64(requests)), now
}

// SetCold takes in how long a server says that it stays cold.
func (s *Spread) SetCold(now time.Time, v fleet.Server) {
	st := s.server(v)
	st.coldTill = now.Add(v.ColdLeft)
}

// AssumeCold takes a server for cold until its entry tells or a time has passed.
func (s *Spread) AssumeCold(v fleet.Server, until time.Time) { s.server(v).coldTill = until }

func (s *Spread) server(v fleet.Server) *state {
	st := s.servers[v.ID]
	if st == nil || st.born != v.StartMillis {
		own := 0
		var running []time.Time
		if st != nil {
			own, running = st.own, st.running
		}
		st = &state{factor: 1, born: v.StartMillis, own: own, running: running}
		s.servers[v.ID] = st
	}
	return st
}

// Keep forgets servers that are no longer in the list.
func (s *Spread) Keep(f *fleet.Fleet) {
	for id, st := range s.servers {
		if _, ok := f.Find(id); !ok && st.own == 0 {
			delete(s.servers, id)
		}
	}
}

func without(ts []time.Time, t time.Time) []time.Time {
	for i := range ts {
		if ts[i].Equal(t) {
			return append(ts[:i], ts[i+1:]...)
		}
	}
	return ts
}

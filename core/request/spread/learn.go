package spread

import (
	"time"

	"catkinstep/core/version/fleet"
)

type kind struct {
	usual float64 // seconds at a server of factor 1, not waiting
	size  float64 // kilobytes of an answer
	known int
}

// Pace is how slow a server was found to be, and how busy.
type Pace struct {
	Server string
	// Factor is the mean of its time over the usual one during so many Answers.
	Factor  float64
	Answers int
	// Heard is how many answers reported its load since the paces were last taken, and
	// Full how many of these reported that as many requests waited as it has slots.
	Heard, Full int
}

// TakePaces lists the servers that answered since it was last called, in no order, and
// begins to count anew. For one who knows nothing yet it lists what was learned before as
// well.
func (s *Spread) TakePaces(all bool) []Pace {
	var out []Pace
	for id, st := range s.servers {
		p := Pace{Server: id, Answers: st.found, Heard: st.heard, Full: st.full}
		switch {
		case all:
			p.Factor, p.Answers = st.factor, st.answers
		case st.found > 0:
			p.Factor = st.foundSum / float64(st.found)
		}
		if p.Answers > 0 || p.Heard > 0 {
			out = append(out, p)
		}
		st.heard, st.full, st.found, st.foundSum = 0, 0, 0, 0
	}
	return out
}

// Work is the time that a kind of request takes at a server without waiting.
func (s *Spread) Work(now time.Time, n Need, v fleet.Server) time.Duration {
	usual := s.usual(n)
	return seconds(usual * s.factorOf(now, s.server(v), usual))
}

// Patience is how long a kind of request may take in all where others wait as well.
func (s *Spread) Patience(n Need) time.Duration { return s.patience(n) }

// Usual is the time that a kind of request takes at a server of usual speed.
func (s *Spread) Usual(n Need) time.Duration { return seconds(s.usual(n)) }

// factorOf is how slow a server is. A request that is under way for longer than
// usual counts at once: a server that has just become slow answers nothing that
// could be learnt from.
func (s *Spread) factorOf(now time.Time, st *state, usual float64) float64 {
	f := st.factor
	if st.slowness.known() {
		f = st.slowness.expected(now)
	}
	if len(st.running) > 0 && usual > 0 {
		f = max(f, now.Sub(st.running[0]).Seconds()/usual/2)
	}
	return min(slowest, f)
}

func (s *Spread) learned(n Need, st *state, took time.Duration, r *Report) {
	if r != nil {
		k := s.kind(n)
		k.size += learn * (float64(r.Bytes)/1024 - k.size)
	}
	if r != nil && r.Waiting > 0 {
		return // it may have waited: that says little of the work itself
	}
	k := s.kind(n)
	t := took.Seconds()
	factor := s.factorAt(st, k, t, r)
	st.answers = min(st.answers+1, paceMemory)
	k.known++
	weight := max(learn/4, 1/float64(k.known+1))
	k.usual += weight * (t/factor - k.usual)
	k.usual = max(0.001, k.usual)
}

// factorAt is how slow the server was while a request ran that took t seconds: by
// its own report, or as learned from its answers.
func (s *Spread) factorAt(st *state, k *kind, t float64, r *Report) float64 {
	if r != nil && r.Pace > 0 {
		return r.Pace
	}
	st.factor += learn * (t/k.usual - st.factor)
	st.factor = max(fastest, min(slowest, st.factor))
	st.find(st.factor)
	return st.factor
}

func (s *Spread) kind(n Need) *kind {
	k := s.kinds[n.Route]
	if k == nil {
		k = &kind{usual: firstGuessShare * n.Aim.Seconds(), size: firstKilobytes}
		s.kinds[n.Route] = k
	}
	return k
}

func (s *Spread) usual(n Need) float64 { return s.kind(n).usual }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

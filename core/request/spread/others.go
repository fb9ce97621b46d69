package spread

import "time"

// word is what another daemon said that it has under way, by server.
type word struct {
	at    time.Time
	under map[string]int
}

// Others notes what another daemon of the data centre has under way, by server.
func (s *Spread) Others(now time.Time, daemon string, at map[string]int) {
	s.others[daemon] = word{at: now, under: at}
}

// Around notes what all other daemons of the data centre have under way together,
// in place of what each of them said.
func (s *Spread) Around(now time.Time, at map[string]int) {
	clear(s.others)
	s.others[allOthers] = word{at: now, under: at}
}

// allOthers stands for every other daemon; none has this name.
const allOthers = ""

// Summed returns what this daemon and the others that told it have under way, a
// named one apart.
func (s *Spread) Summed(now time.Time, apart string) map[string]int {
	out := s.Own()
	for name, w := range s.others {
		if name == apart || name == allOthers || now.Sub(w.at) >= wordCounts {
			continue
		}
		for id, n := range w.under {
			out[id] += n
		}
	}
	return out
}

// Own returns what this daemon has under way, by server.
func (s *Spread) Own() map[string]int {
	out := map[string]int{}
	for id, st := range s.servers {
		if st.own > 0 {
			out[id] = st.own
		}
	}
	return out
}

// ahead estimates the requests running and waiting at a server. What it reported counts
// less as it grows old, and what servers like it usually have counts instead.
func (s *Spread) ahead(now time.Time, id string, st *state, usual float64) float64 {
	known := fade(now.Sub(st.at))
	reported := st.reported*known + (1-known)*usual
	others := 0.0
	for _, w := range s.others {
		if now.Sub(w.at) < wordCounts {
			others += float64(w.under[id])
		}
	}
	return float64(st.own) + max(reported, others)
}

func fade(d time.Duration) float64 {
	if d >= 4*reportFades {
		return 0
	}
	return 1 / (1 + float64(d)/float64(reportFades))
}

package spread

import "time"

// peerLoad is what another daemon said that it has under way, by server.
type peerLoad struct {
	at    time.Time
	under map[string]int
}

// SetPeer notes what another daemon of the data centre has under way, by server.
func (s *Spread) SetPeer(now time.Time, daemon string, at map[string]int) {
	s.peers[daemon] = peerLoad{at: now, under: at}
}

// SetPeers notes what all other daemons of the data centre have under way together,
// in place of what each of them said.
func (s *Spread) SetPeers(now time.Time, at map[string]int) {
	clear(s.peers)
	s.peers[allPeers] = peerLoad{at: now, under: at}
}

// allPeers stands for every other daemon; none has this name.
const allPeers = ""

// Summed returns what this daemon and the others that reported to it have under way, a
// named one apart.
func (s *Spread) Summed(now time.Time, apart string) map[string]int {
	out := s.Own()
	for name, w := range s.peers {
		if name == apart || name == allPeers || now.Sub(w.at) >= peerLoadLasts {
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
	for _, w := range s.peers {
		if now.Sub(w.at) < peerLoadLasts {
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

package spread

import "time"

// peerLoad is the number of requests that another daemon has in flight, by server ID.
type peerLoad struct {
	receivedAt time.Time
	inFlight   map[string]int
}

// SetPeerLoad records the requests that another daemon of the data centre has in flight, by
// server ID.
func (b *Balancer) SetPeerLoad(now time.Time, daemon string, requests map[string]int) {
	b.peers[daemon] = peerLoad{receivedAt: now, inFlight: requests}
}

// SetPeerTotal records the requests that all other daemons of the data centre have in flight
// together, by server ID. It replaces the loads of individual daemons.
func (b *Balancer) SetPeerTotal(now time.Time, requests map[string]int) {
	clear(b.peers)
	b.peers[allPeers] = peerLoad{receivedAt: now, inFlight: requests}
}

// allPeers is the key for the total of all other daemons. No daemon has an empty name.
const allPeers = ""

// TotalLoad returns the requests in flight, by server ID, from this daemon and all others
// that recently reported to it, except the named one.
func (b *Balancer) TotalLoad(now time.Time, except string) map[string]int {
	total := b.OwnLoad()
	for name, peer := range b.peers {
		if name == except || name == allPeers || now.Sub(peer.receivedAt) >= peerLoadValidity {
			continue
		}
		for id, n := range peer.inFlight {
			total[id] += n
		}
	}
	return total
}

// OwnLoad returns the requests that this daemon has in flight, by server ID.
func (b *Balancer) OwnLoad() map[string]int {
	load := map[string]int{}
	for id, st := range b.servers {
		if st.inFlight > 0 {
			load[id] = st.inFlight
		}
	}
	return load
}

// load estimates the number of requests running and waiting at a server. As the server's
// last report ages, its weight moves to the load expected of servers in the same group.
// The load from other daemons is at least what they have in flight by their own reports.
func (b *Balancer) load(now time.Time, id string, st *serverState, expectedLoad float64) float64 {
	weight := reportWeight(now.Sub(st.reportedAt))
	reportedLoad := st.reportedLoad*weight + (1-weight)*expectedLoad
	peerRequests := 0.0
	for _, peer := range b.peers {
		if now.Sub(peer.receivedAt) < peerLoadValidity {
			peerRequests += float64(peer.inFlight[id])
		}
	}
	return float64(st.inFlight) + max(reportedLoad, peerRequests)
}

// reportWeight returns the weight of a load report of the given age, from 1 down to 0.
func reportWeight(age time.Duration) float64 {
	if age >= 4*reportHalfWeightAge {
		return 0
	}
	return 1 / (1 + float64(age)/float64(reportHalfWeightAge))
}

// Package subset ranks servers for each daemon of a data centre, in the order in which the daemon
// should prefer them.
//
// Many daemons, each with a few requests a second, spread them over many servers. Each daemon
// knows what it sent itself, and what all others had sent a second ago. A request takes less time
// than that, so the queues have changed since. Without subsets, all daemons would send to the
// servers that looked idle a second ago, and requests would queue there while other servers have
// free slots. So each daemon prefers a few servers, which most other daemons do not prefer. It
// knows from its own requests how busy they are, and reuses its connections to them.
//
// Servers and daemons are spaced evenly around one ring, each in the order of their names. A
// server has the lowest rank for the daemon next to it, and higher ranks for the following daemons
// along the ring. When a daemon or server joins or leaves, the others of its kind shift by less
// than the distance between two neighbours, so few preferences change.
//
// # Usage
//
//	rank := subset.Rank(daemon, daemons, server, servers)
//	cost := latency + float64(rank)*costPerRank // a daemon sends to the server with the lowest cost
package subset

// Rank returns the rank of a server for a daemon; 0 is the most preferred. If there are more
// daemons than servers, a server has the same rank for up to daemons/servers daemons, rounded
// down; otherwise it has a different rank for each daemon. Daemons and servers are numbered from 0
// in the order of their names.
func Rank(daemon, daemons, server, servers int) int {
	if daemons <= 1 || servers <= 0 {
		return 0
	}
	distance := daemon - server*daemons/servers
	if distance < 0 {
		distance += daemons
	}
	return distance / max(1, daemons/servers)
}

// Package subset ranks the servers that each daemon of a data centre should prefer.
//
// Many daemons, each with a few requests a second, spread them over many servers. Each daemon
// knows what it sent itself, and what all others sent a second ago, which is longer than a
// request takes. Without subsets, all daemons would send to the servers that looked idle a second
// ago, and requests would queue there while other servers have free slots. So each daemon prefers
// a few servers, which most other daemons do not prefer. It knows from its own requests how busy
// they are, and reuses its connections to them.
//
// Servers and daemons are placed around a ring in the order of their names. A server is
// preferred by the daemon beside it, then by the next ones along the ring. When a daemon or
// server joins or leaves, the others shift by less than one place.
//
// # Usage
//
//	rank := subset.Rank(daemon, daemons, server, servers)
//	cost := latency + float64(rank)*costPerRank // a daemon sends to the server with the lowest cost
package subset

// Rank returns the rank of a server for a daemon, from 0 for the daemons that prefer the server
// most. If there are more daemons than servers, daemons/servers of them have the same rank for a
// server; otherwise all their ranks differ. Daemons and servers are numbered from 0 in the
// order of their names.
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

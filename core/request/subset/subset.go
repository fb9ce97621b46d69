// Package subset ranks the servers that each daemon of a data centre should prefer.
//
// Many daemons, each with a few requests a second, spread them over many servers. Each daemon
// knows what it sent itself, and what all others sent a second ago, which is longer than a
// request takes. Without subsets, all daemons would take the same servers for idle, and requests
// would queue there while other servers have free slots. So each daemon prefers a few servers,
// different ones from most other daemons. It knows from its own requests how busy they are, and
// reuses its connections to them.
//
// Servers and daemons are placed around a ring in the order of their names. A server is
// preferred by the daemon beside it, then by the next ones along the ring. When a daemon or
// server joins or leaves, the others shift by less than one place.
//
// # Usage
//
//	rank := subset.Rank(daemon, daemons, server, servers)
//	cost += rank * step
//
// No function returns an error.
package subset

// Rank returns how many groups of daemons prefer a server more than the given daemon does; it
// is 0 for the daemons that prefer it most. Daemons and servers are numbered from 0 in the order
// of their names. A group is one daemon or, with more daemons than servers, as many daemons as
// there are for each server.
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

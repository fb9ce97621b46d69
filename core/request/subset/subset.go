// Package subset gives each daemon of a data centre servers that it should turn to
// before others.
//
// The pattern it answers: many daemons, each with a few requests a second, spread them
// over many servers. Each knows what it sent itself, and what all others sent a second
// ago, which is longer than a request takes. So all of them take the same servers for
// idle, and requests queue there while other servers have free slots. Daemons that turn
// to a few servers first, each to other ones, know by their own requests how busy those
// are, and reuse their connections.
//
// Servers and daemons are laid around a ring in the order of their names. A server is
// turned to first by the daemon beside it, then by the next ones. Where one daemon or
// server comes or goes, the others shift by less than one place.
//
// # Usage
//
//	rank := subset.Rank(daemon, daemons, server, servers)
//	cost += rank * step
//
// Nothing here fails.
package subset

// Rank is how many other groups of daemons turn to a server before a daemon does: 0 for
// those that turn to it first. Daemons and servers are numbered from 0 in their order. Where
// there are more daemons than servers, as many daemons as there are for each server turn to
// it first.
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

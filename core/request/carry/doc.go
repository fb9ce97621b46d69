// Package carry chooses the daemons that serve requests for a host that has lost its links to the
// backend servers.
//
// Such a host asks a few other daemons, again and again, whether they carry requests. It sends a
// request only to one that has agreed just now, so that none waits for a daemon that is lost as
// well, and prefers those of its own data centre until they have more to do for it than others.
//
// # Usage
//
//	for _, address := range p.Targets(now, candidates) { ... ask it ... }
//	p.RecordAnswer(now, address, willing)
//	if peer, ok := p.Choose(now, tried); ok { p.Begin(peer.Address); ...; p.End(peer.Address) }
package carry

// Package reach finds out whether a daemon's host has lost its links to all backend servers, while
// callers, the store and other daemons may still reach it.
//
// Only new connections count: open ones may work on while new ones are refused, and may hang without
// a sign. A few failed attempts are no proof, since servers end, too. So suspicion leads to probes,
// attempts to connect to several other servers, and only if none of them succeeds is the
// host cut off. One connection that can be opened ends that.
//
// # Usage
//
//	m := reach.New(seed)
//	for _, cmd := range m.Update(now, reach.DialFailedMsg{Address: "10.0.0.1:80"}) { ... }
//	m.CutOff()
package reach

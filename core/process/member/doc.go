// Package member tracks the other daemons that a daemon knows: which are alive and which
// get responses from the platform's object store (the store). From that it decides which
// daemon reads the store on behalf of the others and which may become the leader. In each
// data centre two daemons, the relays, forward gossip: the other daemons of the data centre
// gossip with them only, and relays of different data centres gossip with each other.
//
// # Usage
//
//	c := member.New(self, now)
//	c.RecordGossip(now, peer, member.Status{...})
//	if c.ShouldRead(now, currentAt, leading) { ... }
//	if try, leaderEnded := c.ShouldTakeLead(now, leader); try { ... }
package member

// Package member is what a daemon knows of the other daemons: who lives, who has
// answers from the platform, and so which of them reads the platform for the
// others and which may take the lead. In each data centre two daemons, the relays,
// pass gossip on for the rest: the others talk to them only, and relays talk to each other.
//
// # Usage
//
//	c := member.New(self, now)
//	c.Heard(now, member, member.Status{...})
//	if c.Reads(now) { ... }
//	if c.MayLead(now, leader) { ... }
package member

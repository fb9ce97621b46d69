// Package crew is what a daemon knows of the other daemons: who lives, who has
// word from the platform, and so which of them reads the platform for the
// others and which may take the lead.
//
// # Usage
//
//	c := crew.New(self, now)
//	c.Heard(now, member, crew.Word{...})
//	if c.Reads(now) { ... }
//	if c.MayLead(now, leader) { ... }
package crew

package spread

import (
	"testing"
	"time"

	"catkinstep/core/version/fleet"
)

// BenchmarkChoose measures a choice among the servers of a large site when no local server has
// a free slot, so that all servers are considered.
func BenchmarkChoose(b *testing.B) {
	balancer := New(1, Limits{ColdFactor: 1.5, ColdSlack: 5, Daemons: 195, LocalDaemons: 32, LocalIndex: 7})
	var list []fleet.Server
	for i, server := range servers(240) {
		server.DataCentre = []string{"x", "y", "z", "u", "v", "w"}[i%6]
		list = append(list, server)
	}
	req := requirements(t0)
	for _, server := range list {
		balancer.Begin(t0, server, req)
		balancer.End(t0.Add(100*time.Millisecond), server, req, t0, Answered, &Report{Running: 4, Waiting: 3, Slots: 4, Bytes: 5000})
	}
	now := t0.Add(500 * time.Millisecond)
	for b.Loop() {
		balancer.Choose(now, requirements(now), list)
	}
}

// BenchmarkColdRank looks up this daemon's rank at a cold server of a site of 1,500 daemons, just
// after the list of daemons has changed.
func BenchmarkColdRank(b *testing.B) {
	balancer := New(1, Limits{ColdFactor: 1.5, ColdSlack: 5}.WithMembers(membersOf(1500, 7)))
	for b.Loop() {
		clear(balancer.senderRanks)
		balancer.senderRank("s17")
	}
}

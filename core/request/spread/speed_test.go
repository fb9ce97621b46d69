package spread

import (
	"testing"
	"time"

	"catkinstep/core/version/fleet"
)

// BenchmarkChoose is a choice among the servers of a large site while no near one is free.
func BenchmarkChoose(b *testing.B) {
	s := New(1, Limits{ColdFactor: 1.5, ColdSlack: 5, Daemons: 195, Near: 32, NearIndex: 7})
	var list []fleet.Server
	for i, v := range servers(240) {
		v.DataCentre = []string{"x", "y", "z", "u", "v", "w"}[i%6]
		list = append(list, v)
	}
	n := need(t0)
	for _, v := range list {
		s.Begin(t0, v, n)
		s.End(t0.Add(100*time.Millisecond), v, n, t0, Answered, &Report{Running: 4, Waiting: 3, Slots: 4, Bytes: 5000})
	}
	now := t0.Add(500 * time.Millisecond)
	for b.Loop() {
		s.Choose(now, need(now), list)
	}
}

package keeper

import (
	"strings"
	"testing"
	"time"
)

// reportLoads reports, every half second while there are faults, the load of a service with one hot
// bucket, which changes every five seconds, on servers of different speeds.
func (s *simulation) reportLoads(hot int) {
	if s.faultFree {
		return
	}
	if s.now.UnixMilli()%5000 < 500 {
		hot = s.rng.IntN(Buckets)
	}
	slots, slowdowns, typical := make([]float64, Buckets), map[string]float64{}, []float64{1.4, 1.4, 0.6}
	for b := range slots {
		slots[b] = 7.0 / Buckets
	}
	slots[hot] += 2.7
	for i, srv := range s.servers {
		slowdowns[srv.ID] = typical[i%len(typical)]
	}
	for _, d := range s.daemons {
		d.inbox = append(d.inbox, LoadMsg{Service: testService, BusySlots: slots, Slowdowns: slowdowns, ServiceTimeSeconds: 0.05, LatencyTarget: 800 * time.Millisecond})
	}
	s.after(time.Second/2, func() { s.reportLoads(hot) })
}

// Load: a hot key that changes, on uneven servers, with all faults of the simulation. Guards
// against two holders of a key, or keys without one, when an exchange meets a fault.
func TestFuzzExchanges(t *testing.T) {
	exchanges := 0
	for seed := range uint64(12) {
		s := newSimulation(seed)
		s.reportLoads(0)
		s.run(60 * time.Second)
		s.faultFree = true
		for _, d := range s.daemons {
			d.suspendedUntil, d.storeUnreachableUntil = time.Time{}, time.Time{}
			clear(d.unreachableUntil)
		}
		s.run(30 * time.Second)
		if n := s.bucketsWithoutHolder(); s.violation == "" && n > 0 {
			s.violation = "keys without a holder after 30 s without faults"
		}
		if s.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, s.violation, strings.Join(s.trace[max(0, len(s.trace)-60):], "\n"))
		}
		exchanges += strings.Count(strings.Join(s.trace, "\n"), reasonMakeRoom)
	}
	t.Logf("%d moves to make room", exchanges)
	if exchanges == 0 {
		t.Fatal("no exchange was started")
	}
}

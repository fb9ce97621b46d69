package keeper

import (
	"testing"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// BenchmarkBalancingRound measures a round of a service with 1,500 uneven servers, first without
// hot keys and then with a key that is beyond any server.
func BenchmarkBalancingRound(b *testing.B) {
	for _, bench := range []struct {
		name    string
		hotRate float64
	}{{"steady", 0}, {"hotKey", 160}} {
		b.Run(bench.name, func(b *testing.B) {
			const servers = 1500
			l, list := newLoadModel(servers, 0.75*servers*4/0.05, 0.05, 0.1)
			for i := range list {
				l.slowdowns[list[i].ID] = []float64{1 / 0.7, 1 / 0.7, 1 / 1.6}[i%3]
			}
			h := newHarness(grant.Range{}, WithGrantTTL(3500*time.Millisecond))
			h.keeper.services = nil
			h.update(FleetMsg{Fleet: fleet.New(list), KeyedServices: []string{testService}, DaemonCount: servers})
			h.endEarlierTerm()
			h.advance(2*time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
			l.advance(h, 10*time.Second)
			l.requestRates[0] += bench.hotRate
			l.report(h.now, time.Second)
			h.update(l.report(h.now.Add(time.Second), time.Second))
			service := h.keeper.services[0]
			before, ranges := *service, service.ranges
			for b.Loop() {
				b.StopTimer()
				*service = before
				service.ranges = nil
				for _, rs := range ranges {
					r := *rs
					r.step, r.Next, r.callInFlight = held, grant.Holder{}, false
					service.ranges = append(service.ranges, &r)
				}
				h.keeper.cmds = nil
				b.StartTimer()
				h.keeper.balanceAtOnce(h.now)
			}
		})
	}
}

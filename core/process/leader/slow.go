package leader

import (
	"slices"
	"time"

	"catkinstep/core/connection/wire"
)

const (
	// slowRatio is how many times the median of its fellows a server's answers
	// take when it counts as slowed, and fastRatio when it does no more.
	slowRatio = 3.0
	fastRatio = 1.7
	// leastExtra is what a slow answer must take beyond the median to matter to
	// anybody; without it, servers that answer in a fraction of a millisecond are
	// slow and fast by chance all the time, and shards move for nothing.
	leastExtra = 10 * time.Millisecond
	// slowAfter keeps a short stumble from moving anything.
	slowAfter = 150 * time.Millisecond
	// fastAfter keeps a server whose neighbours come and go from taking its
	// shards back for each quiet moment.
	fastAfter = 4 * time.Second
	// surelySlow is a ratio that no stumble explains.
	surelySlow = 4.0
	// leastShards is about what a slowed server keeps, however slow: without any
	// work nothing would show that it has recovered.
	leastShards = 1.2
)

// slowed notes which servers answer much more slowly than their fellows of the
// same service. The dispatchers' own measurements say so within a fraction of a
// second; the servers' reports come late and may say that they are idle.
func (p *plan) slowed() {
	if p.Site.Preset().KeepShards {
		for _, s := range p.servers {
			s.slow = false
		}
		return
	}
	byService := map[string][]*wire.ServerReport{}
	for _, v := range p.myServers() {
		r := p.report(p.t.Dispatches[v.Address].Daemon, v.Address)
		if r != nil && r.State == wire.ServerState_SERVER_STATE_OK && r.LatencyMicros > 0 {
			byService[v.Service] = append(byService[v.Service], r)
		}
	}
	for _, reports := range byService {
		latencies := make([]int64, len(reports))
		for i, r := range reports {
			latencies[i] = r.LatencyMicros
		}
		slices.Sort(latencies)
		median := latencies[(len(latencies)-1)/2]
		for _, r := range reports {
			ratio := float64(r.LatencyMicros) / float64(median)
			if time.Duration(r.LatencyMicros-median)*time.Microsecond < leastExtra {
				ratio = 1
			}
			p.servers[r.Server].judge(p.now, ratio)
		}
	}
}

// judge takes in how many times the median a server's answers take.
func (s *server) judge(now time.Time, ratio float64) {
	if ratio < slowRatio {
		s.slowSince = time.Time{}
	} else if s.slowSince.IsZero() {
		s.slowSince = now
	}
	if ratio >= fastRatio {
		s.fastSince = time.Time{}
	} else if s.fastSince.IsZero() {
		s.fastSince = now
	}
	switch {
	case ratio >= surelySlow, !s.slowSince.IsZero() && now.Sub(s.slowSince) >= slowAfter:
		s.slow = true
	case !s.fastSince.IsZero() && now.Sub(s.fastSince) >= fastAfter:
		s.slow = false
	}
}

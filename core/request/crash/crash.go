package crash

import (
	"slices"
	"time"
)

// Suspects holds the requests that were running when servers were lost.
type Suspects struct {
	threshold int
	retention time.Duration
	requests  map[uint64]suspect
}

type suspect struct {
	servers    []string
	lastLossAt time.Time
}

// New returns Suspects that refuse a request once at least threshold different servers were lost
// while it ran, and that forget a request after the retention time without another loss.
func New(threshold int, retention time.Duration) *Suspects {
	return &Suspects{threshold: threshold, retention: retention, requests: map[uint64]suspect{}}
}

// RecordLoss records servers that were lost while a request ran. It reports whether any of them
// was new, which other daemons need to know.
func (s *Suspects) RecordLoss(now time.Time, fingerprint uint64, servers ...string) (changed bool) {
	for f, v := range s.requests {
		if now.Sub(v.lastLossAt) > s.retention {
			delete(s.requests, f)
		}
	}
	if len(servers) == 0 {
		return false
	}
	v := s.requests[fingerprint]
	v.servers = slices.Clone(v.servers)
	for _, server := range servers {
		if !slices.Contains(v.servers, server) {
			v.servers = append(v.servers, server)
			v.lastLossAt = now
			changed = true
		}
	}
	s.requests[fingerprint] = v
	return changed
}

// RecordAnswer clears a request that was answered, and reports whether it had been suspected.
// A request that crashes servers does so each time. A frequent request, which is often in flight
// when servers are lost for other reasons, is answered in between.
func (s *Suspects) RecordAnswer(fingerprint uint64) (cleared bool) {
	_, cleared = s.requests[fingerprint]
	delete(s.requests, fingerprint)
	return cleared
}

// ShouldRefuse reports whether a request must not be sent to servers any more.
func (s *Suspects) ShouldRefuse(now time.Time, fingerprint uint64) bool {
	v, ok := s.requests[fingerprint]
	return ok && len(v.servers) >= s.threshold && now.Sub(v.lastLossAt) <= s.retention
}

// LostServers returns the servers that were lost while a request ran.
func (s *Suspects) LostServers(fingerprint uint64) []string {
	return slices.Clone(s.requests[fingerprint].servers)
}

package crash

import (
	"maps"
	"slices"
	"time"
)

// Suspects holds the requests that may have been running on servers that were lost.
type Suspects struct {
	threshold int
	retention time.Duration
	requests  map[uint64]suspect
}

type suspect struct {
	servers    []string
	lastLossAt time.Time
	// ownLosses holds when this daemon itself lost a server, by server.
	ownLosses map[string]time.Time
}

// New returns Suspects without any requests. A request should be refused once at least threshold
// different servers were lost while it may have been running there. It is forgotten after the
// retention time without another loss.
func New(threshold int, retention time.Duration) *Suspects {
	return &Suspects{threshold: threshold, retention: retention, requests: map[uint64]suspect{}}
}

// RecordLoss records servers that were lost while a request may have been running there. It reports
// whether any of them was not yet recorded for the request; if so, the other daemons need to know of
// the loss.
func (s *Suspects) RecordLoss(now time.Time, fingerprint uint64, servers ...string) (changed bool) {
	for f, entry := range s.requests {
		if now.Sub(entry.lastLossAt) > s.retention {
			delete(s.requests, f)
		}
	}
	if len(servers) == 0 {
		return false
	}
	entry := s.requests[fingerprint]
	entry.servers = slices.Clone(entry.servers)
	for _, server := range servers {
		if !slices.Contains(entry.servers, server) {
			entry.servers = append(entry.servers, server)
			entry.lastLossAt = now
			changed = true
		}
	}
	s.requests[fingerprint] = entry
	return changed
}

// RecordOwnLoss records a server that this daemon lost while a request may have been running there. It
// reports whether the server was not yet recorded for the request.
func (s *Suspects) RecordOwnLoss(now time.Time, fingerprint uint64, server string) (changed bool) {
	changed = s.RecordLoss(now, fingerprint, server)
	entry := s.requests[fingerprint]
	if changed {
		entry.ownLosses = maps.Clone(entry.ownLosses)
		if entry.ownLosses == nil {
			entry.ownLosses = map[string]time.Time{}
		}
		entry.ownLosses[server] = now
		s.requests[fingerprint] = entry
	}
	return changed
}

// WithdrawOwn removes the losses that this daemon recorded since a time. They say nothing of the
// requests: the daemon's host lost its links to all servers then.
func (s *Suspects) WithdrawOwn(since time.Time) {
	for fingerprint, entry := range s.requests {
		kept := slices.DeleteFunc(slices.Clone(entry.servers), func(server string) bool {
			at, own := entry.ownLosses[server]
			return own && !at.Before(since)
		})
		if len(kept) == 0 {
			delete(s.requests, fingerprint)
			continue
		}
		entry.servers = kept
		s.requests[fingerprint] = entry
	}
}

// RecordResponse clears a request to which a server responded, and reports whether it had been
// suspected. A request that crashes servers does so each time. A frequent request is often in
// flight when servers are lost for other reasons, but gets responses in between.
func (s *Suspects) RecordResponse(fingerprint uint64) (cleared bool) {
	_, cleared = s.requests[fingerprint]
	delete(s.requests, fingerprint)
	return cleared
}

// ShouldRefuse reports whether a request must not be sent to servers any more.
func (s *Suspects) ShouldRefuse(now time.Time, fingerprint uint64) bool {
	entry, ok := s.requests[fingerprint]
	return ok && len(entry.servers) >= s.threshold && now.Sub(entry.lastLossAt) <= s.retention
}

// LostServers returns the servers that were lost while a request may have been running there.
func (s *Suspects) LostServers(fingerprint uint64) []string {
	return slices.Clone(s.requests[fingerprint].servers)
}

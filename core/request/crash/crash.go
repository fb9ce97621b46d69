package crash

import (
	"slices"
	"time"
)

// Suspects holds the requests during which servers were lost.
type Suspects struct {
	bound int
	keep  time.Duration
	seen  map[uint64]suspect
}

type suspect struct {
	servers []string
	at      time.Time
}

// New returns Suspects that refuse a request once bound different servers were
// lost while it ran, and forget it after a time without another loss.
func New(bound int, keep time.Duration) *Suspects {
	return &Suspects{bound: bound, keep: keep, seen: map[uint64]suspect{}}
}

// Lost notes that a server was lost while a request ran, and tells whether
// that was news worth sharing.
func (s *Suspects) Lost(now time.Time, fingerprint uint64, servers ...string) (news bool) {
	for f, v := range s.seen {
		if now.Sub(v.at) > s.keep {
			delete(s.seen, f)
		}
	}
	if len(servers) == 0 {
		return false
	}
	v := s.seen[fingerprint]
	v.servers = slices.Clone(v.servers)
	for _, server := range servers {
		if !slices.Contains(v.servers, server) {
			v.servers = append(v.servers, server)
			v.at = now
			news = true
		}
	}
	s.seen[fingerprint] = v
	return news
}

// Answered notes that a request was answered, and tells whether it had been
// suspected. A request that crashes servers does so each time; one that was only
// under way when servers were lost for other reasons, as a popular lookup often
// is, is answered in between.
func (s *Suspects) Answered(fingerprint uint64) (cleared bool) {
	_, cleared = s.seen[fingerprint]
	delete(s.seen, fingerprint)
	return cleared
}

// Refused tells whether a request must not be run any more.
func (s *Suspects) Refused(now time.Time, fingerprint uint64) bool {
	v, ok := s.seen[fingerprint]
	return ok && len(v.servers) >= s.bound && now.Sub(v.at) <= s.keep
}

// Servers lists the servers that were lost while a request ran.
func (s *Suspects) Servers(fingerprint uint64) []string {
	return slices.Clone(s.seen[fingerprint].servers)
}

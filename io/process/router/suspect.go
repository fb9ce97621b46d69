package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/connection/wire"
)

const (
	// crashThreshold is the number of lost servers after which a request is refused. One loss
	// may be a coincidence, but hardly three without a response in between.
	crashThreshold = 3
	// crashRetention is how long losses are remembered. A crashed server is back within
	// seconds.
	crashRetention = time.Minute
)

// fingerprintOf hashes a request's content. The hash does not depend on the ID, which a caller
// may change with each attempt.
func fingerprintOf(req *request) uint64 {
	digest := xxhash.New()
	for _, s := range []string{req.Method, req.Host, req.RequestURI} {
		_, _ = digest.WriteString(s) // never fails
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.Body)
	return digest.Sum64()
}

// recordLoss records that a server was lost while the request may have run there.
func (r *Router) recordLoss(req *request, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.suspects.RecordLoss(now, req.fingerprint, server) {
		return
	}
	r.suspectBuffer.add(now, &wire.Suspect{Fingerprint: req.fingerprint, Servers: []string{server}})
	if r.suspects.ShouldRefuse(now, req.fingerprint) {
		go r.post(urgentChangeMsg{}) // asynchronous, as the lock is held
	}
}

// clearSuspicion clears a request that got a response: one that crashes servers never gets any.
func (r *Router) clearSuspicion(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.RecordResponse(req.fingerprint)
}

// checkCrashSuspect reports whether a request is refused because servers were lost while it
// ran. If there were fewer than crashThreshold, they become its last resort.
func (r *Router) checkCrashSuspect(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.requirements.LastResort = r.suspects.LostServers(req.fingerprint)
	return r.suspects.ShouldRefuse(time.Now(), req.fingerprint)
}

// recentSuspects returns the recent losses, for gossip.
func (r *Router) recentSuspects() []*wire.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspectBuffer.list(time.Now())
}

// mergeLosses records losses that other daemons found and forwards the new ones with this
// daemon's gossip. It reports whether a request is refused from now on.
func (r *Router) mergeLosses(suspects []*wire.Suspect) (refused bool) {
	if len(suspects) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range suspects {
		if !r.suspects.RecordLoss(now, s.Fingerprint, s.Servers...) {
			continue
		}
		r.suspectBuffer.add(now, s)
		refused = refused || r.suspects.ShouldRefuse(now, s.Fingerprint)
	}
	return refused
}

package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/connection/wire"
)

const (
	// crashThreshold is the number of lost servers at which a request is refused. The loss of
	// one server may be a coincidence, but hardly that of three without a response in between.
	crashThreshold = 3
	// crashRetention is how long after the last lost server a request remains a crash suspect.
	// It is much longer than the seconds after which a crashed server is back.
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

// recordLoss records that a server was lost while the request may have run there: the
// connection broke before a response. The request is then suspected of crashing servers.
func (r *Router) recordLoss(req *request, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.suspects.RecordLoss(now, req.fingerprint, server) {
		return
	}
	r.suspectBuffer.add(now, &wire.Suspect{Fingerprint: req.fingerprint, Servers: []string{server}})
	if r.suspects.ShouldRefuse(now, req.fingerprint) {
		go r.post(propagateMsg{}) // asynchronous, as the lock is held
	}
}

// clearSuspect forgets the servers that were lost while a request ran, since the request has
// got a response: one that crashes servers never gets any.
func (r *Router) clearSuspect(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.RecordResponse(req.fingerprint)
}

// checkCrashSuspect reports whether a request is refused because at least crashThreshold servers
// were lost while it ran. It also sets the request's LastResort to the lost servers, so that a
// request that is not refused avoids them if it can.
func (r *Router) checkCrashSuspect(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.requirements.LastResort = r.suspects.LostServers(req.fingerprint)
	return r.suspects.ShouldRefuse(time.Now(), req.fingerprint)
}

// recentSuspects returns the requests for which lost servers were recorded recently, for gossip.
func (r *Router) recentSuspects() []*wire.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspectBuffer.list(time.Now())
}

// mergeSuspects records servers that other daemons lost while requests ran, and forwards the new
// ones with this daemon's gossip. It reports whether a request is refused from now on.
func (r *Router) mergeSuspects(suspects []*wire.Suspect) (refused bool) {
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

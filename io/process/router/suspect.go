package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/connection/wire"
)

const (
	// crashBound is how many servers a request may be lost with before it is
	// refused: one may be chance, three in a row without an answer hardly are.
	crashBound = 3
	// crashKeep is how long that is remembered; a server is back after seconds.
	crashKeep = time.Minute
)

// fingerprint is the same for each try of the same content, whatever its id.
func fingerprint(o *order) uint64 {
	d := xxhash.New()
	for _, s := range []string{o.Method, o.Host, o.RequestURI} {
		_, _ = d.WriteString(s) // a hash takes everything
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(o.Body)
	return d.Sum64()
}

// lost notes that a server broke off while a request ran there.
func (r *Router) lost(o *order, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.suspects.RecordLoss(now, o.print, server) {
		return
	}
	r.suspectBuffer.add(now, &wire.Suspect{Fingerprint: o.print, Servers: []string{server}})
	if r.suspects.ShouldRefuse(now, o.print) {
		go r.post(urgentChangeMsg{}) // not to wait under the lock
	}
}

// answered ends a suspicion: a request that crashes servers is never answered.
func (r *Router) answered(o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.RecordAnswer(o.print)
}

// crashes tells whether a request is refused for the servers lost with it. One that is
// not yet turns to other servers than those.
func (r *Router) crashes(o *order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.need.LastResort = r.suspects.LostServers(o.print)
	return r.suspects.ShouldRefuse(time.Now(), o.print)
}

// suspectNews lists the losses of the last moments.
func (r *Router) suspectNews() []*wire.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspectBuffer.list(time.Now())
}

// heardOfLosses takes in what another daemon found, and passes on what is new. It
// tells whether a request is refused by it from now on.
func (r *Router) heardOfLosses(suspects []*wire.Suspect) (refused bool) {
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

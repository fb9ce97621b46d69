package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/grant"
	"catkinstep/io/process/native"
)

// parseKeys reads the body of a grant or a release.
func parseKeys(p *process, body []byte) (keys native.KeyRangeRequest, ok bool) {
	err := json.Unmarshal(body, &keys)
	return keys, err == nil && len(p.grants) > 0 && keys.From >= 0 && keys.From <= keys.To && keys.To <= grant.LastKey
}

// serveGrant accepts a grant of a key range. The grant expires relative to the arrival of the
// call. It is rejected if one of the keys was granted with a higher fencing token before.
func (s *Server) serveGrant(p *process, w http.ResponseWriter, body []byte, arrived time.Time) {
	keys, ok := parseKeys(p, body)
	if !ok || keys.HoldMillis <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range p.grants[keys.From : keys.To+1] {
		if h.fence > keys.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	if err := p.dedupTable.applyGrant(time.Now(), keys.From, keys.To, keys.Origin, keys.Handover); err != nil {
		http.Error(w, fmt.Sprintf("handover: %v", err), http.StatusBadRequest)
		return
	}
	expiresAt := arrived.Add(time.Duration(keys.HoldMillis) * time.Millisecond)
	for key := keys.From; key <= keys.To; key++ {
		p.grants[key] = keyGrant{fence: keys.Fence, expiresAt: expiresAt}
	}
}

// releasePollInterval is how often a release checks whether requests still run on its keys.
const releasePollInterval = time.Millisecond

// serveRelease refuses new requests for the keys at once and answers when the running ones
// have ended.
func (s *Server) serveRelease(p *process, w http.ResponseWriter, body []byte) {
	keys, ok := parseKeys(p, body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for key := keys.From; key <= keys.To; key++ {
		p.grants[key] = keyGrant{fence: max(keys.Fence, p.grants[key].fence)}
	}
	s.mu.Unlock()
	for s.hasRunningRequests(p, keys) {
		time.Sleep(releasePollInterval)
	}
	s.mu.Lock()
	exported := p.dedupTable.exportJSON(time.Now(), keys.From, keys.To)
	s.mu.Unlock()
	w.Header().Set(names.Default().Handover, exported)
}

func (s *Server) hasRunningRequests(p *process, keys native.KeyRangeRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range p.runningKeys {
		if keys.From <= key && key <= keys.To {
			return true
		}
	}
	return false
}

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
func parseKeys(v *life, body []byte) (k native.KeyRangeRequest, ok bool) {
	err := json.Unmarshal(body, &k)
	return k, err == nil && len(v.held) > 0 && k.From >= 0 && k.From <= k.To && k.To <= grant.LastKey
}

// serveGrant holds a range for a time from the call's arrival, unless a higher
// fence was seen on one of its keys.
func (s *Server) serveGrant(v *life, w http.ResponseWriter, body []byte, arrived time.Time) {
	k, ok := parseKeys(v, body)
	if !ok || k.HoldMillis <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range v.held[k.From : k.To+1] {
		if h.fence > k.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	if err := v.bookings.take(time.Now(), k.From, k.To, k.Origin, k.Handover); err != nil {
		http.Error(w, fmt.Sprintf("handover: %v", err), http.StatusBadRequest)
		return
	}
	until := arrived.Add(time.Duration(k.HoldMillis) * time.Millisecond)
	for key := k.From; key <= k.To; key++ {
		v.held[key] = holding{fence: k.Fence, until: until}
	}
}

// releasePoll paces the wait for the work that runs on released keys.
const releasePoll = time.Millisecond

// serveRelease stops new work at once and answers when the running work on the
// keys has ended.
func (s *Server) serveRelease(v *life, w http.ResponseWriter, body []byte) {
	k, ok := parseKeys(v, body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for key := k.From; key <= k.To; key++ {
		v.held[key] = holding{fence: max(k.Fence, v.held[key].fence)}
	}
	s.mu.Unlock()
	for s.works(v, k) {
		time.Sleep(releasePoll)
	}
	s.mu.Lock()
	known := v.bookings.handText(time.Now(), k.From, k.To)
	s.mu.Unlock()
	w.Header().Set(names.Default().Handover, known)
}

func (s *Server) works(v *life, k native.KeyRangeRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range v.running {
		if k.From <= key && key <= k.To {
			return true
		}
	}
	return false
}

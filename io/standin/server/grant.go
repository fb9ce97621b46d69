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

// parseKeyRange reads the body of a grant or a release. ok is false if the service has no
// keys or the range is not valid.
func parseKeyRange(inst *instance, body []byte) (keyRange native.KeyRangeRequest, ok bool) {
	err := json.Unmarshal(body, &keyRange)
	return keyRange, err == nil && len(inst.grants) > 0 && keyRange.From >= 0 && keyRange.From <= keyRange.To && keyRange.To <= grant.LastKey
}

// serveGrant accepts a grant of a key range. The grant's lifetime counts from the arrival of
// the call. The grant is rejected if one of the keys was granted with a higher fencing token
// before.
func (s *Server) serveGrant(inst *instance, w http.ResponseWriter, body []byte, arrived time.Time) {
	keyRange, ok := parseKeyRange(inst, body)
	if !ok || keyRange.HoldMillis <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, granted := range inst.grants[keyRange.From : keyRange.To+1] {
		if granted.fence > keyRange.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	if err := inst.dedupTable.applyGrant(time.Now(), keyRange.From, keyRange.To, keyRange.Origin, keyRange.Handover); err != nil {
		http.Error(w, fmt.Sprintf("handover: %v", err), http.StatusBadRequest)
		return
	}
	expiresAt := arrived.Add(time.Duration(keyRange.HoldMillis) * time.Millisecond)
	for key := keyRange.From; key <= keyRange.To; key++ {
		inst.grants[key] = keyGrant{fence: keyRange.Fence, expiresAt: expiresAt}
	}
}

// releasePollInterval is how often a release checks whether requests still run on its keys.
const releasePollInterval = time.Millisecond

// serveRelease releases a key range. The server declines new requests for the keys at once, and
// responds to the release, with a handover for the next holder, when the running ones have ended.
func (s *Server) serveRelease(inst *instance, w http.ResponseWriter, body []byte) {
	keyRange, ok := parseKeyRange(inst, body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for key := keyRange.From; key <= keyRange.To; key++ {
		inst.grants[key] = keyGrant{fence: max(keyRange.Fence, inst.grants[key].fence)}
	}
	s.mu.Unlock()
	for s.hasRunningRequests(inst, keyRange) {
		time.Sleep(releasePollInterval)
	}
	s.mu.Lock()
	exported := inst.dedupTable.exportJSON(time.Now(), keyRange.From, keyRange.To)
	s.mu.Unlock()
	w.Header().Set(names.Default().Handover, exported)
}

func (s *Server) hasRunningRequests(inst *instance, keyRange native.KeyRangeRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range inst.runningKeys {
		if keyRange.From <= key && key <= keyRange.To {
			return true
		}
	}
	return false
}

package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/connection/names"
)

// announceLeaving adds to a response that the server leaves.
func (s *Server) announceLeaving(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		w.Header().Set(names.Default().Leaving, "1")
	}
}

// asksForRest adds to a response for how long the server wants no requests, and reports whether it wants none.
func (s *Server) asksForRest(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := time.Until(s.restUntil)
	if left <= 0 {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	return true
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Faults
		TurnCold bool `json:"turnCold"`
	}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		http.Error(w, fmt.Sprintf("faults: %v", err), http.StatusBadRequest)
		return
	}
	s.SetFaults(req.Faults)
	if req.TurnCold {
		s.TurnCold()
	}
}

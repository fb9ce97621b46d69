package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/io/process/native"
	"catkinstep/io/standin/oracle"
)

// Response is the body of the response to a request that ran.
type Response struct {
	ID      string `json:"id"`
	Server  string `json:"server"`
	Service string `json:"service"`
	Path    string `json:"path"`
	// RunCount is how many requests for the path this process has run, this one included.
	RunCount int `json:"count"`
}

// request holds what the method and the headers of a request say.
type request struct {
	id         string
	key        int
	deadline   time.Time
	idempotent bool
	// sinceFirstSent is how long ago the request was first sent under its ID; zero if the
	// sender does not say.
	sinceFirstSent time.Duration
}

func (s *Server) serve(p *process, w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	switch {
	case r.URL.Path == "/standin/faults" && r.Method == http.MethodPost:
		s.serveFaults(w, r)
		return
	case r.URL.Path == "/standin/runs":
		s.mu.Lock()
		runs := slices.Clone(s.runs)
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, runs)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request must never run
	}
	s.waitWhileFrozen(r.Context())
	if id := r.Header.Get(names.Default().Instance); id != "" && id != native.ServerID(s.config.Address) {
		writeRefusal(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case native.GrantPath:
		s.serveGrant(p, w, body, arrived)
	case native.ReleasePath:
		s.serveRelease(p, w, body)
	default:
		s.serveRequest(p, w, r)
	}
}

func (s *Server) serveRequest(p *process, w http.ResponseWriter, r *http.Request) {
	q := parseRequest(r, time.Now())
	if s.config.Keyed && !q.idempotent && q.id != "" {
		s.serveNonIdempotent(p, w, r, q)
		return
	}
	s.runRequest(p, w, r, q)
}

// refuseNewRequest refuses a request that has not run, and deletes its entry so that the
// request can be sent again.
func (s *Server) refuseNewRequest(p *process, w http.ResponseWriter, r *http.Request, q request, status int) {
	s.mu.Lock()
	if !q.idempotent {
		p.dedupTable.remove(q.dedupID())
	}
	s.mu.Unlock()
	writeRefusal(w, r, status)
}

// runRequest waits for a slot, runs a request and writes its response.
func (s *Server) runRequest(p *process, w http.ResponseWriter, r *http.Request, q request) {
	if !s.admit(p, q) {
		status := http.StatusServiceUnavailable
		if s.config.Keyed {
			status = http.StatusMisdirectedRequest
		}
		s.refuseNewRequest(p, w, r, q, status)
		return
	}
	if !s.acquireSlot(r.Context(), p, q) {
		s.refuseNewRequest(p, w, r, q, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slots }()
	runID, startedAt, result := s.startRun(p, q, r)
	switch result {
	case keyNotHeld:
		s.refuseNewRequest(p, w, r, q, http.StatusMisdirectedRequest)
		return
	case processCrashed:
		s.Stop()
		panic(http.ErrAbortHandler)
	default:
	}
	s.simulateWork(r, q)
	s.waitWhileFrozen(r.Context())
	resp, faults, ok := s.finishRun(p, runID, q, r, startedAt)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, q, resp, faults)
}

// admit reports whether the server may run the request. It records an overload if the server
// is cold and receives more requests than it can handle, but admits them all the same.
func (s *Server) admit(p *process, q request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.config.Keyed && !p.grants[q.key].expiresAt.After(now) {
		return false
	}
	if !now.Before(p.coldUntil) {
		return true
	}
	p.coldArrivals = slices.DeleteFunc(p.coldArrivals, func(t time.Time) bool { return now.Sub(t) > time.Second })
	p.coldArrivals = append(p.coldArrivals, now)
	unannounced := !p.unannouncedColdAt.IsZero() && now.Sub(p.unannouncedColdAt) < unannouncedColdGrace+time.Second
	if float64(len(p.coldArrivals)) > s.config.ColdRate*coldRateFactor+coldBurst && !unannounced {
		s.record(oracle.Run{Server: s.config.Address, DataCentre: s.config.DataCentre, Service: s.config.Service,
			ID: q.id + " (too many while cold)", Idempotent: true, Start: now, End: now, Overload: true})
	}
	return true
}

// acquireSlot waits for a slot until the caller's deadline. It fails at once if maxQueued
// requests wait already.
func (s *Server) acquireSlot(ctx context.Context, p *process, q request) bool {
	select {
	case p.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := p.queued >= maxQueued
	if !full {
		p.queued++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		p.queued--
	}()
	t := time.NewTimer(time.Until(q.deadline))
	defer t.Stop()
	select {
	case p.slots <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// startResult says whether a request that has a slot was started.
type startResult int

const (
	runStarted startResult = iota
	keyNotHeld
	processCrashed
)

func (s *Server) startRun(p *process, q request, r *http.Request) (runID uint64, startedAt time.Time, result startResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.config.Keyed && !p.grants[q.key].expiresAt.After(now) || p.stopped {
		return 0, now, keyNotHeld // the key was released while the request waited for its slot
	}
	if crashPath := s.faults.CrashOnPath; crashPath != "" && strings.Contains(r.URL.Path, crashPath) {
		s.record(s.newRun(q, now, now))
		return 0, now, processCrashed
	}
	s.lastRunID++
	p.runningKeys[s.lastRunID] = q.key
	return s.lastRunID, now, runStarted
}

// simulateWork blocks for a random service time. An idempotent request ends early when it is
// cancelled or its deadline passes; a non-idempotent one always runs to its end.
func (s *Server) simulateWork(r *http.Request, q request) {
	s.mu.Lock()
	d := time.Duration((0.5 + s.rng.ExpFloat64()/2) * float64(s.config.MeanServiceTime))
	if s.faults.SlowdownFactor > 1 {
		d = time.Duration(float64(d) * s.faults.SlowdownFactor)
	}
	s.mu.Unlock()
	if q.idempotent {
		d = min(d, time.Until(q.deadline))
	}
	t := time.NewTimer(d)
	defer t.Stop()
	if !q.idempotent {
		<-t.C
		return
	}
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// finishRun records a run and returns its response with the faults to apply to it: 1 in a
// share means that this response has the fault. There is no response if the process has
// stopped, the grant of the key has expired meanwhile, or the deadline of an idempotent
// request has passed.
func (s *Server) finishRun(p *process, runID uint64, q request, r *http.Request, startedAt time.Time) (Response, Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	endedAt, expired := now, false
	if h := s.grantOf(p, q.key); s.config.Keyed && h.fence != 0 && !h.expiresAt.IsZero() && now.After(h.expiresAt) {
		endedAt, expired = h.expiresAt, true // a run has no effect after the grant expires
	}
	deadlinePassed := q.idempotent && now.After(q.deadline)
	if deadlinePassed && endedAt.After(q.deadline) {
		endedAt = q.deadline
	}
	s.record(s.newRun(q, startedAt, endedAt))
	delete(p.runningKeys, runID)
	if deadlinePassed || p.stopped || expired {
		p.completeEntry(q, nil)
		return Response{}, Faults{}, false
	}
	p.runsByPath[r.URL.Path]++
	resp := Response{ID: q.id, Server: s.config.Address, Service: s.config.Service, Path: r.URL.Path, RunCount: p.runsByPath[r.URL.Path]}
	p.completeEntry(q, &resp)
	respFaults := s.faults
	respFaults.WrongIDShare = s.sampleFault(respFaults.WrongIDShare)
	respFaults.TruncatedShare = s.sampleFault(respFaults.TruncatedShare)
	return resp, respFaults, true
}

func (s *Server) grantOf(p *process, key int) keyGrant {
	if !s.config.Keyed {
		return keyGrant{}
	}
	return p.grants[key]
}

func (s *Server) writeResponse(w http.ResponseWriter, q request, resp Response, faults Faults) {
	n := names.Default()
	w.Header().Set(n.ID, q.id)
	w.Header().Set(n.Signature, s.config.Address)
	w.Header().Set(n.Load, s.loadHeader())
	if faults.WrongIDShare > 0 {
		resp.ID += "-crossed"
		w.Header().Set(n.ID, resp.ID)
	}
	data, _ := json.Marshal(resp)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if faults.TruncatedShare > 0 {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// loadHeader returns the number of running and of queued requests and the number of slots.
func (s *Server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(s.process.runningKeys), s.process.queued, s.config.Slots)
}

// sampleFault returns 1 with the probability share, and 0 otherwise.
func (s *Server) sampleFault(share float64) float64 {
	if share > 0 && s.rng.Float64() < share {
		return 1
	}
	return 0
}

func (s *Server) newRun(q request, start, end time.Time) oracle.Run {
	r := oracle.Run{Server: s.config.Address, DataCentre: s.config.DataCentre, Service: s.config.Service,
		ID: q.id, Idempotent: q.idempotent, Start: start, End: end}
	if s.config.Keyed {
		r.Key = strconv.Itoa(q.key)
	}
	return r
}

func (s *Server) record(r oracle.Run) {
	s.runs = append(s.runs, r)
	if s.recorder != nil {
		s.recorder.RecordRun(r)
	}
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

// defaultTimeout applies to requests without a deadline.
const defaultTimeout = 5 * time.Second

func parseRequest(r *http.Request, now time.Time) request {
	n := names.Default()
	q := request{id: r.Header.Get(n.ID), deadline: now.Add(defaultTimeout), idempotent: r.Method == http.MethodGet || r.Method == http.MethodHead, sinceFirstSent: timeSinceFirstSent(r)}
	if ms, err := strconv.ParseInt(r.Header.Get(n.Timeout), 10, 64); err == nil {
		q.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if key, err := strconv.Atoi(r.Header.Get(n.Key)); err == nil {
		q.key = key
	}
	return q
}

// writeRefusal answers that the request did not run.
func writeRefusal(w http.ResponseWriter, r *http.Request, status int) {
	n := names.Default()
	w.Header().Set(n.ID, r.Header.Get(n.ID))
	w.Header().Set(n.NotRun, "1")
	w.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // it only fails if the caller has closed the connection
}

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
	// RunCount is how many requests for the path this instance has run, including this one.
	RunCount int `json:"count"`
}

func (s *Server) serve(inst *instance, w http.ResponseWriter, r *http.Request) {
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
		writeDeclined(w, r, http.StatusMisdirectedRequest)
		return
	}
	s.announceLeaving(w)
	switch r.URL.Path {
	case native.GrantPath:
		s.serveGrant(inst, w, body, arrived)
	case native.ReleasePath:
		s.serveRelease(inst, w, body)
	default:
		if s.asksForRest(w) {
			writeDeclined(w, r, http.StatusServiceUnavailable)
			return
		}
		s.serveRequest(inst, w, r)
	}
}

func (s *Server) serveRequest(inst *instance, w http.ResponseWriter, r *http.Request) {
	q := parseRequest(r, time.Now())
	s.checkCaller(q, r.Header)
	if s.config.Keyed && !q.idempotent && q.id != "" {
		s.serveNonIdempotent(inst, w, r, q)
		return
	}
	s.runRequest(inst, w, r, q)
}

// checkCaller records a request that has an API key, or not the name of a known workspace.
func (s *Server) checkCaller(q request, h http.Header) {
	n := names.Default()
	if len(h.Values(n.APIKey)) == 0 && (len(s.config.Workspaces) == 0 || slices.Contains(s.config.Workspaces, h.Get(n.Workspace))) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.record(oracle.Run{Server: s.config.Address, DataCentre: s.config.DataCentre, Service: s.config.Service, ID: q.id, Idempotent: true, Start: now, End: now, ForgedCaller: true})
}

// declineNewRequest declines a request that has not run, and deletes its entry in the
// dedupTable so that the request can be sent again.
func (s *Server) declineNewRequest(inst *instance, w http.ResponseWriter, r *http.Request, q request, status int) {
	s.mu.Lock()
	if !q.idempotent {
		inst.dedupTable.remove(q.dedupID())
	}
	s.mu.Unlock()
	writeDeclined(w, r, status)
}

// runRequest waits for a slot, runs a request and writes its response. It declines the request
// if the server does not hold its key or is full.
func (s *Server) runRequest(inst *instance, w http.ResponseWriter, r *http.Request, q request) {
	if !s.admit(inst, q) {
		status := http.StatusServiceUnavailable
		if s.config.Keyed {
			status = http.StatusMisdirectedRequest
		}
		s.declineNewRequest(inst, w, r, q, status)
		return
	}
	if !s.acquireSlot(r.Context(), inst, q) {
		s.declineNewRequest(inst, w, r, q, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-inst.slots }()
	runID, startedAt, result := s.startRun(inst, q, r)
	switch result {
	case keyNotHeld:
		s.declineNewRequest(inst, w, r, q, http.StatusMisdirectedRequest)
		return
	case instanceCrashed:
		s.Stop()
		panic(http.ErrAbortHandler)
	default:
	}
	s.simulateWork(r, q)
	s.waitWhileFrozen(r.Context())
	resp, faults, ok := s.finishRun(inst, runID, q, r, startedAt)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, q, resp, faults)
}

// admit reports whether the server may run the request. A cold server that receives more
// requests than it can handle admits them too, but records each as overload.
func (s *Server) admit(inst *instance, q request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.config.Keyed && !inst.grants[q.key].expiresAt.After(now) {
		return false
	}
	if !now.Before(inst.coldUntil) {
		return true
	}
	inst.coldArrivals = slices.DeleteFunc(inst.coldArrivals, func(t time.Time) bool { return now.Sub(t) > time.Second })
	inst.coldArrivals = append(inst.coldArrivals, now)
	inUnannouncedGrace := !inst.unannouncedColdAt.IsZero() && now.Sub(inst.unannouncedColdAt) < unannouncedGrace+time.Second
	if float64(len(inst.coldArrivals)) > s.config.ColdRate*coldRateFactor+coldBurst && !inUnannouncedGrace {
		s.record(oracle.Run{Server: s.config.Address, DataCentre: s.config.DataCentre, Service: s.config.Service,
			ID: q.id + " (too many while cold)", Idempotent: true, Start: now, End: now, Overload: true})
	}
	return true
}

// acquireSlot waits for a slot until the request's deadline. It returns false at once if
// maxQueued requests are waiting already.
func (s *Server) acquireSlot(ctx context.Context, inst *instance, q request) bool {
	select {
	case inst.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := inst.queued >= maxQueued
	if !full {
		inst.queued++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		inst.queued--
	}()
	t := time.NewTimer(time.Until(q.deadline))
	defer t.Stop()
	select {
	case inst.slots <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// startResult says whether a request that got a slot was started, and if not, why.
type startResult int

const (
	runStarted startResult = iota
	keyNotHeld
	instanceCrashed
)

func (s *Server) startRun(inst *instance, q request, r *http.Request) (runID uint64, startedAt time.Time, result startResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.config.Keyed && !inst.grants[q.key].expiresAt.After(now) || inst.stopped {
		return 0, now, keyNotHeld // the key was released while the request waited for its slot
	}
	if crashPath := s.faults.CrashOnPath; crashPath != "" && strings.Contains(r.URL.Path, crashPath) {
		s.record(s.newRun(q, now, now))
		return 0, now, instanceCrashed
	}
	s.lastRunID++
	inst.runningKeys[s.lastRunID] = q.key
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

// finishRun records a run and returns its response with the faults to apply to it. In these
// faults, a share is 1 if this response has the fault, and 0 otherwise. There is no response
// if the instance has stopped, the grant of the key has expired meanwhile, or the deadline of
// an idempotent request has passed.
func (s *Server) finishRun(inst *instance, runID uint64, q request, r *http.Request, startedAt time.Time) (Response, Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	endedAt, expired := now, false
	if granted := s.grantOf(inst, q.key); s.config.Keyed && granted.fence != 0 && !granted.expiresAt.IsZero() && now.After(granted.expiresAt) {
		endedAt, expired = granted.expiresAt, true // a run has no effect after the grant expires
	}
	deadlinePassed := q.idempotent && now.After(q.deadline)
	if deadlinePassed && endedAt.After(q.deadline) {
		endedAt = q.deadline
	}
	s.record(s.newRun(q, startedAt, endedAt))
	delete(inst.runningKeys, runID)
	if deadlinePassed || inst.stopped || expired {
		inst.completeEntry(q, nil)
		return Response{}, Faults{}, false
	}
	inst.runsByPath[r.URL.Path]++
	resp := Response{ID: q.id, Server: s.config.Address, Service: s.config.Service, Path: r.URL.Path, RunCount: inst.runsByPath[r.URL.Path]}
	inst.completeEntry(q, &resp)
	respFaults := s.faults
	respFaults.WrongIDShare = s.sampleFault(respFaults.WrongIDShare)
	respFaults.TruncatedShare = s.sampleFault(respFaults.TruncatedShare)
	respFaults.EndlessHeadShare = s.sampleFault(respFaults.EndlessHeadShare)
	respFaults.EndlessBodyShare = s.sampleFault(respFaults.EndlessBodyShare)
	return resp, respFaults, true
}

func (s *Server) grantOf(inst *instance, key int) keyGrant {
	if !s.config.Keyed {
		return keyGrant{}
	}
	return inst.grants[key]
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
	if faults.EndlessHeadShare > 0 {
		writeEndlessHead(w)
	}
	data, _ := json.Marshal(resp)
	w.Header().Set("Content-Type", "application/json")
	if faults.EndlessBodyShare > 0 {
		writeEndless(w, data)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if faults.TruncatedShare > 0 {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// loadHeader returns the load header: the numbers of running requests, queued requests and slots.
func (s *Server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(s.instance.runningKeys), s.instance.queued, s.config.Slots)
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

// defaultTimeout applies to requests without a deadline.
const defaultTimeout = 5 * time.Second

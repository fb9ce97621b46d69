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

// Answer is what a request gets.
type Answer struct {
	ID      string `json:"id"`
	Server  string `json:"server"`
	Service string `json:"service"`
	Path    string `json:"path"`
	// Count is how many requests for the path this process has run.
	Count int `json:"count"`
}

// request is what the headers of a request say.
type request struct {
	id         string
	key        int
	until      time.Time
	idempotent bool
	// age is how long ago it was first sent under its id, as its sender knows; else 0.
	age time.Duration
}

func (s *Server) serve(v *life, w http.ResponseWriter, r *http.Request) {
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
		return // half a request must never run
	}
	s.await(r.Context())
	if id := r.Header.Get(names.Default().Instance); id != "" && id != native.ServerID(s.config.Address) {
		refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case native.GrantPath:
		s.serveGrant(v, w, body, arrived)
	case native.ReleasePath:
		s.serveRelease(v, w, body)
	default:
		s.serveRequest(v, w, r)
	}
}

func (s *Server) serveRequest(v *life, w http.ResponseWriter, r *http.Request) {
	q := parse(r, time.Now())
	if s.config.Keyed && !q.idempotent && q.id != "" {
		s.serveBooking(v, w, r, q)
		return
	}
	s.run(v, w, r, q)
}

// refuseNew refuses a request that was not known before: it did not run.
func (s *Server) refuseNew(v *life, w http.ResponseWriter, r *http.Request, q request, status int) {
	s.mu.Lock()
	if !q.idempotent {
		v.bookings.refuse(q.booking())
	}
	s.mu.Unlock()
	refuse(w, r, status)
}

// run takes a request that was not known before through its slot.
func (s *Server) run(v *life, w http.ResponseWriter, r *http.Request, q request) {
	if !s.admit(v, q) {
		status := http.StatusServiceUnavailable
		if s.config.Keyed {
			status = http.StatusMisdirectedRequest
		}
		s.refuseNew(v, w, r, q, status)
		return
	}
	if !s.slot(r.Context(), v, q) {
		s.refuseNew(v, w, r, q, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-v.slots }()
	run, began, state := s.begin(v, q, r)
	switch state {
	case notHeld:
		s.refuseNew(v, w, r, q, http.StatusMisdirectedRequest)
		return
	case crashing:
		s.Stop()
		panic(http.ErrAbortHandler)
	default:
	}
	s.work(r, q)
	s.await(r.Context())
	answer, f, ok := s.end(v, run, q, r, began)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	s.write(w, q, answer, f)
}

// admit counts an arrival, and notes when a cold server gets more than it bears.
func (s *Server) admit(v *life, q request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.config.Keyed && !v.held[q.key].until.After(now) {
		return false
	}
	if !now.Before(v.coldTill) {
		return true
	}
	v.arrivals = slices.DeleteFunc(v.arrivals, func(t time.Time) bool { return now.Sub(t) > time.Second })
	v.arrivals = append(v.arrivals, now)
	surprise := !v.coldAt.IsZero() && now.Sub(v.coldAt) < coldNotice+time.Second
	if float64(len(v.arrivals)) > s.config.ColdRate*coldFactor+coldSlack && !surprise {
		s.record(oracle.Run{Server: s.config.Address, DataCentre: s.config.DataCentre, Service: s.config.Service,
			ID: q.id + " (too many while cold)", Idempotent: true, Start: now, End: now, Overload: true})
	}
	return true
}

// slot waits for a slot; a few may wait, for as long as their callers do.
func (s *Server) slot(ctx context.Context, v *life, q request) bool {
	select {
	case v.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := v.waiting >= waiting
	if !full {
		v.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		v.waiting--
	}()
	t := time.NewTimer(time.Until(q.until))
	defer t.Stop()
	select {
	case v.slots <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// state is whether a request that has a slot may run.
type state int

const (
	begun state = iota
	notHeld
	crashing
)

func (s *Server) begin(v *life, q request, r *http.Request) (run uint64, began time.Time, st state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.config.Keyed && !v.held[q.key].until.After(now) || v.ended {
		return 0, now, notHeld // released while it waited
	}
	if f := s.faults.CrashOn; f != "" && strings.Contains(r.URL.Path, f) {
		s.record(s.runOf(q, now, now))
		return 0, now, crashing
	}
	s.nextRun++
	v.running[s.nextRun] = q.key
	return s.nextRun, now, begun
}

// work takes the time of the request. A lookup ends early when it is called off or its
// deadline comes; a booking that has begun is carried out.
func (s *Server) work(r *http.Request, q request) {
	s.mu.Lock()
	d := time.Duration((0.5 + s.random.ExpFloat64()/2) * float64(s.config.Work))
	if s.faults.Slow > 1 {
		d = time.Duration(float64(d) * s.faults.Slow)
	}
	s.mu.Unlock()
	if q.idempotent {
		d = min(d, time.Until(q.until))
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

// end commits a run, unless its process has ended, its keys were lost meanwhile, or it is
// a lookup whose deadline has passed.
func (s *Server) end(v *life, run uint64, q request, r *http.Request, began time.Time) (Answer, Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	end, lost := now, false
	if h := s.holdingOf(v, q.key); s.config.Keyed && h.fence != 0 && !h.until.IsZero() && now.After(h.until) {
		end, lost = h.until, true // work has no effect once the lease is over
	}
	late := q.idempotent && now.After(q.until)
	if late && end.After(q.until) {
		end = q.until
	}
	s.record(s.runOf(q, began, end))
	delete(v.running, run)
	if late || v.ended || lost {
		v.noteEnd(q, nil)
		return Answer{}, Faults{}, false
	}
	v.counts[r.URL.Path]++
	a := Answer{ID: q.id, Server: s.config.Address, Service: s.config.Service, Path: r.URL.Path, Count: v.counts[r.URL.Path]}
	v.noteEnd(q, &a)
	f := s.faults
	f.CrossAnswers = s.flip(f.CrossAnswers)
	f.CutAnswers = s.flip(f.CutAnswers)
	return a, f, true
}

func (s *Server) holdingOf(v *life, key int) holding {
	if !s.config.Keyed {
		return holding{}
	}
	return v.held[key]
}

func (s *Server) write(w http.ResponseWriter, q request, a Answer, f Faults) {
	n := names.Default()
	w.Header().Set(n.ID, q.id)
	w.Header().Set(n.Signature, s.config.Address)
	w.Header().Set(n.Load, s.load())
	if f.CrossAnswers > 0 {
		a.ID += "-crossed"
		w.Header().Set(n.ID, a.ID)
	}
	data, _ := json.Marshal(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.CutAnswers > 0 {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// load tells how many requests run and wait, and how many slots there are.
func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(s.life.running), s.life.waiting, s.config.Slots)
}

// flip turns a share into 1 or 0.
func (s *Server) flip(share float64) float64 {
	if share > 0 && s.random.Float64() < share {
		return 1
	}
	return 0
}

func (s *Server) runOf(q request, start, end time.Time) oracle.Run {
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
		s.recorder.Ran(r)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Faults
		TurnCold bool `json:"turnCold"`
	}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		http.Error(w, fmt.Sprintf("faults: %v", err), http.StatusBadRequest)
		return
	}
	s.SetFaults(in.Faults)
	if in.TurnCold {
		s.TurnCold()
	}
}

// usualPatience is taken for callers that name no deadline.
const usualPatience = 5 * time.Second

func parse(r *http.Request, now time.Time) request {
	n := names.Default()
	q := request{id: r.Header.Get(n.ID), until: now.Add(usualPatience), idempotent: r.Method == http.MethodGet || r.Method == http.MethodHead, age: ageOf(r)}
	if ms, err := strconv.ParseInt(r.Header.Get(n.Timeout), 10, 64); err == nil {
		q.until = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if key, err := strconv.Atoi(r.Header.Get(n.Key)); err == nil {
		q.key = key
	}
	return q
}

// refuse says that the request did not run.
func refuse(w http.ResponseWriter, r *http.Request, status int) {
	n := names.Default()
	w.Header().Set(n.ID, r.Header.Get(n.ID))
	w.Header().Set(n.NotRun, "1")
	w.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller has left if it fails
}

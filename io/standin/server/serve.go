package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"catkinstep/core/request/retry"
	"catkinstep/io/connection/back"
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

type loadReport struct {
	Running int  `json:"running"`
	Slots   int  `json:"slots"`
	Healthy bool `json:"healthy"`
}

// crashed is what begin returns when the request ends the process.
const crashed = "crashed"

// order is what the headers of a request say.
type order struct {
	id          string
	key         string
	token       uint64
	incarnation uint64
	notAfter    time.Duration
	idempotent  bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	body, _ := io.ReadAll(r.Body)
	s.await(r.Context())
	switch r.URL.Path {
	case back.GrantPath:
		s.serveGrant(w, body)
	case "/load":
		s.serveLoad(w)
	default:
		s.serveOrder(w, r)
	}
}

func (s *Server) serveGrant(w http.ResponseWriter, body []byte) {
	var in struct {
		Token uint64 `json:"token"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status := http.StatusOK
	if s.config.ChecksTokens && in.Token < s.token {
		status = http.StatusConflict
	}
	s.token = max(s.token, in.Token)
	others := 0
	for _, token := range s.running {
		if token != in.Token {
			others++
		}
	}
	writeJSON(w, status, back.GrantReply{
		Token: s.token, Incarnation: s.incarnation, ClockMicros: s.clock().Microseconds(), Others: others, Running: len(s.running), Leaving: s.leaving,
	})
}

// serveLoad reports late, as the brief says such reports do.
func (s *Server) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.reported) > reportLag {
		s.reported = time.Now()
		s.report = loadReport{Running: len(s.running), Slots: s.config.Slots, Healthy: true}
	}
	writeJSON(w, http.StatusOK, s.report)
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	o := parse(r)
	run, began, refusal := s.begin(o)
	if refusal == crashed {
		s.Stop()
		panic(http.ErrAbortHandler)
	}
	if refusal != "" {
		w.Header().Set(back.HeaderID, o.id)
		w.Header().Set(back.HeaderOutcome, back.OutcomeNotRun)
		w.Header().Set(back.HeaderCode, refusal)
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	s.work(r, o)
	s.await(r.Context())
	answer, f, ok := s.end(run, o, r, began)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	s.write(w, o, answer, f)
}

// begin admits an order or names the code of its refusal.
func (s *Server) begin(o order) (run uint64, began time.Time, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.config.ChecksTokens && (o.token != s.token || o.incarnation != s.incarnation) {
		return 0, now, retry.Fenced
	}
	if o.notAfter > 0 && s.clock() >= o.notAfter {
		return 0, now, retry.DeadlineOver
	}
	if len(s.running) >= s.bears() {
		surprise := !s.coldAt.IsZero() && now.Sub(s.coldAt) < coldNotice
		if !surprise {
			s.record(oracle.Run{Server: s.config.Address, DataCentre: s.config.DataCentre, Service: s.config.Service,
				ID: o.id + " (shed)", Idempotent: true, Start: now, End: now, Overload: true})
		}
		return 0, now, retry.Shed
	}
	if f := s.faults.CrashOn; f != "" && strings.Contains(o.key, f) {
		s.record(s.runOf(o, now, now))
		return 0, now, crashed
	}
	s.nextRun++
	s.running[s.nextRun] = o.token
	return s.nextRun, now, ""
}

// work takes the time of the request, and ends early when it is called off or
// its deadline comes.
func (s *Server) work(r *http.Request, o order) {
	s.mu.Lock()
	d := time.Duration((0.5 + s.random.ExpFloat64()/2) * float64(s.config.Work))
	if s.faults.Slow > 1 {
		d = time.Duration(float64(d) * s.faults.Slow)
	}
	left := o.notAfter - s.clock()
	s.mu.Unlock()
	if o.notAfter > 0 {
		d = min(d, left)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	if !o.idempotent {
		<-t.C
		return
	}
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// end commits a run, unless its process has ended or its deadline has passed.
func (s *Server) end(run uint64, o order, r *http.Request, began time.Time) (Answer, Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	end := now
	if limit := s.began.Add(o.notAfter); o.notAfter > 0 && end.After(limit) {
		end = limit
	}
	s.record(s.runOf(o, began, end))
	delete(s.running, run)
	if o.notAfter > 0 && s.clock() >= o.notAfter || s.incarnation == 0 {
		return Answer{}, Faults{}, false
	}
	s.warmth++
	s.counts[r.URL.Path]++
	a := Answer{ID: o.id, Server: s.config.Address, Service: s.config.Service, Path: r.URL.Path, Count: s.counts[r.URL.Path]}
	f := s.faults
	f.CrossAnswers = s.flip(f.CrossAnswers)
	f.CutAnswers = s.flip(f.CutAnswers)
	return a, f, true
}

func (s *Server) write(w http.ResponseWriter, o order, a Answer, f Faults) {
	w.Header().Set(back.HeaderID, o.id)
	if f.CrossAnswers > 0 {
		a.ID += "-crossed"
		w.Header().Set(back.HeaderID, a.ID)
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

// flip turns a share into 1 or 0.
func (s *Server) flip(share float64) float64 {
	if share > 0 && s.random.Float64() < share {
		return 1
	}
	return 0
}

func (s *Server) runOf(o order, start, end time.Time) oracle.Run {
	return oracle.Run{Server: s.config.Address, DataCentre: s.config.DataCentre, Service: s.config.Service,
		ID: o.id, Key: o.key, Idempotent: o.idempotent, Start: start, End: end}
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
		Leave    bool `json:"leave"`
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
	if in.Leave {
		s.Leave()
	}
}

func parse(r *http.Request) order {
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(r.Header.Get(name), 10, 64)
		return n
	}
	return order{
		id:          r.Header.Get(back.HeaderID),
		key:         r.Header.Get("Catkinstep-Key"),
		token:       number(back.HeaderToken),
		incarnation: number(back.HeaderIncarnation),
		notAfter:    time.Duration(number(back.HeaderNotAfter)) * time.Microsecond,
		idempotent:  r.Method == http.MethodGet || r.Method == http.MethodHead,
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

package server

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"catkinstep/core/version/grant"
	"catkinstep/io/standin/oracle"
)

const (
	// coldNotice is how long after turning cold without warning an overload is
	// not the sender's fault: nobody can have known.
	coldNotice = 300 * time.Millisecond
	// coldFactor and coldSlack bound what a cold server bears in any second
	// beside its rate.
	coldFactor = 1.5
	coldSlack  = 5
	// waiting is how many requests wait for a slot before others are shed.
	waiting = 2
)

// Recorder learns of each execution; oracle.Oracle is one.
type Recorder interface{ Ran(oracle.Run) }

// Config describes one server.
type Config struct {
	Address    string
	Service    string
	DataCentre string
	Slots      int
	// Keyed servers run a request only while they hold its key.
	Keyed bool
	// Work is the mean time of a request.
	Work time.Duration
	// Cold is how long it is cold after a start, ColdRate what it bears then, in
	// requests a second; without a rate it is never cold.
	Cold     time.Duration
	ColdRate float64
	Seed     uint64
}

// Faults are what the server does wrong.
type Faults struct {
	// Slow multiplies the time of a request; below 1 means not slow.
	Slow float64 `json:"slow"`
	// Frozen stops all work, as a paused process does.
	Frozen bool `json:"frozen"`
	// CrossAnswers is the share of answers that carry another request's id.
	CrossAnswers float64 `json:"crossAnswers"`
	// CutAnswers is the share of answers that end in the middle.
	CutAnswers float64 `json:"cutAnswers"`
	// CrashOn ends the process when it runs a request whose path holds this.
	CrashOn string `json:"crashOn"`
}

// holding is what a server knows of one key.
type holding struct {
	fence uint64
	until time.Time
}

// life is what a process has and loses with its end.
type life struct {
	listener net.Listener
	http     *http.Server
	ended    bool
	held     []holding // by key; empty where the service has no keys
	running  map[uint64]int
	slots    chan struct{}
	waiting  int
	counts   map[string]int
	bookings *bookings
	began    time.Time
	coldTill time.Time
	coldAt   time.Time // when it turned cold without warning
	arrivals []time.Time
}

// Server is the stand-in.
type Server struct {
	config   Config
	recorder Recorder

	mu      sync.Mutex
	life    *life
	faults  Faults
	thaw    chan struct{} // closed while not frozen
	nextRun uint64
	random  *rand.Rand
	runs    []oracle.Run
}

// New returns a server that does not listen yet.
func New(c Config, r Recorder) *Server {
	if c.Work == 0 {
		c.Work = 5 * time.Millisecond
	}
	s := &Server{config: c, recorder: r, random: rand.New(rand.NewPCG(c.Seed, 5)), thaw: make(chan struct{})}
	close(s.thaw)
	return s
}

// Start listens as a new process would: cold, and holding no key.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return fmt.Errorf("server stand-in: %w", err)
	}
	now := time.Now()
	v := &life{listener: l, running: map[uint64]int{}, slots: make(chan struct{}, s.config.Slots), counts: map[string]int{}, bookings: newBookings(), began: now}
	if s.config.ColdRate > 0 {
		v.coldTill = now.Add(s.config.Cold)
	}
	if s.config.Keyed {
		v.held = make([]holding, grant.LastKey+1)
	}
	v.http = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(v, w, r) })}
	s.mu.Lock()
	s.life = v
	s.mu.Unlock()
	go func() {
		if err := v.http.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(err)
		}
	}()
	return nil
}

// Stop ends it at once, as a crash does: open connections break.
func (s *Server) Stop() {
	s.mu.Lock()
	v := s.life
	if v != nil {
		v.ended = true // what still runs in memory has no effect any more
	}
	s.mu.Unlock()
	if v != nil {
		_ = v.http.Close()
	}
}

// Address returns the address it listens at.
func (s *Server) Address() string { return s.config.Address }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen != s.faults.Frozen {
		if f.Frozen {
			s.thaw = make(chan struct{})
		} else {
			close(s.thaw)
		}
	}
	s.faults = f
}

// Freeze stops all work, as a paused process does, or lets it go on.
func (s *Server) Freeze(on bool) { s.SetFaults(Faults{Frozen: on}) }

// TurnCold loses the warmth without a warning.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil || s.config.ColdRate <= 0 {
		return
	}
	s.life.coldAt = time.Now()
	s.life.coldTill = s.life.coldAt.Add(s.config.Cold)
}

// Warm makes it bear all that its slots allow at once.
func (s *Server) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != nil {
		s.life.coldTill = time.Time{}
	}
}

// Holds tells whether the server holds a key now.
func (s *Server) Holds(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life != nil && !s.life.ended && len(s.life.held) > key && s.life.held[key].until.After(time.Now())
}

// Running returns how many requests run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return 0
	}
	return len(s.life.running)
}

// await blocks while the server is frozen.
func (s *Server) await(ctx context.Context) {
	for {
		s.mu.Lock()
		thaw, frozen := s.thaw, s.faults.Frozen
		s.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-thaw:
		case <-ctx.Done():
			// A frozen process does not notice that its caller hung up.
			<-thaw
		}
	}
}

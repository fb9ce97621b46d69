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
	// unannouncedGrace is how long overload is not recorded after the server turned cold
	// without a restart, because routers can't know of it yet.
	unannouncedGrace = 300 * time.Millisecond
	// A cold server is overloaded when more than coldRateFactor times its cold rate plus
	// coldBurst requests arrive within a second.
	coldRateFactor = 1.5
	coldBurst      = 5
	// maxQueued is how many requests can wait for a slot; the server declines more.
	maxQueued = 2
)

// Recorder receives each run of a request. It is implemented by oracle.Oracle.
type Recorder interface{ RecordRun(oracle.Run) }

// Config is the configuration of one server.
type Config struct {
	Address    string
	Service    string
	DataCentre string
	// Slots is how many requests run concurrently.
	Slots int
	// Keyed makes the server run a request only while it holds the request's key.
	Keyed bool
	// MeanServiceTime is the mean of the service time, which is how long a request runs; 5ms
	// by default.
	MeanServiceTime time.Duration
	// ColdPeriod is how long the server is cold after a start.
	ColdPeriod time.Duration
	// ColdRate is how many requests per second a cold server can handle; zero means that the
	// server is never cold. A much higher rate is recorded as overload.
	ColdRate float64
	Seed     uint64
	// Workspaces are those whose requests the server may get; empty if callers need no keys.
	Workspaces []string
}

// Faults are the faults to inject into a server.
type Faults struct {
	// SlowdownFactor multiplies the service time; 1 or less has no effect.
	SlowdownFactor float64 `json:"slow"`
	// Frozen suspends the server, as SIGSTOP does with a process.
	Frozen bool `json:"frozen"`
	// WrongIDShare is the share of responses that carry the ID of another request.
	WrongIDShare float64 `json:"crossAnswers"`
	// TruncatedShare is the share of responses that break off in the middle.
	TruncatedShare float64 `json:"cutAnswers"`
	// EndlessHeadShare and EndlessBodyShare are the shares of responses whose head or body goes on until
	// the daemon closes the connection.
	EndlessHeadShare float64 `json:"endlessHeads"`
	EndlessBodyShare float64 `json:"endlessBodies"`
	// CrashOnPath crashes the server when it is about to run a request whose path contains this text;
	// empty means never.
	CrashOnPath string `json:"crashOn"`
	// RestSeconds makes the server decline all requests for so long, and ask for rest until then.
	RestSeconds float64 `json:"restSeconds"`
	// Leaving makes the server say in all its responses that it leaves.
	Leaving bool `json:"leaving"`
}

// keyGrant is the grant of one key. Its fence stays after the release, so that a delayed grant
// with a lower fencing token is rejected.
type keyGrant struct {
	fence     uint64
	expiresAt time.Time
}

// instance is the state of one run of the server. A restart begins with a new one.
type instance struct {
	listener          net.Listener
	http              *http.Server
	stopped           bool
	grants            []keyGrant     // by key; empty if the service has no keys
	runningKeys       map[uint64]int // key of each running request, by run ID
	slots             chan struct{}  // one element for each slot in use
	queued            int            // requests that wait for a slot
	runsByPath        map[string]int
	dedupTable        *dedupTable
	startedAt         time.Time
	coldUntil         time.Time
	unannouncedColdAt time.Time   // when the server turned cold without a restart
	coldArrivals      []time.Time // requests of the last second, while cold
}

// Server is a stand-in for a backend server. Start after Stop starts a new instance at the
// same address.
type Server struct {
	config   Config
	recorder Recorder

	mu        sync.Mutex
	instance  *instance
	faults    Faults
	resumed   chan struct{} // closed unless the server is frozen
	restUntil time.Time     // see Faults.RestSeconds
	lastRunID uint64
	rng       *rand.Rand
	runs      []oracle.Run
}

// New returns a server that does not listen yet. The recorder may be nil.
func New(c Config, r Recorder) *Server {
	if c.MeanServiceTime == 0 {
		c.MeanServiceTime = 5 * time.Millisecond
	}
	s := &Server{config: c, recorder: r, rng: rand.New(rand.NewPCG(c.Seed, 5)), resumed: make(chan struct{})}
	close(s.resumed)
	return s
}

// Start starts a new instance of the server, which is cold and holds no key.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return fmt.Errorf("server stand-in: %w", err)
	}
	now := time.Now()
	inst := &instance{listener: l, runningKeys: map[uint64]int{}, slots: make(chan struct{}, s.config.Slots), runsByPath: map[string]int{}, dedupTable: newDedupTable(), startedAt: now}
	if s.config.ColdRate > 0 {
		inst.coldUntil = now.Add(s.config.ColdPeriod)
	}
	if s.config.Keyed {
		inst.grants = make([]keyGrant, grant.LastKey+1)
	}
	inst.http = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(inst, w, r) })}
	s.mu.Lock()
	s.instance = inst
	s.mu.Unlock()
	go func() {
		if err := inst.http.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(err)
		}
	}()
	return nil
}

// Stop ends the current instance at once, as a crash does: open connections break.
func (s *Server) Stop() {
	s.mu.Lock()
	inst := s.instance
	if inst != nil {
		inst.stopped = true // goroutines that still run must have no effect
	}
	s.mu.Unlock()
	if inst != nil {
		_ = inst.http.Close()
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.config.Address }

// SetFaults replaces all injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen != s.faults.Frozen {
		if f.Frozen {
			s.resumed = make(chan struct{})
		} else {
			close(s.resumed)
		}
	}
	s.faults = f
	s.restUntil = time.Now().Add(time.Duration(f.RestSeconds * float64(time.Second)))
}

// Freeze suspends the server, as SIGSTOP does with a process, or resumes it. It clears all
// other faults.
func (s *Server) Freeze(on bool) { s.SetFaults(Faults{Frozen: on}) }

// TurnCold makes the server cold without a restart, so that routers have no sign of it.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == nil || s.config.ColdRate <= 0 {
		return
	}
	s.instance.unannouncedColdAt = time.Now()
	s.instance.coldUntil = s.instance.unannouncedColdAt.Add(s.config.ColdPeriod)
}

// Warm ends the cold period.
func (s *Server) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance != nil {
		s.instance.coldUntil = time.Time{}
	}
}

// Holds reports whether the server holds a key now.
func (s *Server) Holds(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance != nil && !s.instance.stopped && len(s.instance.grants) > key && s.instance.grants[key].expiresAt.After(time.Now())
}

// Running returns the number of requests that run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == nil {
		return 0
	}
	return len(s.instance.runningKeys)
}

// waitWhileFrozen blocks until the server is not frozen.
func (s *Server) waitWhileFrozen(ctx context.Context) {
	for {
		s.mu.Lock()
		resumed, frozen := s.resumed, s.faults.Frozen
		s.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			// A suspended process does not notice that its caller closed the connection.
			<-resumed
		}
	}
}

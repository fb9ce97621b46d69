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

	"catkinstep/io/standin/oracle"
)

const (
	// warmAfter is how many answers a cold server gives before it bears one
	// request more.
	warmAfter = 8
	// coldNotice is how long after turning cold without warning an overload is
	// not the sender's fault: nobody can have known.
	coldNotice = 300 * time.Millisecond
	// reportLag is how late the load report follows.
	reportLag = time.Second
)

// Recorder is told of each execution; oracle.Oracle is one.
type Recorder interface{ Ran(oracle.Run) }

// Config describes one server.
type Config struct {
	Address      string
	Service      string
	DataCentre   string
	Slots        int
	ChecksTokens bool
	// Work is the mean time of a request.
	Work time.Duration
	Seed uint64
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
	// CrashOn ends the process when it runs a request whose key is this.
	CrashOn string `json:"crashOn"`
}

// Server is the stand-in.
type Server struct {
	config   Config
	recorder Recorder

	mu          sync.Mutex
	listener    net.Listener
	http        *http.Server
	began       time.Time
	incarnation uint64
	token       uint64
	leaving     bool
	faults      Faults
	thaw        chan struct{} // closed while not frozen
	warmth      int           // answers since cold
	coldAt      time.Time     // when it turned cold without warning
	running     map[uint64]uint64
	nextRun     uint64
	random      *rand.Rand
	runs        []oracle.Run
	report      loadReport
	reported    time.Time
	counts      map[string]int
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

// Start listens as a new process would: cold, with no token.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return fmt.Errorf("server stand-in: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.began = time.Now()
	s.incarnation = uint64(s.began.UnixNano())
	s.token, s.warmth, s.leaving = 0, 0, false
	s.coldAt = time.Time{}
	s.running = map[uint64]uint64{}
	s.counts = map[string]int{}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	serving := s.http
	go func() {
		if err := serving.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(err)
		}
	}()
	return nil
}

// Stop ends it at once, as a crash does: open connections break.
func (s *Server) Stop() {
	s.mu.Lock()
	serving := s.http
	s.incarnation = 0 // what still runs in memory has no effect any more
	s.mu.Unlock()
	if serving != nil {
		_ = serving.Close()
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
	s.warmth = 0
	s.coldAt = time.Now()
}

// Warm makes it bear all its slots at once.
func (s *Server) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmth = warmAfter * s.config.Slots
}

// Leave announces a planned stop.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Bears returns how many requests it can run now.
func (s *Server) Bears() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bears()
}

// Running returns how many requests run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

func (s *Server) bears() int { return min(s.config.Slots, 1+s.warmth/warmAfter) }

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

// clock is the server's own monotonic clock.
func (s *Server) clock() time.Duration { return time.Since(s.began) }

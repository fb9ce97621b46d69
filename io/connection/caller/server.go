package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"catkinstep/io/connection/sock"
)

const (
	// depth is how many requests of one connection may be under way: a few more
	// than callers were seen to send ahead.
	depth = 16
	// acceptPause follows a failed accept, as when descriptors run out.
	acceptPause = 20 * time.Millisecond
	// userTimeout ends a connection whose answer is not acknowledged.
	userTimeout = 5 * time.Second
	// firstWithin is how long a new connection is awaited its first request while
	// the server finishes: a few round trips to any caller.
	firstWithin = 250 * time.Millisecond
	// finishPoll paces the wait for the last requests.
	finishPoll = 20 * time.Millisecond
)

// Reply is the answer to one request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Request is one request, read whole.
type Request struct {
	*http.Request
	Body []byte
	// Read is when it had been read.
	Read time.Time
}

// Refusal is an answer that is not a server's, before it has a form.
type Refusal struct {
	ID     string
	Status int
	// Reason is the code that logs and counters name it by.
	Reason string
	// MaybeRan is set when an attempt may have run.
	MaybeRan bool
	// After is when coming back may help; zero when it does not.
	After time.Duration
}

// Handler answers a request. Its context ends when the caller is gone.
type Handler func(ctx context.Context, r Request) Reply

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Header is how long a request may take to arrive, Idle how long a
	// connection may be kept without one.
	Header time.Duration
	Idle   time.Duration
}

// Server serves the connections of one listener.
type Server struct {
	handler  Handler
	limits   func() Limits
	stopping atomic.Bool
	running  atomic.Int64
	taken    atomic.Int64

	mu    sync.Mutex
	conns map[*conn]bool
}

// Option changes a Server that New makes.
type Option func(*Server)

// WithLimits sets where the limits in force are read from.
func WithLimits(f func() Limits) Option { return func(s *Server) { s.limits = f } }

// New returns a Server.
func New(h Handler, opts ...Option) *Server {
	s := &Server{handler: h, conns: map[*conn]bool{}}
	s.limits = func() Limits {
		return Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, Header: 5 * time.Second, Idle: time.Minute}
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Running is the number of requests that were read and not yet answered.
func (s *Server) Running() int64 { return s.running.Load() }

// Taken is the number of connections accepted so far.
func (s *Server) Taken() int64 { return s.taken.Load() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.taken.Add(1)
		s.start(nc)
	}
}

// Stop makes answers announce the close of their connections.
func (s *Server) Stop() { s.stopping.Store(true) }

// Finish closes idle connections and waits until the rest are answered. Callers
// that connected right before the listener was closed, and may not be known here
// yet, are awaited their first request.
func (s *Server) Finish(ctx context.Context) {
	s.Stop()
	began := time.Now()
	for ctx.Err() == nil {
		left := s.closeIdle(time.Now())
		if left == 0 && time.Since(began) >= firstWithin {
			return
		}
		time.Sleep(finishPoll)
	}
}

// Abort breaks all connections, as the end of the process would.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) start(nc net.Conn) {
	if err := sock.SetUserTimeout(nc, userTimeout); err != nil {
		_ = nc.Close() // the caller has gone already
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(ctx, cancel, s, nc)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	go c.write()
	go c.read()
}

func (s *Server) ended(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// closeIdle closes connections without a request and returns how many are left.
func (s *Server) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.closeIfIdle(now) {
			delete(s.conns, c)
		}
	}
	return len(s.conns)
}

package caller

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"catkinstep/core/process/memory"
	"catkinstep/io/connection/chunk"
	"catkinstep/io/connection/sock"
)

const (
	// maxPipelined is how many requests of one connection may wait for their replies.
	// Callers pipeline somewhat fewer.
	maxPipelined = 16
	// acceptRetryDelay is the delay after a failed accept, for example because there are
	// no free file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// tcpUserTimeout closes a connection whose caller does not acknowledge a reply.
	tcpUserTimeout = 5 * time.Second
	// firstRequestWait is how long the first request of a new connection is awaited during
	// a shutdown: a few round trips to any caller.
	firstRequestWait = 250 * time.Millisecond
	// readBufferSize is the size in bytes of the buffer of each connection.
	readBufferSize = 4 << 10
	// shutdownPollInterval is the interval at which a shutdown checks for open connections.
	shutdownPollInterval = 20 * time.Millisecond
)

// Request is a request with its complete body.
type Request struct {
	*http.Request
	Body chunk.Body
	// ReadAt is when the request had been read completely.
	ReadAt time.Time
}

// Handler returns the reply to a request. The context is cancelled when the caller's
// connection ends.
type Handler func(ctx context.Context, r Request) Reply

// Limits are the limits on requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// ReadTimeout is how long a request may take to arrive completely, header and body, once
	// its first byte has arrived.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may wait for the first byte of the next request.
	IdleTimeout time.Duration
}

// Memory is what requests and connections reserve memory from.
type Memory interface {
	// Reserve takes n bytes, and reports whether there was room. Release gives them back.
	Reserve(u memory.Use, n int64) bool
	Release(u memory.Use, n int64)
	// Alloc returns a block that is given back once nothing refers to it, or nil if there is no room. Discard
	// records that n bytes of blocks will not be used any more.
	Alloc(u memory.Use, n int) []byte
	Discard(n int)
	// Fits reports whether n bytes could be reserved if nothing else were in use.
	Fits(u memory.Use, n int64) bool
}

// unlimited is a Memory without limits.
type unlimited struct{}

func (unlimited) Reserve(memory.Use, int64) bool   { return true }
func (unlimited) Release(memory.Use, int64)        {}
func (unlimited) Alloc(_ memory.Use, n int) []byte { return make([]byte, n) }
func (unlimited) Discard(int)                      {}
func (unlimited) Fits(memory.Use, int64) bool      { return true }

// Server serves the connections of one listener.
type Server struct {
	handler      Handler
	limits       func() Limits
	checkHead    func(r *http.Request) (Reply, bool)
	refuseUnread func(r *http.Request, status int) Reply
	onEvicted    func()
	memory       Memory
	maxConns     int
	turns        *turns
	shuttingDown atomic.Bool
	running      atomic.Int64
	accepted     atomic.Int64

	mu        sync.Mutex
	conns     map[*conn]bool
	evictedAt time.Time // when callers that do not read were last evicted
}

// Option configures a Server.
type Option func(*Server)

// WithLimits sets the function that returns the current limits.
func WithLimits(f func() Limits) Option { return func(s *Server) { s.limits = f } }

// WithUnread sets the function that returns the reply to a request that could not be read, and that the handler
// does not get. The request is nil if its head could not be read, and has no body otherwise.
func WithUnread(f func(r *http.Request, status int) Reply) Option {
	return func(s *Server) { s.refuseUnread = f }
}

// WithHeadCheck sets a function that may refuse a request before its body is read.
func WithHeadCheck(f func(r *http.Request) (Reply, bool)) Option {
	return func(s *Server) { s.checkHead = f }
}

// WithMemory limits the memory of requests.
func WithMemory(m Memory) Option { return func(s *Server) { s.memory = m } }

// WithMaxConns limits the connections. If there are more, those are closed that have not sent a request, that do
// not read their replies, or that have been idle for longest; onEvicted is called for each.
func WithMaxConns(n int, onEvicted func()) Option {
	return func(s *Server) { s.maxConns, s.onEvicted = n, onEvicted }
}

// New returns a Server that handles requests with h.
func New(h Handler, opts ...Option) *Server {
	s := &Server{handler: h, turns: newTurns(), conns: map[*conn]bool{}, memory: unlimited{}, maxConns: math.MaxInt, onEvicted: func() {}}
	s.checkHead = func(*http.Request) (Reply, bool) { return Reply{}, false }
	s.refuseUnread = func(_ *http.Request, status int) Reply { return NewUnread(status) }
	s.limits = func() Limits {
		return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Running returns the number of requests that wait for their replies.
func (s *Server) Running() int64 { return s.running.Load() }

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int64 { return s.accepted.Load() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accepted.Add(1)
		s.startConn(nc)
	}
}

// BeginShutdown makes the server announce the close of each connection with the last
// reply on it, and accept no request while another is pending on the connection.
func (s *Server) BeginShutdown() { s.shuttingDown.Store(true) }

// Shutdown closes idle connections and waits until the others have got their replies or
// the context ends. It waits at least firstRequestWait, for the first requests of callers
// that connected just before the listener was closed and may not have been accepted yet.
func (s *Server) Shutdown(ctx context.Context) {
	s.BeginShutdown()
	startedAt := time.Now()
	for ctx.Err() == nil {
		remaining := s.closeIdle(time.Now())
		if remaining == 0 && time.Since(startedAt) >= firstRequestWait {
			return
		}
		time.Sleep(shutdownPollInterval)
	}
}

// Abort closes all connections immediately, as the end of the process would.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) startConn(nc net.Conn) {
	if err := sock.SetUserTimeout(nc, tcpUserTimeout); err != nil {
		_ = nc.Close() // the caller has already disconnected
		return
	}
	if !s.makeRoom(time.Now()) {
		s.onEvicted()
		_ = nc.Close()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(ctx, cancel, s, nc)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	go c.readLoop()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// closeIdle closes the idle connections and returns the number of those still open.
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

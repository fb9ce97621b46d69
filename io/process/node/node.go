package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/burn"
	"catkinstep/core/process/daemon"
	"catkinstep/core/request/crash"
	"catkinstep/core/request/ledger"
	"catkinstep/core/version/route"
	"catkinstep/core/version/table"
	"catkinstep/io/connection/mesh"
	"catkinstep/io/connection/plat"
	"catkinstep/io/process/prefs"
	"catkinstep/io/request/entry"
)

const (
	tickEvery = 50 * time.Millisecond
	// crashBound is how many servers a request may bring down before it is
	// refused, and crashKeep how long that is remembered.
	crashBound = 2
	crashKeep  = 10 * time.Minute
	// copyKeep is how long a backup keeps ids that nobody adds to.
	copyKeep = 10 * time.Minute
	// stopLinger lets callers and daemons that still name this one finish.
	stopLinger = 300 * time.Millisecond
)

// Kind sorts the errors of this package.
type Kind string

// Kinds of errors.
const (
	Address Kind = "address" // an address could not be opened
	Stopped Kind = "stopped" // the daemon did not stop in time
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("daemon: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Option changes a Node that Start makes.
type Option func(*Node)

// WithLogger sets where log lines go; by default they are dropped.
func WithLogger(l *slog.Logger) Option { return func(n *Node) { n.log = l } }

// WithSeed seeds all choices.
func WithSeed(seed uint64) Option { return func(n *Node) { n.seed = seed } }

// WithCore passes options on to the control state.
func WithCore(opts ...daemon.Option) Option {
	return func(n *Node) { n.core = append(n.core, opts...) }
}

// WithOperator serves the operator's interface by a handler.
func WithOperator(h func(*Node) http.Handler) Option {
	return func(n *Node) { n.operator = h }
}

// Node is a running daemon.
type Node struct {
	prefs    prefs.Prefs
	self     table.Daemon
	log      *slog.Logger
	seed     uint64
	core     []daemon.Option
	operator func(*Node) http.Handler

	tomb     tomb.Tomb
	mesh     *mesh.Mesh
	platform *plat.Client
	entry    *entry.Entry
	callers  *http.Server
	admin    *http.Server
	metrics  *expvar.Map

	messages chan daemon.Msg
	left     chan struct{}
	route    atomic.Pointer[route.Route]
	status   atomic.Pointer[wire.StatusReply]

	mu      sync.Mutex
	changed chan struct{}
	desks   map[string]*desk
	replies map[uint64]chan any
	nextID  uint64
	unwatch context.CancelFunc

	shelfMu  sync.Mutex
	shelf    *ledger.Shelf
	crashMu  sync.Mutex
	suspects *crash.Suspects
	burnMu   sync.Mutex
	burn     *burn.Meter
}

// Start opens the daemon's addresses and runs it.
func Start(p prefs.Prefs, opts ...Option) (*Node, error) {
	now := time.Now()
	n := &Node{
		prefs:    p,
		self:     table.Daemon{Address: p.Mesh, Incarnation: uint64(now.UnixNano())},
		log:      slog.New(slog.DiscardHandler),
		seed:     uint64(now.UnixNano()),
		platform: plat.New(p.Platform, p.DataCentre),
		metrics:  new(expvar.Map).Init(),
		messages: make(chan daemon.Msg, 256),
		left:     make(chan struct{}),
		changed:  make(chan struct{}),
		desks:    map[string]*desk{},
		replies:  map[uint64]chan any{},
		shelf:    ledger.NewShelf(copyKeep),
		suspects: crash.New(crashBound, crashKeep),
		burn:     burn.New(now),
	}
	for _, o := range opts {
		o(n)
	}
	n.status.Store(&wire.StatusReply{})
	n.entry = entry.New(n, entry.WithMaxBody(int64(p.MaxBody)), entry.WithSeed(n.seed))
	if err := n.open(); err != nil {
		return nil, err
	}
	n.tomb.Go(n.control)
	n.tomb.Go(n.tick)
	n.log.Info("daemon: started.", "dataCentre", p.DataCentre, "callers", p.Callers, "mesh", p.Mesh)
	return n, nil
}

// open listens at all addresses, or at none.
func (n *Node) open() error {
	callers, err := net.Listen("tcp", n.prefs.Callers)
	if err != nil {
		return &Error{Op: "callers", Kind: Address, Err: err}
	}
	operator, err := net.Listen("tcp", n.prefs.Operator)
	if err != nil {
		_ = callers.Close()
		return &Error{Op: "operator", Kind: Address, Err: err}
	}
	n.mesh, err = mesh.Listen(n.prefs.Mesh, n.handle)
	if err != nil {
		_ = callers.Close()
		_ = operator.Close()
		return &Error{Op: "mesh", Kind: Address, Err: err}
	}
	n.callers = &http.Server{Handler: n.entry, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	n.serve(n.callers, callers)
	if n.operator != nil {
		n.admin = &http.Server{Handler: n.operator(n), ReadHeaderTimeout: 10 * time.Second}
		n.serve(n.admin, operator)
	} else {
		_ = operator.Close()
	}
	return nil
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	n.tomb.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// Stop ends the daemon without cutting a request: it takes itself out of the
// balancer, hands its servers to other daemons, finishes what callers wait for,
// and closes. When the context ends first, it closes at once and says so.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("daemon: stopping.")
	n.tell(daemon.LeaveMsg{})
	var late error
	select {
	case <-n.left:
	case <-n.tomb.Dying():
	case <-ctx.Done():
		late = &Error{Op: "stop", Kind: Stopped, Err: ctx.Err()}
	}
	if late == nil {
		sleep(ctx, stopLinger)
		if err := n.callers.Shutdown(ctx); err != nil {
			late = &Error{Op: "stop", Kind: Stopped, Err: err}
		}
		n.drain(ctx)
	}
	n.Kill()
	n.log.Info("daemon: stopped.")
	return late
}

// drain waits for the orders that other daemons have sent here.
func (n *Node) drain(ctx context.Context) {
	for ctx.Err() == nil {
		idle := true
		for _, d := range n.allDesks() {
			idle = idle && d.idle(time.Now())
		}
		if idle {
			return
		}
		sleep(ctx, tickEvery)
	}
}

// Kill closes everything at once, as the loss of the process would.
func (n *Node) Kill() {
	n.tomb.Kill(nil)
	_ = n.callers.Close()
	if n.admin != nil {
		_ = n.admin.Close()
	}
	_ = n.mesh.Close()
	for _, d := range n.allDesks() {
		d.client.Close()
	}
	_ = n.tomb.Wait()
}

// Dead returns a channel that is closed when the daemon has ended by itself.
func (n *Node) Dead() <-chan struct{} { return n.tomb.Dead() }

// Err returns why it ended.
func (n *Node) Err() error { return n.tomb.Err() }

// Prefs returns the daemon's settings.
func (n *Node) Prefs() prefs.Prefs { return n.prefs }

// Learn takes in an object that was just written, ahead of the watch.
func (n *Node) Learn(o *wire.Object) {
	n.tell(daemon.ReadMsg{Name: o.Name, Object: o, Asked: time.Now()})
}

// Platform returns the daemon's access to the platform, for operators' changes.
func (n *Node) Platform() *plat.Client { return n.platform }

// ControlBytes returns how many bytes of control messages it has sent and got.
func (n *Node) ControlBytes() int64 {
	sum := int64(0)
	for _, name := range []string{"control.bytesOut", "control.bytesIn", "control.bytesAsked", "control.bytesAnswered"} {
		if v, ok := n.metrics.Get(name).(*expvar.Int); ok {
			sum += v.Value()
		}
	}
	return sum
}

// Metrics returns the daemon's counters.
func (n *Node) Metrics() *expvar.Map { return n.metrics }

// Route implements entry.Router.
func (n *Node) Route() *route.Route { return n.route.Load() }

// Changed implements entry.Router.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Refused implements entry.Router.
func (n *Node) Refused(now time.Time, fingerprint uint64) bool {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	return n.suspects.Refused(now, fingerprint)
}

// Count implements entry.Router.
func (n *Node) Count(service string, k burn.Kind) {
	n.burnMu.Lock()
	n.burn.Count(time.Now(), service, k)
	n.burnMu.Unlock()
	name := [...]string{burn.Good: "answered", burn.Slow: "answeredLate", burn.Refused: "notRun", burn.Unknown: "unknown"}[k]
	n.metrics.Add(service+"."+name, 1)
}

// Burn returns the service levels that this daemon has counted.
func (n *Node) Burn() burn.Counts {
	n.burnMu.Lock()
	defer n.burnMu.Unlock()
	return n.burn.Counts(time.Now(), n.prefs.DataCentre)
}

func (n *Node) allDesks() []*desk {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*desk, 0, len(n.desks))
	for _, d := range n.desks {
		out = append(out, d)
	}
	return out
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

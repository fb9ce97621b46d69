package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"catkinstep/io/process/setup"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/tomb.v2"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/boot"
	"catkinstep/core/process/burn"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/member"
	"catkinstep/core/request/admit"
	"catkinstep/core/request/crash"
	"catkinstep/core/request/permit"
	"catkinstep/core/request/retry"
	"catkinstep/core/request/sent"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/gaps"
	"catkinstep/core/version/news"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/mesh"
	"catkinstep/io/process/clock"
)

// Router is one daemon.
type Router struct {
	settings setup.Settings
	store    Store
	protocol Protocol
	log      *slog.Logger
	hold     time.Duration
	now      func() time.Time
	self     member.Member

	tomb    tomb.Tomb
	control *control
	inbox   chan any
	current atomic.Pointer[snap]
	// opened is closed and replaced when a new table is in force.
	opened  atomic.Pointer[chan struct{}]
	ready   atomic.Bool
	running chan struct{} // closed once the addresses are open
	aborted atomic.Bool
	callers *caller.Server
	mesh    *mesh.Mesh
	links   links

	mu      sync.Mutex // guards what follows, shared by requests
	spread  *spread.Balancer
	budgets map[string]*retry.Budget
	// suspects are requests that servers were lost with.
	suspects   *crash.Suspects
	suspicions recent[*wire.Suspect]
	// sent are the ids of requests that must run once; unanswered are those that may have
	// run without an answer.
	sent       *sent.History
	unanswered recent[firstSent]
	burn       *burn.Meter
	// gaps are how long ranges stayed closed.
	gaps    *gaps.Estimator
	gate    *admit.Limiter
	permits permits
	// booted is closed once requests need not wait for what a start must read.
	booted chan struct{}
	boot   boot.Boot

	bounds  setup.Settings // those that can be reloaded
	daemons int
	heat    map[heatKey]heatCount
	random  *rand.Rand

	meters *meters
}

type heatKey struct {
	service string
	bucket  uint32
}

// heatCount is what came for a bucket of keys: how many requests, their work and
// their aims in all.
type heatCount struct {
	requests  uint32
	work, aim time.Duration
}

// with adds requests.
func (h heatCount) with(requests uint32, work, aim time.Duration) heatCount {
	return heatCount{requests: h.requests + requests, work: h.work + work, aim: h.aim + aim}
}

// inboxSize bounds the messages that wait for the control loop.
const inboxSize = 256

// New returns a Router that does nothing yet.
func New(s setup.Settings, st Store, sp Protocol, opts ...Option) *Router {
	r := &Router{
		settings: s, store: st, protocol: sp, log: slog.Default(),
		hold: keeper.DefaultGrantTTL, now: clock.Now, meters: newMeters(), bounds: s, daemons: 1,
		inbox: make(chan any, inboxSize), running: make(chan struct{}),
		budgets: map[string]*retry.Budget{}, suspects: crash.New(crashBound, crashKeep), sent: sent.New(keepSent), heat: map[heatKey]heatCount{},
		self: member.Member{Name: s.Name, Address: s.MeshAddress, DataCentre: s.DataCentre, Strength: s.Strength, Incarnation: uint64(time.Now().UnixMicro())},
	}
	for _, o := range opts {
		o(r)
	}
	if s.MaxGrantTTL > 0 {
		r.hold = min(r.hold, s.MaxGrantTTL)
	}
	r.links.names = sp.Names()
	r.burn = burn.New(r.now())
	r.gaps = gaps.New()
	seed := seedOf(r.self)
	r.gate = admit.NewLimiter(seed)
	r.permits.issuer, r.permits.absent, r.permits.lastID = permit.NewIssuer(seed), map[string]time.Time{}, seed
	r.opened.Store(new(make(chan struct{})))
	r.random = rand.New(rand.NewPCG(seed, 23))
	r.spread = spread.New(seed, r.limits().WithDaemons(1, 0))
	r.current.Store((&snap{}).withFleet(fleet.New(nil), nil))
	r.booted, r.boot = make(chan struct{}), boot.New(r.now())
	r.control = newControl(r, r.now())
	r.callers = caller.New(r.serve, caller.WithLimits(r.callerLimits))
	return r
}

// seedOf is a number of a daemon's own, for what it draws: many start in one moment, as
// after a loss of power, and must not draw alike.
func seedOf(m member.Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d", m.Name, m.Incarnation))
}

// Run serves until the context ends, then stops without cutting a request.
func (r *Router) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", r.settings.CallerAddress)
	if err != nil {
		return &Error{Op: "listen for callers", Kind: Address, Err: err}
	}
	if r.mesh, err = mesh.Listen(r.settings.MeshAddress, r.answerMesh); err != nil {
		return &Error{Op: "listen for daemons", Kind: Address, Err: err}
	}
	side, err := r.sideListeners()
	if err != nil {
		return err
	}
	r.log.Info("router: start", "name", r.self.Name, "dataCentre", r.self.DataCentre, "incarnation", r.self.Incarnation, "callers", r.settings.CallerAddress)
	r.tomb.Go(func() error { return r.callers.Serve(l) })
	r.tomb.Go(r.loop)
	for _, kind := range news.Kinds {
		r.tomb.Go(func() error { return r.follow(kind) })
	}
	r.tomb.Go(r.register)
	close(r.running)
	select {
	case <-ctx.Done():
	case <-r.tomb.Dying():
	}
	if r.aborted.Load() {
		_ = l.Close()
		r.callers.Abort()
	} else {
		r.stop(l)
	}
	for _, s := range side {
		_ = s.Close()
	}
	return r.tomb.Wait()
}

// Reload puts in force what of other settings can be changed while the daemon
// runs, and names what cannot.
func (r *Router) Reload(next setup.Settings) {
	now := r.settings
	if next.Name != now.Name || next.DataCentre != now.DataCentre || next.CallerAddress != now.CallerAddress || next.ReadyAddress != now.ReadyAddress || next.MeshAddress != now.MeshAddress {
		r.log.Warn("settings: name, data centre and addresses change at the next start only")
	}
	r.post(settingsMsg{settings: next})
}

// Abort breaks all connections and ends the daemon, as the loss of its host
// would. Tests and the demo use it.
func (r *Router) Abort() {
	<-r.running
	r.aborted.Store(true)
	r.tomb.Kill(nil)
	r.callers.Abort()
	_ = r.mesh.Close()
	r.links.close()
}

// stop ends in four steps: not ready, so that no new connections come; answers
// announce the close; the listener and idle connections close; the rest is
// answered.
func (r *Router) stop(l net.Listener) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(r.settings.GracePeriod-exitMargin))
	defer cancel()
	r.log.Info("router: stop", "running", r.callers.Running())
	r.ready.Store(false)
	r.callers.Stop()
	r.post(leavingMsg{})
	sleep(ctx, lingerAfter)
	_ = l.Close()
	r.callers.Finish(ctx)
	r.log.Info("router: stopped", "running", r.callers.Running(), "took", time.Since(began).String())
	r.tomb.Kill(nil)
	_ = r.mesh.Close()
	r.links.close()
}

// post hands a message to the control loop; false means that the router stops.
func (r *Router) post(m any) bool {
	select {
	case r.inbox <- m:
		return true
	case <-r.tomb.Dying():
		return false
	}
}

func (r *Router) loop() error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case m := <-r.inbox:
			r.control.update(r.now(), m)
		case <-t.C:
			r.control.update(r.now(), tickMsg{})
		}
	}
}

// register makes this daemon known, once the store can be written to.
func (r *Router) register() error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	revision, pause := uint64(0), backoffLeast
	for r.tomb.Alive() {
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), storeTimeout)
		item, err := r.store.Save(ctx, news.Daemons, r.self.Name, value, revision)
		cancel()
		if err == nil {
			r.post(deltaMsg{delta: news.Delta{Kind: news.Daemons, Items: []news.Item{item}}})
			return nil
		}
		var e *news.Error
		if errors.As(err, &e) && e.Kind == news.Conflict {
			revision = item.Revision
			continue
		}
		r.log.Warn("store: daemon not registered", "err", err)
		sleep(r.tomb.Context(context.Background()), pause)
		pause = min(2*pause, backoffMost)
	}
	return nil
}

// burst is this daemon's share of the repeats that may come at once. A daemon
// that knows no other takes one.
func (r *Router) burst() float64 {
	if r.daemons < 2 {
		return 1
	}
	return max(1, r.bounds.RetryBurst*retryMargin/float64(r.daemons))
}

// retryShare is the share of extra attempts that the configuration allows, or
// the settings where it names none.
func (r *Router) retryShare() float64 {
	if share := r.current.Load().config.RetryShare; share > 0 {
		return share
	}
	return r.bounds.RetryShare
}

func (r *Router) limits() spread.Limits {
	return spread.Limits{ColdFactor: r.bounds.ColdFactor, ColdSlack: r.bounds.ColdSlack}
}

func (r *Router) callerLimits() caller.Limits {
	l := r.current.Load().config.Limits
	out := caller.Limits{HeaderBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, Header: l.HeaderTimeout, Idle: l.IdleTimeout}
	if out.HeaderBytes <= 0 {
		out = caller.Limits{HeaderBytes: headerMost, BodyBytes: bodyMost, Header: headerWithin, Idle: idleMost}
		if r.settings.MaxBodyBytes > 0 {
			out.BodyBytes = r.settings.MaxBodyBytes
		}
	}
	return out
}

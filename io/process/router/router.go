package router

import (
	"context"
	"encoding/json"
	"expvar"
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

	"catkinstep/core/process/boot"
	"catkinstep/core/process/burn"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/member"
	"catkinstep/core/process/memory"
	"catkinstep/core/process/quota"
	"catkinstep/core/request/admit"
	"catkinstep/core/request/carry"
	"catkinstep/core/request/crash"
	"catkinstep/core/request/fair"
	"catkinstep/core/request/limit"
	"catkinstep/core/request/notice"
	"catkinstep/core/request/permit"
	"catkinstep/core/request/retry"
	"catkinstep/core/request/sent"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/object"
	"catkinstep/core/version/reopen"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
	"catkinstep/io/connection/mesh"
	"catkinstep/io/process/clock"
	"catkinstep/io/process/heap"
)

// Router is one daemon: its listeners, its connections and its state.
type Router struct {
	settings setup.Settings // passed to New
	store    Store
	protocol Protocol
	log      *slog.Logger
	grantTTL time.Duration
	// now is the control loop's clock; see WithClock. The times of a request come from time.Now.
	now  func() time.Time
	self member.Member

	tomb    tomb.Tomb
	control *control
	inbox   chan any
	current atomic.Pointer[snapshot]
	// tableUpdateCh is a channel that is closed and replaced when a new table comes into force.
	tableUpdateCh atomic.Pointer[chan struct{}]
	ready         atomic.Bool
	// stopping is set when a shutdown begins, and cutOff while this host reaches no servers.
	stopping, cutOff atomic.Bool
	// answerBy is the time by which the requests must have been answered that are passed on during a shutdown; nil
	// before it begins.
	answerBy atomic.Pointer[time.Time]
	// connectedAt is when a connection to a server was last opened, in Unix nanoseconds.
	connectedAt atomic.Int64
	// limitedServers is the number of servers whose limits are known.
	limitedServers atomic.Int64
	// noticed is the number of servers that have announced something.
	noticed atomic.Int64
	// leavingChanged is set until the control loop has taken into account what a server said to this daemon.
	leavingChanged atomic.Bool
	// carriedRunning is the number of requests that are served for other daemons.
	carriedRunning atomic.Int64
	// releaseSlots holds an element for each release that is being made for the leader.
	releaseSlots chan struct{}
	// tokenRelay is the daemon that asks for tokens of allowances on behalf of this one.
	tokenRelay atomic.Pointer[tokenRelay]
	takes      takeQueues
	// leaderContact says whom to ask for tokens.
	leaderContact atomic.Pointer[leaderContact]
	listening     chan struct{} // closed once all addresses are listened on
	ended         chan struct{} // closed when Run returns
	aborted       atomic.Bool
	callers       *caller.Server
	plan          memory.Plan
	memory        *heap.Memory // of callers' requests and servers' responses
	mesh          peerMesh
	clientPool    clientPool

	mu       sync.Mutex // guards the mutable fields from here to random, which requests share
	balancer *spread.Balancer
	budgets  map[string]*retry.Budget
	// ranked is the state of the services whose routes have several priorities.
	ranked rankState
	// suspects records the requests that may have been running at servers when these were lost.
	suspects      *crash.Suspects
	suspectBuffer piggybackBuffer[suspectRecord]
	// unconfirmedLosses are lost servers that are not gossiped yet.
	unconfirmedLosses []suspectRecord
	// withdrawnLosses are those that coincided with the loss of this host's links.
	withdrawnLosses []suspectRecord
	// carriers are the daemons that serve requests for this one while its host reaches no servers.
	carriers *carry.Peers
	// sentHistory holds the IDs of requests that must not run twice. unansweredBuffer holds
	// those of them that may have run without a response, for the other daemons.
	sentHistory      *sent.History
	unansweredBuffer piggybackBuffer[sentRecord]
	burnMeter        *burn.Meter
	// reopenEstimator estimates how long ranges stay closed.
	reopenEstimator *reopen.Estimator
	admission       *admit.Limiter
	// workspaceLimiter holds the leases of this daemon on the allowances of workspaces. lender decides to
	// which pool its share of them is lent, and pool is what other daemons lend to it.
	workspaceLimiter *quota.Limiter
	lender           *quota.Lenders
	pool             *quota.Pools
	loggedLoans      map[int]uint64 // the pools whose loans were logged last, by half
	fairness         *fair.Meter    // finds the workspaces that would push out others
	permits          permits
	// notices are what servers have announced to this daemon.
	notices *notice.Table
	// leavingBuffer holds the instances that were lately found to leave, for the other daemons.
	leavingBuffer piggybackBuffer[notice.Leaving]
	// rateLimits are the limits that servers have named, and issuer issues tokens for them while
	// this daemon leads.
	rateLimits *limit.Table
	issuer     *limit.Issuer
	// bootDone is closed once requests no longer wait for the first lists from the store.
	bootDone chan struct{}
	// boot limits how long a request waits for bootDone. control.boot records the lists read.
	boot boot.Boot

	latestSettings setup.Settings // passed to New or to the last Reload, of which some only take effect after a restart
	daemonCount    int
	bucketLoads    map[bucketKey]bucketLoad
	random         *rand.Rand

	metrics *metrics
}

type bucketKey struct {
	service string
	bucket  uint32
}

// bucketLoad is the load on a bucket of keys: the number of requests, and the sums of
// their service times and of their latency targets.
type bucketLoad struct {
	requests                   uint32
	serviceTime, latencyTarget time.Duration
}

// with returns the load with further requests added.
func (l bucketLoad) with(requests uint32, serviceTime, latencyTarget time.Duration) bucketLoad {
	return bucketLoad{requests: l.requests + requests, serviceTime: l.serviceTime + serviceTime, latencyTarget: l.latencyTarget + latencyTarget}
}

// New returns a Router. It does nothing until Run is called.
func New(s setup.Settings, st Store, p Protocol, opts ...Option) *Router {
	r := &Router{
		settings: s, store: st, protocol: p, log: slog.Default(),
		grantTTL: keeper.DefaultGrantTTL, now: clock.Now, metrics: newMetrics(), latestSettings: s, daemonCount: 1,
		inbox: make(chan any, inboxSize), listening: make(chan struct{}), ended: make(chan struct{}),
		budgets: map[string]*retry.Budget{}, ranked: newRankState(), suspects: crash.New(crashThreshold, crashRetention), sentHistory: sent.New(sentRetention), bucketLoads: map[bucketKey]bucketLoad{},
		self: member.Member{Name: s.Name, Address: s.MeshAddress, DataCentre: s.DataCentre, Region: s.Region, CPUCapacity: s.CPUCapacity, Incarnation: uint64(time.Now().UnixMicro())},
	}
	for _, o := range opts {
		o(r)
	}
	if s.MaxGrantTTL > 0 {
		r.grantTTL = min(r.grantTTL, s.MaxGrantTTL)
	}
	r.clientPool.names = p.Names()
	r.clientPool.dialer = observedDialer{r: r, inner: r.clientPool.plainDialer()}
	r.metrics.vars.Set("workspaces", expvar.Func(r.workspaceTotals))
	r.burnMeter = burn.New(r.now())
	r.reopenEstimator = reopen.New()
	seed := seedOf(r.self)
	r.admission, r.workspaceLimiter = admit.NewLimiter(seed), quota.NewLimiter(seed)
	r.lender, r.pool = quota.NewLenders(r.now(), s.Name, r.self.Incarnation), quota.NewPools(r.now(), seed)
	r.loggedLoans, r.fairness = map[int]uint64{}, fair.NewMeter()
	r.carriers = carry.New(s.Name)
	r.releaseSlots = make(chan struct{}, maxReleasesForOthers)
	r.rateLimits, r.issuer = limit.NewTable(), limit.NewIssuer()
	r.notices = notice.NewTable(seed)
	r.clientPool.gate = func(key clientKey) link.Gate { return serverGate{r: r, key: key} }
	r.leaderContact.Store(&leaderContact{})
	r.permits.issuer, r.permits.absentUntil, r.permits.lastID = permit.NewIssuer(seed), map[string]time.Time{}, seed
	r.permits.loadUnknownUntil = time.Now().Add(startPermitPeriod)
	r.tableUpdateCh.Store(new(make(chan struct{})))
	r.random = rand.New(rand.NewPCG(seed, 23))
	r.balancer = spread.New(seed, r.coldLimits().WithMembers(spread.Members{Self: s.Name}), spread.WithNotices(r.notices))
	r.current.Store((&snapshot{}).withFleet(fleet.New(nil), nil))
	r.bootDone, r.boot = make(chan struct{}), boot.New(r.now())
	r.control = newControl(r, r.now())
	r.plan = planOf(s)
	r.memory = heap.New(r.plan)
	r.memory.WithOnFull(func() { r.callers.EvictUnread(time.Now()) })
	r.clientPool.bodies = link.NewBodyBudget(max(minResponseBudget, r.plan.ResponseBytes)).WithMemory(r.memory)
	r.metrics.vars.Set("memory", expvar.Func(r.memory.Usage))
	r.callers = r.newCallerServer()
	return r
}

// seedOf returns the seed of a daemon's random numbers. It differs between daemons that
// start at the same moment, as after a power outage.
func seedOf(m member.Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d", m.Name, m.Incarnation))
}

// Run serves until the context ends, then shuts down without interrupting running requests.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.ended)
	l, err := net.Listen("tcp", r.settings.CallerAddress)
	if err != nil {
		return &Error{Op: "listen for callers", Kind: Address, Err: err}
	}
	if r.mesh, err = mesh.Listen(r.settings.MeshAddress, r.plan.PeerConns, r.handleMeshCall, mesh.WithMemory(r.memory)); err != nil {
		return &Error{Op: "listen for daemons", Kind: Address, Err: err}
	}
	servers, err := r.startHTTPServers()
	if err != nil {
		return err
	}
	r.log.Info("router: start", "name", r.self.Name, "dataCentre", r.self.DataCentre, "incarnation", r.self.Incarnation, "callers", r.settings.CallerAddress)
	r.tomb.Go(func() error { return r.callers.Serve(l) })
	r.tomb.Go(r.loop)
	for _, kind := range object.Kinds {
		r.tomb.Go(func() error { return r.readKind(kind) })
	}
	r.tomb.Go(r.register)
	close(r.listening)
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
	for _, s := range servers {
		_ = s.Close()
	}
	return r.tomb.Wait()
}

// Reload applies the settings that can be changed while the daemon runs. It logs a warning
// if the name, the data centre or an address has changed, which needs a restart.
func (r *Router) Reload(next setup.Settings) {
	initial := r.settings
	if next.Name != initial.Name || next.DataCentre != initial.DataCentre || next.CallerAddress != initial.CallerAddress || next.ReadyAddress != initial.ReadyAddress || next.MeshAddress != initial.MeshAddress {
		r.log.Warn("settings: changes of name, data centre and addresses need a restart")
	}
	r.post(settingsMsg{settings: next})
}

// Abort closes all connections and ends the daemon, as the loss of its host would. It is
// meant for tests and the demo.
func (r *Router) Abort() {
	select {
	case <-r.listening:
	case <-r.ended:
		return // it could not listen
	}
	r.aborted.Store(true)
	r.tomb.Kill(nil)
	r.callers.Abort()
	_ = r.mesh.Close()
	r.clientPool.close()
}

// register stores this daemon's name and address, so that other daemons discover it. It
// retries until the store accepts the write.
func (r *Router) register() error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	revision, backoff := uint64(0), minBackoff
	for r.tomb.Alive() {
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), storeTimeout)
		item, err := r.store.Save(ctx, object.Daemons, r.self.Name, value, revision)
		cancel()
		if err == nil {
			r.post(deltaMsg{delta: object.Delta{Kind: object.Daemons, Items: []object.Item{item}}})
			return nil
		}
		if object.IsConflict(err) {
			revision = item.Revision
			continue
		}
		r.log.Warn("store: could not register daemon", "err", err)
		sleep(r.tomb.Context(context.Background()), backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// retryBurst is this daemon's share of the burst of retries that all daemons may send
// together. It is 1 while this daemon knows no other. r.mu must be held.
func (r *Router) retryBurst() float64 {
	if r.daemonCount < 2 {
		return 1
	}
	return max(1, r.latestSettings.RetryBurst*retryUtilisation/float64(r.daemonCount))
}

// retryShare is the allowed ratio of retries to requests: the configuration's, or the
// settings' if the configuration has none. r.mu must be held.
func (r *Router) retryShare() float64 {
	if share := r.current.Load().config.RetryShare; share > 0 {
		return share
	}
	return r.latestSettings.RetryShare
}

func (r *Router) coldLimits() spread.Limits {
	return spread.Limits{ColdFactor: r.latestSettings.ColdFactor, ColdSlack: r.latestSettings.ColdSlack}
}

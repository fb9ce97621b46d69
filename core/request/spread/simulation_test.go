package spread

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"catkinstep/core/request/class"
	"catkinstep/core/request/permit"
	"catkinstep/core/version/fleet"
)

// simulation runs a data centre in virtual time: daemons with a Balancer each, servers with
// slots, queues and noisy neighbours, and requests that arrive at random. The daemons
// periodically report their requests in flight to a relay.
type simulation struct {
	random             *rand.Rand
	now                time.Time
	events             events
	daemons            []*Balancer
	servers            []*backend
	serverList         []fleet.Server
	template           Requirements
	meanServiceSeconds float64
	// routeSeconds are the mean service times of routes that differ from meanServiceSeconds.
	routeSeconds   map[string]float64
	gossipInterval time.Duration
	end            time.Time
	// steady is set if nothing slows the servers.
	steady bool
	// callersRetry is set if callers send a refused request again, once and to another daemon. They wait for
	// Retry-After, but no more than a third of the time that is left to them.
	callersRetry bool
	// promoters are those of the daemons; nil if all requests have rank 0.
	promoters []class.Promoter
	// maxAttempts is how many servers a request is sent to at most; 0 if there is no limit.
	maxAttempts int
	// permits issues the permits for contended servers; nil if the daemons use none.
	permits *permit.Issuer
	lastID  uint64

	// senders are indices of daemons, repeated in proportion to their shares of the requests.
	senders                                  []int
	offered, inTime, late, refused, declined int

	// traffic says where requests come from and learns what becomes of them; nil if it does not
	// matter.
	traffic traffic
	// observer sees what reaches the servers; nil if that does not matter.
	observer serverObserver
}

// serverObserver sees the requests that reach a server, and those that it declines.
type serverObserver interface {
	arrivedAt(from origin, s fleet.Server)
	declinedBy(from origin, s fleet.Server)
}

// traffic chooses the origins of requests, and follows them.
type traffic interface {
	pickOrigin() origin
	// arrived may change a request's requirements.
	arrived(from origin, req *Requirements)
	ended(from origin, refused, inTime bool)
}

// origin is the indices of the daemon and the workspace that a request came from.
type origin struct {
	daemon, workspace int
	// retried is set if the caller has sent the request again.
	retried bool
}

// backend is a simulated server.
type backend struct {
	server   fleet.Server
	slowdown float64
	noise    float64
	running  int
	queue    []job
}

type job struct {
	daemon   *Balancer
	from     origin
	req      Requirements
	sentAt   time.Time
	permitID uint64 // 0 if it has none
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// The servers of a simulation, and the requests to them. Every noiseInterval, each server is slowed by
// noiseFactor with probability noiseShare.
const (
	queueLimit = 12
	// meanServiceTime is that of a server of typical speed.
	meanServiceTime = 240 * time.Millisecond
	simulatedTarget = 660 * time.Millisecond
	noiseShare      = 0.2
	noiseFactor     = 3.0
	noiseInterval   = 400 * time.Millisecond
)

func newSimulation(daemons, servers int) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(3, 1)), now: t0, meanServiceSeconds: meanServiceTime.Seconds(), template: Requirements{Route: "r", Service: service, LatencyTarget: simulatedTarget, Priority: 1, LocalDataCentre: "x"}}
	sim.template.Service.MaxConnections = 0
	for i := range daemons {
		sim.daemons = append(sim.daemons, New(uint64(i), Limits{ColdFactor: 1.5, ColdSlack: 5, Daemons: daemons, LocalDaemons: daemons, LocalIndex: i}))
	}
	for i := range servers {
		server := fleet.Server{ID: fmt.Sprintf("s%02d", i), Service: "s", DataCentre: "x", Slots: 3, StartMillis: 1}
		sim.serverList = append(sim.serverList, server)
		sim.servers = append(sim.servers, &backend{server: server, slowdown: []float64{0.7, 0.7, 1.6}[i%3], noise: 1})
	}
	sim.gossipInterval = time.Duration(max(10, daemons)) * 25 * time.Millisecond
	return sim
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&sim.events, event{at: sim.now.Add(d), do: do})
}

// run simulates a time span at a mean rate of requests.
func (sim *simulation) run(perSecond float64, d time.Duration) {
	sim.end = sim.now.Add(d)
	for _, b := range sim.servers {
		sim.schedule(time.Duration(sim.random.Float64()*float64(noiseInterval)), func() { sim.drawNoise(b) })
	}
	for i := range sim.daemons {
		sim.schedule(time.Duration(sim.random.Float64()*float64(sim.gossipInterval)), func() { sim.gossip(i) })
	}
	sim.schedule(0, func() { sim.arrive(perSecond) })
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at.After(sim.end) {
			return
		}
		sim.now = e.at
		e.do()
	}
}

func (sim *simulation) drawNoise(b *backend) {
	b.noise = 1
	if !sim.steady && sim.random.Float64() < noiseShare {
		b.noise = noiseFactor
	}
	sim.schedule(noiseInterval, func() { sim.drawNoise(b) })
}

// gossip simulates a report from a daemon to the relay, which is the first daemon, and the
// relay's reply.
func (sim *simulation) gossip(i int) {
	relay, name := sim.daemons[0], fmt.Sprintf("d%d", i)
	if i > 0 {
		relay.SetPeerLoad(sim.now, name, sim.daemons[i].OwnLoad())
		sim.daemons[i].SetPeerTotal(sim.now, relay.TotalLoad(sim.now, name))
	}
	sim.schedule(sim.gossipInterval, func() { sim.gossip(i) })
}

func (sim *simulation) arrive(perSecond float64) {
	sim.schedule(time.Duration(sim.random.ExpFloat64()/perSecond*float64(time.Second)), func() { sim.arrive(perSecond) })
	if sim.senders == nil {
		for i := range sim.daemons {
			count := 0
			for t := sim.random.ExpFloat64(); t < 5; t += sim.random.ExpFloat64() {
				count++
			}
			for range count {
				sim.senders = append(sim.senders, i)
			}
		}
	}
	var from origin
	if sim.traffic != nil {
		from = sim.traffic.pickOrigin()
	} else {
		from.daemon = sim.senders[sim.random.IntN(len(sim.senders))]
	}
	req := sim.template
	req.ReceivedAt, req.Deadline = sim.now, sim.now.Add(5*req.LatencyTarget/2)
	sim.offered++
	if sim.traffic != nil {
		sim.traffic.arrived(from, &req)
	}
	sim.send(from, req)
}

func (sim *simulation) send(from origin, req Requirements) {
	daemon := sim.daemons[from.daemon]
	c, permitID := sim.choose(daemon, req)
	if c.Refused() {
		sim.refuse(from, req, c.RetryAfter)
		return
	}
	for _, b := range sim.servers {
		if b.server.ID == c.Server.ID {
			sim.receive(b, job{daemon: daemon, from: from, req: req, sentAt: sim.now, permitID: permitID})
		}
	}
}

// choose returns a server and the ID of the permit for it. Up to three servers are tried if
// permits are denied.
func (sim *simulation) choose(daemon *Balancer, req Requirements) (Choice, uint64) {
	for range 3 {
		c := sim.chooseOnce(daemon, req)
		if c.Refused() && (sim.permits == nil || !c.RefusalUncertain()) {
			return c, 0
		}
		daemon.Begin(sim.now, c.Server, req)
		if sim.permits == nil || !c.Contended {
			return c, 0
		}
		sim.lastID++
		permitRequest := permit.Request{Server: c.Server.ID, ID: sim.lastID, Slots: c.Server.Slots, ServiceTime: daemon.ServiceTime(sim.now, req, c.Server),
			LatencyBudget: daemon.PermitBudget(sim.now, req, c.Server), TTL: req.Deadline.Sub(sim.now)}
		if sim.permits.Acquire(sim.now, permitRequest).Granted {
			c.Reason = ""
			return c, sim.lastID
		}
		daemon.End(sim.now, c.Server, req, sim.now, PermitDenied, nil)
		req.Excluded = append(req.Excluded, c.Server.ID)
	}
	return Choice{Reason: AllBusy}, 0
}

// chooseOnce returns the holder of the request's key if the service is keyed, else the server that the
// daemon prefers.
func (sim *simulation) chooseOnce(daemon *Balancer, req Requirements) Choice {
	if !req.Service.Keyed {
		return daemon.Choose(sim.now, req, sim.serverList)
	}
	return daemon.Evaluate(sim.now, req, sim.serverList[sim.random.IntN(len(sim.serverList))])
}

func (sim *simulation) endPermit(b *backend, j job) {
	if j.permitID > 0 {
		sim.permits.Release(b.server.ID, j.permitID)
	}
}

// finish reports the end of a request.
func (sim *simulation) finish(from origin, refused, inTime bool) {
	if sim.traffic != nil {
		sim.traffic.ended(from, refused, inTime)
	}
}

func (sim *simulation) receive(b *backend, j job) {
	if sim.observer != nil {
		sim.observer.arrivedAt(j.from, b.server)
	}
	switch {
	case b.running < b.server.Slots:
		sim.start(b, j)
	case len(b.queue) < queueLimit:
		b.queue = append(b.queue, j)
	default:
		sim.declined++
		sim.endPermit(b, j)
		if sim.observer != nil {
			sim.observer.declinedBy(j.from, b.server)
		}
		j.daemon.End(sim.now, b.server, j.req, j.sentAt, Declined, b.report())
		j.req.Excluded = append(j.req.Excluded, b.server.ID)
		if len(j.req.Excluded) == sim.maxAttempts {
			sim.refuse(j.from, j.req, minRetryAfter)
			return
		}
		sim.send(j.from, j.req)
	}
}

func (b *backend) report() *Report {
	return &Report{Running: b.running, Waiting: len(b.queue), Slots: b.server.Slots, Bytes: 5000, Slowdown: b.slowdown * b.noise}
}

func (sim *simulation) start(b *backend, j job) {
	b.running++
	const variation = 0.35
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	mean, differs := sim.routeSeconds[j.req.Route]
	if !differs {
		mean = sim.meanServiceSeconds
	}
	took := mean * math.Exp(sim.random.NormFloat64()*sigma-sigma*sigma/2) * b.slowdown * b.noise
	sim.schedule(time.Duration(took*float64(time.Second)), func() {
		b.running--
		sim.endPermit(b, j)
		j.daemon.End(sim.now, b.server, j.req, j.sentAt, Answered, b.report())
		inTime := sim.now.Sub(j.req.ReceivedAt) <= j.req.LatencyTarget
		if inTime {
			sim.inTime++
		} else {
			sim.late++
		}
		sim.recordOutcome(j.from, j.req, inTime)
		sim.finish(j.from, false, inTime)
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			sim.start(b, next)
		}
	})
}

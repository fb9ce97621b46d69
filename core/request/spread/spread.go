package spread

import (
	"math/rand/v2"
	"time"

	"catkinstep/core/request/notice"
	"catkinstep/core/request/token"
	"catkinstep/core/version/fleet"
)

// serverState holds what this daemon knows about one server.
type serverState struct {
	inFlight            int         // requests from this daemon
	startTimes          []time.Time // of the requests in flight
	reportedLoad        float64     // requests from other daemons, running and waiting
	reportedAt          time.Time
	slowdown            float64 // service time relative to a server of typical speed
	slowdownSamples     int     // number of responses behind slowdown, at most maxSlowdownSamples
	slowdownFromReports slowdownEstimate
	failureRate         float64
	pausedUntil         time.Time
	answeredAt          time.Time // when it last responded to a request of this daemon
	connectFailed       bool      // a connection attempt failed, and no response came since
	// coldBucket limits the requests from this daemon to a cold server. It starts empty, since a
	// daemon may have used its share just before it restarted.
	coldBucket  token.Bucket
	limit       rateLimit
	startMillis int64 // distinguishes the instances of the server
	coldUntil   time.Time
	// refusedColdUntil is until when the server counts as cold since it has refused a connection.
	refusedColdUntil time.Time
	// loadReports counts the reports of the server's load since the stats were last taken,
	// and longQueueReports those of them with a long queue.
	loadReports, longQueueReports int
	// newSlowdowns counts the measurements of the slowdown since then, and newSlowdownSum is
	// their sum.
	newSlowdowns   int
	newSlowdownSum float64
}

// addSlowdown adds the server's slowdown during one request to the stats.
func (st *serverState) addSlowdown(slowdown float64) {
	st.newSlowdowns++
	st.newSlowdownSum += slowdown
}

// Balancer chooses servers by the load and the speed that this daemon knows of. It is not
// safe for concurrent use.
type Balancer struct {
	random     *rand.Rand
	limits     Limits
	routes     map[string]*routeStats
	services   map[string]*serviceStats
	servers    map[string]*serverState
	peers      map[string]peerLoad // by daemon
	groupLoads map[serverGroup]*groupLoad
	priorities map[string]*priorities // by service
	// senderRanks caches the results of senderRank by server until the limits change.
	senderRanks map[string]int
	// answeredAt is when a server last responded to a request of this daemon.
	answeredAt time.Time
	notices    *notice.Table
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithNotices sets the table of what servers have announced. It must not be used concurrently with the
// Balancer.
func WithNotices(t *notice.Table) Option { return func(b *Balancer) { b.notices = t } }

// New returns a Balancer without any measurements.
func New(seed uint64, l Limits, opts ...Option) *Balancer {
	b := &Balancer{
		random:      rand.New(rand.NewPCG(seed, 11)),
		limits:      l,
		routes:      map[string]*routeStats{},
		services:    map[string]*serviceStats{},
		servers:     map[string]*serverState{},
		peers:       map[string]peerLoad{},
		groupLoads:  map[serverGroup]*groupLoad{},
		priorities:  map[string]*priorities{},
		senderRanks: map[string]int{},
		notices:     notice.NewTable(seed),
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// SetLimits replaces the limits, for example when the number of daemons changes.
func (b *Balancer) SetLimits(l Limits) {
	b.limits = l
	clear(b.senderRanks)
}

// Begin records that a request is being sent to a server.
func (b *Balancer) Begin(now time.Time, server fleet.Server, req Requirements) {
	st := b.stateOf(server)
	st.inFlight++
	st.startTimes = append(st.startTimes, now)
	b.takeLimited(now, req, server, st)
	if st.isCold(now) {
		st.coldBucket.Take(now, b.coldRateLimit(req.Service, server.ID))
	}
}

// End records the outcome of a request that began at beganAt, and what the server reported
// with its response; report is nil if there is none.
func (b *Balancer) End(now time.Time, server fleet.Server, req Requirements, beganAt time.Time, outcome Outcome, report *Report) {
	st := b.stateOf(server)
	st.inFlight--
	st.startTimes = removeTime(st.startTimes, beganAt)
	if st.startMillis != server.StartMillis {
		return // the server has restarted since, so the outcome says nothing about this instance
	}
	declined := outcome == Declined || outcome == Misdirected
	if outcome == Answered || declined {
		st.connectFailed = false
		st.answeredAt, b.answeredAt = now, now
	}
	if report != nil {
		b.recordReport(now, server, st, declined, *report)
	}
	switch outcome {
	case Answered:
		st.failureRate *= 1 - outcomeWeight
		b.recordResponse(req, st, now.Sub(beganAt), report)
	case ConnectionReset:
		if stats := b.routeStats(req); stats.responses > 0 && now.Sub(beganAt).Seconds() < earlyResetShare*stats.typicalSeconds {
			// Servers with long queues reset new connections. A retry at the same
			// server would be reset again.
			st.markFull(now, 2*server.Slots)
		}
		st.failureRate += outcomeWeight * (1 - st.failureRate)
	case Failed:
		st.failureRate += outcomeWeight * (1 - st.failureRate)
	case Declined, Misdirected:
		b.recordDecline(now, server, st, req, outcome, report)
	case PermitDenied:
		st.returnLimited(req)
		st.markFull(now, 2*server.Slots)
	case ConnectionRefused:
		st.pausedUntil = now.Add(connectionRefusedPause)
		st.refusedColdUntil = now.Add(connectionRefusedPause + assumedColdTime)
	case ConnectFailed:
		st.connectFailed, st.pausedUntil = true, now.Add(connectFailedPause)
		st.failureRate += outcomeWeight * (1 - st.failureRate)
	case Cancelled:
	}
}

// recordReport records the load and the slowdown that a server reported with a response.
func (b *Balancer) recordReport(now time.Time, server fleet.Server, st *serverState, declined bool, report Report) {
	st.reportedLoad = max(0, float64(report.Running+report.Waiting-st.inFlight-1))
	st.reportedAt = now
	b.groupLoad(serverGroup{service: server.Service, dataCentre: server.DataCentre}).add(now, st.reportedLoad)
	if !declined {
		st.loadReports++
		if report.Waiting >= report.Slots {
			st.longQueueReports++
		}
	}
	if report.Slowdown > 0 {
		st.slowdownFromReports.add(now, report.Slowdown)
		st.slowdown = st.slowdownFromReports.longTerm
		st.addSlowdown(report.Slowdown)
	}
}

// recordDecline records that a server declined a request. A 421 is due to the request's key, so it does
// not show how many requests may wait.
func (b *Balancer) recordDecline(now time.Time, server fleet.Server, st *serverState, req Requirements, outcome Outcome, report *Report) {
	if fullWhenDeclined(outcome, report) {
		st.markFull(now, server.Slots)
	}
	if outcome == Declined && report != nil && !report.ShortQueue() {
		b.prioritiesOf(req.Service.Name).queueBound.observe(now, report.Waiting)
	}
	st.failureRate += outcomeWeight / 3 * (1 - st.failureRate)
}

// fullWhenDeclined reports whether a server that declined a request counts as full. If its queue is
// short it does not: limits would refuse requests that it can run. A 421 counts as full only if all
// slots are taken, as before.
func fullWhenDeclined(outcome Outcome, report *Report) bool {
	switch {
	case report == nil:
		return true
	case outcome == Misdirected:
		return report.Running >= report.Slots
	}
	return !report.ShortQueue()
}

// markFull records that a request was not run because the server was full, so that its load is
// at least the given one.
func (st *serverState) markFull(now time.Time, load int) {
	st.loadReports++
	st.longQueueReports++
	st.reportedLoad, st.reportedAt = max(st.reportedLoad, float64(load)), now
}

// SetCold sets how long a server stays cold, as its entry in the server list reports.
func (b *Balancer) SetCold(now time.Time, server fleet.Server) {
	st := b.stateOf(server)
	if st.startMillis > server.StartMillis { // the host's clock was set back before the restart
		st = b.newState(server, st)
	}
	st.coldUntil, st.refusedColdUntil = now.Add(server.ColdLeft), time.Time{}
}

// AssumeCold treats a server, which was not in use until now, as cold until the given time or
// until SetCold is called.
func (b *Balancer) AssumeCold(server fleet.Server, until time.Time) {
	b.stateOf(server).coldUntil = until
	b.FillColdBucket(server)
}

// FillColdBucket makes the whole burst of a cold server available at once. It must be called only
// for a server that was not in use until now.
func (b *Balancer) FillColdBucket(server fleet.Server) { b.stateOf(server).coldBucket.FillIfUnused() }

// stateOf returns the state of a server. A restarted server gets a new state. Requests that
// refer to an earlier instance don't bring its state back, since the new one may still be cold.
func (b *Balancer) stateOf(server fleet.Server) *serverState {
	st := b.servers[server.ID]
	if st == nil {
		return b.newState(server, &serverState{})
	}
	if st.startMillis < server.StartMillis {
		return b.newState(server, st)
	}
	return st
}

// newState replaces the state of a server. It copies the requests in flight, since their ends
// are still to be recorded.
func (b *Balancer) newState(server fleet.Server, previous *serverState) *serverState {
	st := &serverState{slowdown: 1, startMillis: server.StartMillis, inFlight: previous.inFlight, startTimes: previous.startTimes}
	b.servers[server.ID] = st
	return st
}

// Prune removes the state of servers that are no longer in the fleet and have no requests in
// flight from this daemon.
func (b *Balancer) Prune(f *fleet.Fleet) {
	for id, st := range b.servers {
		if _, ok := f.Find(id); !ok && st.inFlight == 0 {
			delete(b.servers, id)
		}
	}
}

// removeTime removes the first element equal to t, in place.
func removeTime(times []time.Time, t time.Time) []time.Time {
	for i := range times {
		if times[i].Equal(t) {
			return append(times[:i], times[i+1:]...)
		}
	}
	return times
}

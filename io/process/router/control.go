package router

import (
	"sync/atomic"
	"time"

	"catkinstep/io/process/setup"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/boot"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/member"
	"catkinstep/core/process/reach"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
)

// Messages to the control loop.
type (
	tickMsg     struct{}
	stoppingMsg struct{}
	// deltaMsg carries changes to the objects of one kind, from the store or another
	// daemon. done, if set, is closed once they are applied.
	deltaMsg struct {
		delta     object.Delta
		fromStore bool
		done      chan struct{}
	}
	// gossipMsg carries another daemon's gossip. This daemon's gossip is sent to reply, if set.
	gossipMsg struct {
		gossip *wire.Gossip
		reply  chan *wire.Gossip
		// sentAt is when the call was sent to which the gossip is the reply; zero if it is a call.
		sentAt time.Time
	}
	// tableMsg carries a published table.
	tableMsg struct{ table grant.Table }
	// fetchMsg is another daemon's request for the changes that it does not have.
	fetchMsg struct {
		fetch *wire.Fetch
		reply chan *wire.Delta
	}
	// fetchEndedMsg reports that a fetch from another daemon has ended, with or without a reply.
	fetchEndedMsg struct{ kind, address string }
	// storeFailedMsg reports that the store did not answer this daemon.
	storeFailedMsg struct{}
	// propagateMsg asks for gossip at once, since other daemons must learn of a request that
	// this daemon refuses as a crash suspect, or that may have run at a lost holder.
	propagateMsg struct{}
	// statusMsg requests the daemon's status.
	statusMsg struct {
		reply chan ownStatus
	}
	// connectionRefusedMsg reports that a daemon's address refused a connection.
	connectionRefusedMsg struct{ address string }
	// callUnansweredMsg reports that a daemon did not reply to a call.
	callUnansweredMsg struct{ address string }
	// gossipEndedMsg reports that a gossip call has ended, with or without a reply.
	gossipEndedMsg struct{ address string }
	// keeperMsg carries a message to the keeper. It is dropped unless this daemon leads.
	keeperMsg struct{ msg keeper.Msg }
	// leadershipAcquiredMsg reports that this daemon has become the leader.
	leadershipAcquiredMsg struct {
		table, previous grant.Table
		revision        uint64
		requestedAt     time.Time // when the save was sent
	}
	// leadershipNotAcquiredMsg reports that an attempt to become the leader failed.
	leadershipNotAcquiredMsg struct{}
	settingsMsg              struct{ settings setup.Settings }
)

// control is the state that the control loop owns.
type control struct {
	r              *Router
	caches         map[object.Kind]*object.Cache
	knownRevisions map[object.Kind]*atomic.Uint64
	// configConfirmedAt is when the configuration was last known to be the newest.
	configConfirmedAt atomic.Pointer[time.Time]
	role              readerRole
	members           *member.Cluster
	keeper            *keeper.Keeper
	leadership        leaderState
	stopping          bool
	seeds             []string
	serverList        *serverList
	lastRuns          lastRuns
	pendingGossip     pendingGossip
	pendingFetches    pendingFetches
	lastCountReport   countReport
	tables            tableHistory
	stored            storedTable
	clusterCounts     *clusterCounts
	limits            holderLimits
	// liveCounts are the relays' counts of live daemons, by data centre.
	liveCounts map[string]liveCount
	// loggedShare is the share of the allowances that this daemon's pool had when that was last logged.
	loggedShare float64
	startedAt   time.Time
	boot        boot.Boot
	reach       *reach.Monitor
	// pendingOffers holds the daemons that are being asked whether they carry requests.
	pendingOffers map[string]bool
}

func newControl(r *Router, now time.Time) *control {
	c := &control{
		r:               r,
		caches:          map[object.Kind]*object.Cache{},
		knownRevisions:  map[object.Kind]*atomic.Uint64{},
		members:         member.New(r.self, now),
		seeds:           r.settings.Seeds,
		serverList:      newServerList(),
		pendingGossip:   pendingGossip{},
		pendingFetches:  pendingFetches{},
		tables:          tableHistory{encoded: map[uint64][]byte{}},
		lastCountReport: countReport{sentAt: now},
		clusterCounts:   newClusterCounts(),
		liveCounts:      map[string]liveCount{},
		startedAt:       now,
		boot:            boot.New(now),
		reach:           reach.New(seedOf(r.self)),
		pendingOffers:   map[string]bool{},
	}
	for _, k := range object.Kinds {
		c.caches[k], c.knownRevisions[k] = object.NewCache(k), &atomic.Uint64{}
	}
	return c
}

// knownRevision is the revision up to which all changes to a kind of objects are known.
// It is safe for concurrent use.
func (c *control) knownRevision(kind object.Kind) uint64 { return c.knownRevisions[kind].Load() }

// update handles one message.
func (c *control) update(now time.Time, m any) {
	switch m := m.(type) {
	case tickMsg:
		c.tick(now)
	case deltaMsg:
		c.applyDelta(now, m)
	case gossipMsg:
		c.applyGossip(now, m)
	case fetchMsg:
		m.reply <- c.answerFetch(now, m.fetch)
	case fetchEndedMsg:
		c.endFetch(now, m.kind, m.address)
	case tableMsg:
		if c.applyTable(now, m.table) {
			c.propagateChange(now, false)
		}
	case gossipEndedMsg:
		c.endGossip(now, m.address)
	case connectionRefusedMsg:
		c.members.RecordRefused(m.address)
	case callUnansweredMsg:
		c.members.RecordUnanswered(now, m.address)
	case keeperMsg:
		c.updateKeeper(now, m.msg)
	case leadershipAcquiredMsg:
		c.startLeading(now, m)
	case settingsMsg:
		c.applySettings(m.settings)
	case leadershipNotAcquiredMsg:
		c.leadership.acquiring = false
	case storeFailedMsg:
		c.recordStoreFailure(now)
	case propagateMsg:
		c.propagateChange(now, true)
	case statusMsg:
		m.reply <- c.status(now)
	case reachMsg:
		c.updateReach(now, m.msg)
	case carryOfferEndedMsg:
		delete(c.pendingOffers, m.address)
	case stoppingMsg:
		c.stopping = true
		c.propagateToAll(now)
	}
}

func (c *control) tick(now time.Time) {
	c.role.isReader.Store(c.members.ShouldRead(now, c.caches[object.Servers].CurrentAt(), c.keeper != nil))
	c.role.localRank.Store(int64(c.members.LocalRank(now)))
	if c.due(now, &c.lastRuns.standbyCheck, standbyCheckInterval) {
		c.role.isStandby.Store(!c.stopping && c.members.IsStandbyReader(now, c.r.current.Load().table.Leader.Daemon))
	}
	c.dropExpiredServers(now)
	c.applyOwnLeaving(now)
	c.tryAcquireLeadership(now)
	if c.keeper != nil {
		c.runKeeper(now)
	}
	if c.keeper != nil {
		c.callWitnesses(now)
	}
	c.gossip(now)
	c.recordLoaded(now, "")
	c.refreshIssuers(now)
	c.updateLeaderContact(now)
	c.renewAllowances(now)
	c.checkReach(now)
	c.offerCarry(now)
	c.confirmLosses(now)
	c.r.ready.Store(!c.stopping && c.isReady(now))
}

// recordStoreFailure records that the store did not answer this daemon. If this daemon is
// the leader or the standby reader, the first failure is propagated, so that another daemon
// reads in its place at once. Failures of other daemons are not propagated: in an outage,
// all of them end up trying to read.
func (c *control) recordStoreFailure(now time.Time) {
	first := c.members.LastStoreFailure().IsZero()
	c.members.RecordStoreFailure(now)
	if first && (c.keeper != nil || c.role.isStandby.Load()) {
		c.propagateChange(now, true)
	}
}

// isReady reports whether requests can be served: there is a configuration, the servers
// are known, and either the holders of keys are known too or maxTableWait has passed.
func (c *control) isReady(now time.Time) bool {
	s := c.r.current.Load()
	if !s.configured || len(s.fleet.All()) == 0 {
		return false
	}
	return len(s.keyedServices()) == 0 || s.table.Epoch > 0 || now.Sub(c.startedAt) > maxTableWait
}

// maxTableWait is how long readiness may be delayed after the start because the holders
// of keys are unknown. Unkeyed requests are served without them.
const maxTableWait = 4 * time.Second

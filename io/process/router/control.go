package router

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"catkinstep/io/process/setup"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/boot"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/member"
	"catkinstep/core/version/config"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/news"
)

// Messages to the control loop.
type (
	tickMsg    struct{}
	leavingMsg struct{}
	// deltaMsg is news of one kind, from the store or another daemon.
	deltaMsg struct {
		delta     news.Delta
		fromStore bool
		done      chan struct{}
	}
	// gossipMsg is another daemon's gossip; reply, if any, gets this one's.
	gossipMsg struct {
		gossip *wire.Gossip
		reply  chan *wire.Gossip
	}
	// tableMsg is a published table.
	tableMsg struct{ table grant.Table }
	// fetchMsg asks for what a daemon lacks.
	fetchMsg struct {
		fetch *wire.Fetch
		reply chan *wire.Delta
	}
	fetchedMsg struct{ kind, address string }
	// storeFailedMsg says that the store did not answer this daemon.
	storeFailedMsg struct{}
	// urgentMsg says that there is news for the other daemons which cannot wait.
	urgentMsg struct{}
	// statusMsg asks what is in force here, and for the other daemons' addresses.
	statusMsg struct {
		reply chan status
	}
	refusedMsg struct{ address string }
	// missedMsg says that a daemon did not answer.
	missedMsg struct{ address string }
	calledMsg struct{ address string }
	keeperMsg struct{ msg keeper.Msg }
	leadMsg   struct {
		table, before grant.Table
		revision      uint64
	}
	leadFailMsg struct{}
	settingsMsg struct{ settings setup.Settings }
)

// control is the state that the control loop owns.
type control struct {
	r      *Router
	caches map[news.Kind]*news.Cache
	known  map[news.Kind]*atomic.Uint64
	// reads tells whether this daemon reads the store, and turn how many of its data
	// centre come before it; any goroutine may ask.
	reads atomic.Bool
	turn  atomic.Int64
	// spare tells whether it reads beside the leader what cannot wait.
	spare   atomic.Bool
	members *member.Cluster
	keeper  *keeper.Keeper
	lead    leadership
	leaving bool
	seeds   []string
	entries *entries
	paces   paces
	calling map[string]bool
	fetches fetches
	counts  countReport
	// tables are those that were in force before, the newest last.
	tables []grant.Table
	// tableForms are the wire forms of the present table, by the sequence of the table that a
	// change is made to; 0 is the whole one.
	tableForms map[uint64][]byte
	stored     storedTable
	heats      *siteCounts
	limits     holderLimits
	started    time.Time
	boot       boot.Boot
}

// storedTable is the stored table. Its head is read at each change, the rest only where it is
// needed: daemons learn most tables from the leader before they are stored, and a large
// one takes milliseconds.
type storedTable struct {
	head     grant.Table // without shares
	value    []byte
	revision uint64
}

// whole reads all of it.
func (s storedTable) whole() (grant.Table, error) {
	if s.value == nil {
		return grant.Table{}, nil
	}
	return grant.Unmarshal(s.value)
}

func newControl(r *Router, now time.Time) *control {
	c := &control{
		r: r, caches: map[news.Kind]*news.Cache{}, known: map[news.Kind]*atomic.Uint64{},
		members: member.New(r.self, now), entries: newEntries(),
		calling: map[string]bool{}, fetches: fetches{}, tableForms: map[uint64][]byte{}, counts: countReport{sentAt: now}, heats: newSiteCounts(), started: now, boot: boot.New(now), seeds: r.settings.Seeds,
	}
	for _, k := range news.Kinds {
		c.caches[k], c.known[k] = news.NewCache(k), &atomic.Uint64{}
	}
	return c
}

// through is the revision up to which a kind is known; any goroutine may ask.
func (c *control) through(kind news.Kind) uint64 { return c.known[kind].Load() }

// update takes in one message.
func (c *control) update(now time.Time, m any) {
	switch m := m.(type) {
	case tickMsg:
		c.tick(now)
	case deltaMsg:
		c.delta(now, m)
	case gossipMsg:
		c.applyGossip(now, m)
	case fetchMsg:
		m.reply <- c.fetched(now, m.fetch)
	case fetchedMsg:
		c.fetches.end(m.kind, m.address)
	case tableMsg:
		if c.applyTable(now, m.table) {
			c.spreadNews(now, false)
		}
	case calledMsg:
		delete(c.calling, m.address)
	case refusedMsg:
		c.members.RecordRefused(m.address)
	case missedMsg:
		c.members.RecordUnanswered(now, m.address)
	case keeperMsg:
		c.keep(now, m.msg)
	case leadMsg:
		c.beginLead(now, m)
	case settingsMsg:
		c.applySettings(m.settings)
	case leadFailMsg:
		c.lead.taking = false
	case storeFailedMsg:
		c.storeFailed(now)
	case urgentMsg:
		c.spreadNews(now, true)
	case statusMsg:
		m.reply <- c.status(now)
	case leavingMsg:
		c.leaving = true
		c.gossipToAll(now)
	}
}

func (c *control) tick(now time.Time) {
	c.reads.Store(c.members.ShouldRead(now, c.caches[news.Servers].CurrentAt(), c.keeper != nil))
	c.turn.Store(int64(c.members.LocalRank(now)))
	if c.due(now, &c.paces.spare, spareEvery) {
		c.spare.Store(!c.leaving && c.members.IsStandbyReader(now, c.r.current.Load().table.Leader.Daemon))
	}
	c.expire(now)
	c.tryLead(now)
	if c.keeper != nil {
		c.runKeeper(now)
	}
	c.gossip(now)
	c.recordLoaded(now, "")
	c.refreshIssuers(now)
	c.r.ready.Store(!c.leaving && c.isReady(now))
}

// storeFailed tells the other daemons at the first failure of the leader or the spare, so
// that another one reads in its place at once. In an outage all daemons come to try: their
// failures are no news.
func (c *control) storeFailed(now time.Time) {
	first := c.members.LastStoreFailure().IsZero()
	c.members.RecordStoreFailure(now)
	if first && (c.keeper != nil || c.spare.Load()) {
		c.spreadNews(now, true)
	}
}

// isReady tells whether requests can be served: there is a configuration, and
// the servers are known. Keys without holders yet do not hold the rest back.
func (c *control) isReady(now time.Time) bool {
	s := c.r.current.Load()
	if !s.configured || len(s.fleet.All()) == 0 {
		return false
	}
	return len(s.keyedServices()) == 0 || s.table.Epoch > 0 || now.Sub(c.started) > readyAnyway
}

// readyAnyway is how long a start may wait for the holders of keys: unkeyed
// requests are served without them.
const readyAnyway = 4 * time.Second

// delta takes in news of one kind.
func (c *control) delta(now time.Time, m deltaMsg) {
	if m.done != nil {
		defer close(m.done)
	}
	if m.fromStore {
		c.members.RecordStoreResponse(now)
	}
	cache := c.caches[m.delta.Kind]
	if cache == nil {
		return
	}
	before := cache.CurrentAt()
	changed := cache.Merge(m.delta)
	c.gap(now, m.delta.Kind, before)
	c.known[m.delta.Kind].Store(cache.Through())
	defer c.recordLoaded(now, m.delta.Kind)
	if len(changed) == 0 {
		return
	}
	urgent := m.delta.Kind != news.Daemons
	switch m.delta.Kind {
	case news.Config:
		c.applyConfig(changed)
	case news.Servers:
		urgent = c.applyServers(now, changed, m.fromStore)
	case news.Outs:
		c.applyOuts(changed)
	case news.Daemons:
		c.applyDaemons(changed)
	case news.Tables:
		c.applyStoredTable(now, changed)
	}
	if urgent {
		c.spreadNews(now, m.fromStore)
	}
}

// applyConfig puts a newer configuration in force. An older one never replaces it,
// whatever the order in which they come.
func (c *control) applyConfig(changed []news.Item) {
	for _, it := range changed {
		var next config.Config
		if it.Removed || json.Unmarshal(it.Value, &next) != nil {
			c.r.log.Warn("config: not usable, the last one stays in force", "name", it.Name, "revision", it.Revision)
			continue
		}
		s := c.r.current.Load()
		if s.configured && next.Version <= s.config.Version {
			c.r.log.Warn("config: older than the one in force", "version", next.Version, "inForce", s.config.Version)
			continue
		}
		if err := next.Check(); err != nil {
			c.r.log.Warn("config: not usable, the last one stays in force", "version", next.Version, "err", err)
			continue
		}
		c.r.current.Store(s.withConfig(next.WithIndex()))
		c.share()
		c.r.meters.setGauge("config.version", next.Version)
		c.r.log.Info("config: in force", "version", next.Version, "revision", it.Revision, "routes", len(next.Routes))
	}
}

func (c *control) applyDaemons(changed []news.Item) {
	for _, it := range changed {
		var m member.Member
		if !it.Removed && json.Unmarshal(it.Value, &m) == nil {
			c.members.AddDiscovered(m)
		}
	}
	c.share()
}

// applySettings takes over the seeds and the bounds.
func (c *control) applySettings(s setup.Settings) {
	c.r.mu.Lock()
	c.r.bounds = s
	c.r.mu.Unlock()
	c.seeds = s.Seeds
	c.share()
	c.r.log.Info("settings: reloaded", "seeds", len(s.Seeds), "retryShare", s.RetryShare, "coldFactor", s.ColdFactor)
}

// share divides what the daemons may do together anew.
func (c *control) share() {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.daemons = c.members.Count()
	index, near := c.members.LocalIndex()
	c.r.spread.SetLimits(c.r.limits().WithDaemons(c.members.Count(), c.members.Index()).WithLocalDaemons(near, index))
	for _, b := range c.r.budgets {
		b.SetShare(c.r.retryShare() * retryMargin)
		b.SetBurst(c.r.burst())
	}
}

func (c *control) applyStoredTable(now time.Time, changed []news.Item) {
	for _, it := range changed {
		if it.Name != tableName {
			continue
		}
		head, err := grant.UnmarshalHeader(it.Value)
		if err != nil || it.Removed {
			c.unusableTable(it.Revision, err)
			if it.Removed {
				c.stored.revision = 0
			}
			continue
		}
		c.stored = storedTable{head: head, value: it.Value, revision: it.Revision}
		if !head.Newer(c.r.current.Load().table) {
			continue
		}
		if t, err := c.stored.whole(); err == nil {
			c.applyTable(now, t)
		} else {
			c.unusableTable(it.Revision, err)
		}
	}
}

// unusableTable drops a stored table that cannot be read. What is written next is
// conditional on its revision all the same.
func (c *control) unusableTable(revision uint64, err error) {
	c.r.log.Warn("keys: stored table not usable", "revision", revision, "err", err)
	c.stored = storedTable{revision: revision}
}

// applyTable takes in a table that may be newer than the one in force, and tells
// whether it is.
func (c *control) applyTable(now time.Time, t grant.Table) bool {
	s := c.r.current.Load()
	if c.keeper != nil && t.Epoch > c.keeper.Table().Epoch {
		c.keep(now, keeper.EpochSeenMsg{Epoch: t.Epoch, At: now})
	}
	if !t.Newer(s.table) {
		return false
	}
	if t.Epoch != s.table.Epoch {
		c.r.log.Info("keys: new leader", "epoch", t.Epoch, "leader", t.Leader.Daemon)
	}
	c.tables = append(c.tables, s.table)
	c.tables = c.tables[max(0, len(c.tables)-tablesKept):]
	clear(c.tableForms)
	c.r.current.Store(s.withTable(t))
	c.r.recordTableChange(now, t)
	c.r.meters.setGauge("keys.epoch", t.Epoch)
	return true
}

package router

import (
	"context"
	"errors"
	"time"

	"catkinstep/core/process/keeper"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/news"
	"catkinstep/io/connection/link"
)

// tableName is the stored table's name.
const tableName = "keys"

// tryLead takes the lead when nobody has it any more.
func (c *control) tryLead(now time.Time) {
	if c.keeper != nil || c.lead.taking || c.leaving || c.through(news.Tables) == 0 || len(c.r.current.Load().keyedServices()) == 0 {
		return
	}
	try, _ := c.members.ShouldTakeLead(now, c.stored.head.Leader)
	if !try {
		return
	}
	stored, err := c.stored.whole()
	if err != nil {
		c.unusableTable(c.stored.revision, err)
	}
	c.lead.taking = true
	next := stored.WithCompletedMoves(c.r.current.Load().table)
	next.Epoch, next.Seq = stored.Epoch+1, stored.Seq+1
	next.Leader = grant.Leader{Daemon: c.r.self.Name, Incarnation: c.r.self.Incarnation}
	go c.r.takeLead(next, stored, c.stored.revision)
}

// takeLead writes the table under a new epoch, if it is still the one that the
// decision was made on.
func (r *Router) takeLead(next, before grant.Table, revision uint64) {
	item, err := r.saveTable(next, revision)
	if err == nil {
		r.post(leadMsg{table: next, before: before, revision: item.Revision})
		return
	}
	r.log.Info("keys: lead not taken", "epoch", next.Epoch, "err", err)
	ctx := r.tomb.Context(context.Background())
	if _, err := r.readTable(ctx); err != nil {
		r.log.Info("keys: table not read after that", "err", err)
	}
	sleep(ctx, backoffLeast)
	r.post(leadFailMsg{})
}

// leadership is what a daemon knows of its own leading.
type leadership struct {
	// before is the leader that it took the lead from.
	before grant.Leader
	// taking is set while it tries to take the lead.
	taking bool
	// led is set once it has led: the next leader waits for its gossip.
	led bool
}

// beginLead begins a leadership.
func (c *control) beginLead(now time.Time, m leadMsg) {
	c.lead = leadership{before: m.before.Leader, led: true}
	c.members.RecordStoreResponse(now)
	c.keeper = keeper.New(now, m.table, m.revision, keeper.WithGrantTTL(c.r.hold))
	c.heats = newSiteCounts()
	c.r.log.Info("keys: leading", "epoch", m.table.Epoch, "before", c.lead.before.Daemon, "revision", m.revision)
	c.updateFleet(now)
	c.runKeeper(now)
}

// runKeeper lets the keeper act on what is known now.
func (c *control) runKeeper(now time.Time) {
	c.updateFleet(now)
	c.keep(now, keeper.EpochSeenMsg{Epoch: c.stored.head.Epoch, At: c.caches[news.Tables].CurrentAt()})
	if c.keeper != nil && c.members.HasSteppedDown(c.lead.before, c.keeper.Table().Epoch) {
		c.keep(now, keeper.OldLeaderStoppedMsg{At: now})
	}
	if now.Sub(c.heats.meter.WindowStart()) >= heatEvery {
		s := c.r.current.Load()
		for _, l := range c.heats.closeWindow(now, s.config, s.fleet) {
			c.keep(now, l)
		}
	}
	c.keep(now, keeper.TickMsg{})
}

func (c *control) updateFleet(now time.Time) {
	s := c.r.current.Load()
	c.keep(now, keeper.FleetMsg{Fleet: s.fleet, KeyedServices: s.keyedServices(), OutDataCentres: s.outDataCentres, BalancingDisabled: s.config.DisableRebalancing, DaemonCount: c.members.Count()})
}

// keep passes a message to the keeper and carries out what it wants.
func (c *control) keep(now time.Time, m keeper.Msg) {
	if c.keeper == nil {
		return
	}
	for _, cmd := range c.keeper.Update(now, m) {
		c.carryOut(now, cmd)
		if c.keeper == nil {
			return
		}
	}
}

func (c *control) carryOut(now time.Time, cmd keeper.Cmd) {
	switch cmd := cmd.(type) {
	case keeper.GrantCmd:
		go c.r.grant(cmd)
	case keeper.ReleaseCmd:
		go c.r.release(cmd)
	case keeper.SaveCmd:
		go c.r.saveKept(cmd)
	case keeper.ReadCmd:
		go c.r.readKept()
	case keeper.PublishCmd:
		c.applyTable(now, cmd.Table)
		c.spreadNews(now, true)
	case keeper.LimitCmd:
		c.applyLimits(now, holderLimits{epoch: c.keeper.Table().Epoch, seq: c.limits.seq + 1, issuedAt: now, bucketLimits: cmd.Limits, contended: cmd.Contended}, true)
	case keeper.ResignCmd:
		c.r.log.Info("keys: no longer leading", "reason", cmd.Reason)
		c.keeper = nil
	case keeper.LogCmd:
		c.r.log.Info("keys: "+cmd.Text, "service", cmd.Service, "from", cmd.From, "to", cmd.To, "holder", cmd.Holder.Server,
			"born", cmd.Holder.StartMillis, "next", cmd.Next.Server, "fence", cmd.Fence, "reason", cmd.Reason)
	}
}

func (r *Router) grant(cmd keeper.GrantCmd) {
	m := keeper.GrantResultMsg{Cmd: cmd, Result: grant.NotSent}
	w := r.links.get(linkKey{address: cmd.Address, id: cmd.Holder.Server, born: cmd.Holder.StartMillis, use: forGrants})
	w.turn.Lock()
	if r.now().Before(cmd.SendBefore) {
		q := r.protocol.Grant(cmd.Call)
		q.ExistingConnOnly = cmd.Renewal
		m.Result, _ = r.order(w, cmd.Holder, q, grantTimeout)
	}
	w.turn.Unlock()
	m.EndedAt = r.now()
	r.meters.increment("grants." + m.Result.String())
	r.post(keeperMsg{msg: m})
}

func (r *Router) release(cmd keeper.ReleaseCmd) {
	m := keeper.ReleaseResultMsg{Cmd: cmd, Result: grant.NotSent}
	if r.now().Before(cmd.SendBefore) {
		w := r.links.get(linkKey{address: cmd.Address, id: cmd.Holder.Server, born: cmd.Holder.StartMillis, use: forReleases})
		m.Result, m.Handover = r.order(w, cmd.Holder, r.protocol.Release(cmd.Call), releaseTimeout)
	}
	r.meters.increment("releases." + m.Result.String())
	r.post(keeperMsg{msg: m})
}

// order makes a call to a server that is no caller's request.
func (r *Router) order(w *way, h grant.Holder, q link.Request, timeout time.Duration) (grant.Result, string) {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), timeout)
	defer cancel()
	a, err := w.Do(ctx, q)
	if err == nil {
		return r.protocol.Result(a)
	}
	if !q.ExistingConnOnly || !link.NotRun(err) {
		r.log.Info("keys: call to server failed", "target", q.Target, "server", h.Server, "host", q.Host, "err", err)
	}
	if link.NotRun(err) {
		return grant.NotSent, ""
	}
	return grant.Unsure, ""
}

func (r *Router) saveTable(t grant.Table, revision uint64) (news.Item, error) {
	value, err := t.Marshal()
	if err != nil {
		return news.Item{}, err
	}
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), storeTimeout)
	defer cancel()
	r.meters.increment("store.save.tables")
	item, err := r.store.Save(ctx, news.Tables, tableName, value, revision)
	if item.Revision > 0 {
		r.post(deltaMsg{delta: news.Delta{Kind: news.Tables, Items: []news.Item{item}}})
	}
	return item, err
}

func (r *Router) saveKept(cmd keeper.SaveCmd) {
	asked := r.now()
	item, err := r.saveTable(cmd.Table, cmd.Revision)
	var e *news.Error
	if err != nil && (!errors.As(err, &e) || e.Kind != news.Conflict) {
		r.log.Warn("keys: table not saved", "seq", cmd.Table.Seq, "err", err)
		r.post(keeperMsg{msg: keeper.StoreFailedMsg{}})
		return
	}
	r.postStored(item, asked)
}

func (r *Router) readKept() {
	asked := r.now()
	item, err := r.readTable(r.tomb.Context(context.Background()))
	if err != nil {
		r.post(keeperMsg{msg: keeper.StoreFailedMsg{}})
		return
	}
	r.postStored(item, asked)
}

func (r *Router) readTable(ctx context.Context) (news.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.store.Read(ctx, news.Tables, tableName)
	if err != nil {
		r.log.Warn("keys: table not read", "err", err)
		return item, err
	}
	r.post(deltaMsg{delta: news.Delta{Kind: news.Tables, Items: []news.Item{item}}})
	return item, nil
}

func (r *Router) postStored(item news.Item, asked time.Time) {
	t, err := grant.Unmarshal(item.Value)
	if err != nil {
		r.log.Error("keys: stored table not readable", "revision", item.Revision, "err", err)
		r.post(keeperMsg{msg: keeper.StoreFailedMsg{}})
		return
	}
	r.post(keeperMsg{msg: keeper.StoredTableMsg{Table: t, Revision: item.Revision, RequestedAt: asked}})
}

package router

import (
	"context"
	"time"

	"catkinstep/core/process/keeper"
	"catkinstep/core/process/lease"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
	"catkinstep/io/connection/link"
)

// tableName is the name of the table in the store.
const tableName = "keys"

// tryAcquireLeadership starts an attempt to become the leader if the known leader appears to
// have ended or stepped down.
func (c *control) tryAcquireLeadership(now time.Time) {
	if c.keeper != nil || c.leadership.acquiring || c.stopping || c.knownRevision(object.Tables) == 0 || !c.needsLeader() {
		return
	}
	shouldAcquire, _ := c.members.ShouldTakeLead(now, c.stored.header.Leader)
	if !shouldAcquire {
		return
	}
	stored, err := c.stored.decode()
	if err != nil {
		c.dropStoredTable(c.stored.revision, err)
	}
	c.leadership.acquiring = true
	go c.r.acquireLeadership(c.successorTable(now, stored), stored, c.stored.revision)
}

// needsLeader reports whether there is anything for a leader to do: keys to grant, or allowances
// to keep.
func (c *control) needsLeader() bool {
	s := c.r.current.Load()
	return len(s.keyedServices()) > 0 || s.config.HasAllowances()
}

// acquireLeadership makes this daemon the leader: it stores the table under a new epoch,
// provided that the stored table is still the one that the decision was based on.
func (r *Router) acquireLeadership(next, previous grant.Table, revision uint64) {
	requestedAt := r.now()
	item, err := r.saveTable(next, revision)
	if err == nil {
		r.post(leadershipAcquiredMsg{table: next, previous: previous, revision: item.Revision, requestedAt: requestedAt})
		return
	}
	r.log.Info("keys: could not become leader", "epoch", next.Epoch, "err", err)
	defer r.post(leadershipNotAcquiredMsg{})
	if object.IsConflict(err) {
		return // saveTable has passed on the newest table, on which the next attempt is based
	}
	ctx := r.tomb.Context(context.Background())
	if _, err := r.readTable(ctx); err != nil {
		r.log.Info("keys: could not read table after failing to become leader", "err", err)
	}
	sleep(ctx, minBackoff)
}

// leaderState is the state of this daemon's own leadership.
type leaderState struct {
	// earlier is what is known of the end of the terms before this one.
	earlier []*lease.Ending
	// witnessSince is since when the present witnesses have been chosen.
	witnessSince map[grant.Witness]time.Time
	// since is when this daemon last became the leader.
	since time.Time
	// acquiring is set during an attempt to become the leader.
	acquiring bool
	// hasLed is set once the daemon has been the leader. From then on it sends gossip to
	// the current leader, since its successor waits to hear that it has stepped down.
	hasLed bool
}

// startLeading makes this daemon act as the leader.
func (c *control) startLeading(now time.Time, m leadershipAcquiredMsg) {
	c.leadership = leaderState{hasLed: true, since: now}
	var earlierEpochs []uint64
	for _, term := range m.table.Earlier {
		c.leadership.earlier = append(c.leadership.earlier, lease.NewEnding(now, term))
		earlierEpochs = append(earlierEpochs, term.Epoch)
	}
	c.members.RecordStoreResponse(now)
	c.keeper = keeper.New(now, m.table, m.revision, keeper.WithGrantTTL(c.r.grantTTL), keeper.WithAcquiredAt(m.requestedAt))
	c.clusterCounts = newClusterCounts()
	c.r.resetIssuer()
	c.r.log.Info("keys: leading", "epoch", m.table.Epoch, "before", m.previous.Leader.Daemon, "revision", m.revision, "witnesses", len(m.table.Witnesses), "earlier", earlierEpochs)
	c.updateKeeperFleet(now)
	c.runKeeper(now)
}

// runKeeper passes the current state to the keeper and lets it act.
func (c *control) runKeeper(now time.Time) {
	c.updateKeeperFleet(now)
	c.updateKeeper(now, keeper.EpochSeenMsg{Epoch: c.stored.header.Epoch, At: c.caches[object.Tables].CurrentAt()})
	c.checkEarlierLeaders(now)
	if now.Sub(c.clusterCounts.meter.WindowStart()) < countReportInterval {
		c.updateKeeper(now, keeper.TickMsg{})
		return
	}
	s := c.r.current.Load()
	for _, l := range c.clusterCounts.closeWindow(now, s.config, s.fleet, c.r.rateLimitsByServer()) {
		c.updateKeeper(now, l)
	}
	c.updateKeeper(now, keeper.TickMsg{})
}

// issueLimits issues the limits that this daemon set as the leader, with a change.
func (c *control) issueLimits(now time.Time, change func(*holderLimits)) {
	next := holderLimits{epoch: c.keeper.Table().Epoch}
	if c.limits.epoch == next.epoch { // otherwise a former leader issued them
		next = c.limits
	}
	next.seq, next.issuedAt = c.limits.seq+1, now
	change(&next)
	c.applyLimits(now, next, true)
}

func (c *control) updateKeeperFleet(now time.Time) {
	s := c.r.current.Load()
	c.updateKeeper(now, keeper.FleetMsg{Fleet: s.fleet, KeyedServices: s.keyedServices(), ExcludedDataCentres: s.excludedDataCentres, RebalancingDisabled: s.config.DisableRebalancing, DaemonCount: c.members.Count(),
		IndirectReleases: c.releasesIndirectly(), Slowdowns: c.clusterCounts.latestSlowdowns})
}

// updateKeeper passes a message to the keeper and executes the commands that it returns.
func (c *control) updateKeeper(now time.Time, m keeper.Msg) {
	if c.keeper == nil {
		return
	}
	for _, cmd := range c.keeper.Update(now, m) {
		c.execute(now, cmd)
		if c.keeper == nil {
			return
		}
	}
}

// execute executes a command of the keeper. The results of calls come back as messages.
func (c *control) execute(now time.Time, cmd keeper.Cmd) {
	switch cmd := cmd.(type) {
	case keeper.GrantCmd:
		go c.r.sendGrant(cmd)
	case keeper.ReleaseCmd:
		routed, peer := c.routeRelease(now, cmd)
		go c.r.sendRelease(routed, peer)
	case keeper.SaveCmd:
		go c.r.saveKeeperTable(cmd)
	case keeper.ReadCmd:
		go c.r.readKeeperTable()
	case keeper.PublishCmd:
		c.applyTable(now, cmd.Table)
		c.propagateChange(now, true)
	case keeper.LimitCmd:
		c.issueLimits(now, func(l *holderLimits) { l.bucketLimits, l.contended = cmd.Limits, cmd.Contended })
	case keeper.StepDownCmd:
		c.r.log.Info("keys: no longer leading", "reason", cmd.Reason)
		c.keeper = nil
		c.reportWitnesses(now)
	case keeper.LogCmd:
		c.r.log.Info("keys: "+cmd.Text, "service", cmd.Service, "from", cmd.From, "to", cmd.To, "holder", cmd.Holder.Server,
			"born", cmd.Holder.StartMillis, "next", cmd.Next.Server, "fence", cmd.Fence, "reason", cmd.Reason)
	}
}

// sendGrant sends a grant to a server and reports the result to the keeper.
func (r *Router) sendGrant(cmd keeper.GrantCmd) {
	result := r.grant(cmd)
	r.metrics.increment("grants." + result.Result.String())
	r.post(keeperMsg{msg: result})
}

// grant sends a grant to a server, unless cmd.SendBefore has passed. A renewal only uses an existing
// connection, so that it cannot reach a new instance of the server.
func (r *Router) grant(cmd keeper.GrantCmd) keeper.GrantResultMsg {
	result := keeper.GrantResultMsg{Cmd: cmd, Result: grant.NotSent}
	client := r.clientPool.get(clientKey{address: cmd.Address, id: cmd.Holder.Server, startMillis: cmd.Holder.StartMillis, purpose: forGrants})
	client.grantMu.Lock()
	if r.now().Before(cmd.SendBefore) {
		req := r.protocol.Grant(cmd.Call)
		req.ExistingConnOnly, req.LatestConn = cmd.Renewal, cmd.Conn
		answer := r.callServer(client, cmd.Holder, req, grantTimeout)
		result.Result, result.Conn = answer.result, answer.conn
	}
	client.grantMu.Unlock()
	result.EndedAt = r.now()
	return result
}

// controlAnswer is what became of a grant or a release.
type controlAnswer struct {
	result   grant.Result
	handover string // of a release
	conn     uint64 // on which the server answered
}

// callServer makes a control call, a grant or a release, to a server.
func (r *Router) callServer(client *serverClient, h grant.Holder, req link.Request, timeout time.Duration) controlAnswer {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), timeout)
	defer cancel()
	resp, err := client.Do(ctx, req)
	if server, ok := r.current.Load().fleet.Find(h.Server); ok {
		r.countRemoteRequest(server, "grants", req, resp)
	}
	if err == nil {
		r.observeCall(h, req, resp)
		answer := controlAnswer{conn: resp.Conn}
		answer.result, answer.handover = r.protocol.Result(resp)
		return answer
	}
	if !req.ExistingConnOnly || !link.NotRun(err) {
		r.log.Info("keys: call to server failed", "target", req.Target, "server", h.Server, "host", req.Host, "err", err)
	}
	if link.NotRun(err) {
		return controlAnswer{result: grant.NotSent}
	}
	return controlAnswer{result: grant.OutcomeUnknown}
}

// saveTable replaces the stored table if it is at the given revision. On a conflict it
// returns the table in the store together with the error.
func (r *Router) saveTable(t grant.Table, revision uint64) (object.Item, error) {
	value, err := t.Marshal()
	if err != nil {
		return object.Item{}, err
	}
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), storeTimeout)
	defer cancel()
	r.metrics.increment("store.save.tables")
	item, err := r.store.Save(ctx, object.Tables, tableName, value, revision)
	if item.Revision > 0 {
		r.post(deltaMsg{delta: object.Delta{Kind: object.Tables, Items: []object.Item{item}}})
	}
	return item, err
}

// saveKeeperTable saves the keeper's table and passes the table that is then in the store
// to the keeper.
func (r *Router) saveKeeperTable(cmd keeper.SaveCmd) {
	requestedAt := r.now()
	item, err := r.saveTable(cmd.Table, cmd.Revision)
	if err != nil && !object.IsConflict(err) {
		r.log.Warn("keys: table not saved", "seq", cmd.Table.Seq, "err", err)
		r.post(keeperMsg{msg: keeper.StoreFailedMsg{}})
		return
	}
	r.postStoredTable(item, requestedAt)
}

// readKeeperTable reads the stored table and passes it to the keeper.
func (r *Router) readKeeperTable() {
	requestedAt := r.now()
	item, err := r.readTable(r.tomb.Context(context.Background()))
	if err != nil {
		r.post(keeperMsg{msg: keeper.StoreFailedMsg{}})
		return
	}
	r.postStoredTable(item, requestedAt)
}

func (r *Router) readTable(ctx context.Context) (object.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.store.Read(ctx, object.Tables, tableName)
	if err != nil {
		r.log.Warn("keys: could not read table", "err", err)
		return item, err
	}
	r.post(deltaMsg{delta: object.Delta{Kind: object.Tables, Items: []object.Item{item}}})
	return item, nil
}

// postStoredTable passes a table from the store to the keeper.
func (r *Router) postStoredTable(item object.Item, requestedAt time.Time) {
	t, err := grant.Unmarshal(item.Value)
	if err != nil {
		r.log.Error("keys: could not decode stored table", "revision", item.Revision, "err", err)
		r.post(keeperMsg{msg: keeper.StoreFailedMsg{}})
		return
	}
	r.post(keeperMsg{msg: keeper.StoredTableMsg{Table: t, Revision: item.Revision, RequestedAt: requestedAt}})
}

package router

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/object"
)

// serverList holds the servers that the store lists, by ID, and those whose entries
// vanished around an outage of the store and that are retained for a while.
type serverList struct {
	listed   map[string]fleet.Server
	retained map[string]retainedServer
	// former holds servers that were listed until recently.
	former map[string]formerServer
	// outageEndedAt is when updates of the servers last resumed after an outage of the store.
	outageEndedAt time.Time
}

// retainedServer is a server that stays usable although its entry vanished around an
// outage of the store.
type retainedServer struct {
	server      fleet.Server
	retainUntil time.Time
}

// formerServer says where a server was whose entry has vanished. It may still hold keys.
type formerServer struct {
	dataCentre string
	until      time.Time
}

// formerRetention is how long the data centre of a server is known after its entry vanished: longer than
// the server can hold keys, whose grants end within 35 s even if their leader is lost.
const formerRetention = 2 * time.Minute

func newServerList() *serverList {
	return &serverList{listed: map[string]fleet.Server{}, retained: map[string]retainedServer{}, former: map[string]formerServer{}}
}

// serverChanges holds the IDs of the servers that a batch of updates changed, by the kind
// of change, and the newest revision of the batch.
type serverChanges struct {
	added, restarted, draining, removed, invalid []string
	// cameIntoUse holds the servers that an operator added or took back; their entries do not
	// say when they started.
	cameIntoUse []string
	revision    uint64
}

// isUrgent reports whether other daemons should learn of the changes at once. An entry that
// only updates how long a server stays cold can wait for the next round of gossip.
func (c serverChanges) isUrgent() bool {
	return len(c.added)+len(c.restarted)+len(c.draining)+len(c.removed) > 0
}

// apply applies changed entries, and returns the changes by kind.
func (l *serverList) apply(now time.Time, changed []object.Item) serverChanges {
	var changes serverChanges
	for _, it := range changed {
		changes.revision = max(changes.revision, it.Revision)
		if it.Removed {
			changes.removed = append(changes.removed, it.Name)
			l.remove(now, it.Name)
			continue
		}
		var next fleet.Server
		if err := json.Unmarshal(it.Value, &next); err != nil {
			changes.invalid = append(changes.invalid, it.Name)
			delete(l.listed, it.Name)
			delete(l.retained, it.Name)
			continue
		}
		l.put(next, &changes)
	}
	return changes
}

func (l *serverList) put(next fleet.Server, changes *serverChanges) {
	old, known := l.find(next.ID)
	switch {
	case !known:
		changes.added = append(changes.added, next.ID)
	case old.StartMillis != next.StartMillis || old.Address != next.Address:
		changes.restarted = append(changes.restarted, next.ID)
	case old.Draining != next.Draining:
		changes.draining = append(changes.draining, next.ID)
	}
	if next.StartMillis == 0 && !next.Draining && (!known || old.Draining) {
		changes.cameIntoUse = append(changes.cameIntoUse, next.ID)
	}
	delete(l.retained, next.ID)
	l.listed[next.ID] = next
}

// remove removes a server. One whose entry vanishes within serverRetention of the end of an
// outage of the store is retained, since it may be alive and listed again shortly.
func (l *serverList) remove(now time.Time, id string) {
	s, wasListed := l.listed[id]
	delete(l.listed, id)
	if wasListed {
		l.former[id] = formerServer{dataCentre: s.DataCentre, until: now.Add(formerRetention)}
	}
	if retainUntil := l.outageEndedAt.Add(serverRetention); wasListed && !s.Draining && now.Before(retainUntil) {
		l.retained[id] = retainedServer{server: s, retainUntil: retainUntil}
	}
}

// find returns a server that is listed or retained.
func (l *serverList) find(id string) (fleet.Server, bool) {
	if s, ok := l.listed[id]; ok {
		return s, true
	}
	r, ok := l.retained[id]
	return r.server, ok
}

// dataCentreOf returns the data centre of a server that is listed or was until recently, or "".
func (l *serverList) dataCentreOf(id string) string {
	if s, ok := l.find(id); ok {
		return s.DataCentre
	}
	return l.former[id].dataCentre
}

// dropExpired drops the retained servers whose entries did not reappear in time, and
// returns their IDs.
func (l *serverList) dropExpired(now time.Time) []string {
	maps.DeleteFunc(l.former, func(_ string, f formerServer) bool { return now.After(f.until) })
	var dropped []string
	for id, r := range l.retained {
		if now.After(r.retainUntil) {
			delete(l.retained, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// list returns the servers that may be used.
func (l *serverList) list() []fleet.Server {
	out := slices.Collect(maps.Values(l.listed))
	for _, r := range l.retained {
		out = append(out, r.server)
	}
	return out
}

// detectOutageEnd records the end of an outage of the store: a time without updates of the
// servers that was so long that entries of live servers may have expired.
func (c *control) detectOutageEnd(now time.Time, kind object.Kind, previouslyCurrentAt time.Time) {
	if kind != object.Servers || previouslyCurrentAt.IsZero() || c.caches[kind].CurrentAt().Sub(previouslyCurrentAt) < minOutage {
		return
	}
	c.serverList.outageEndedAt = now
	c.r.log.Info("servers: updates resumed after an outage", "outage", c.caches[kind].CurrentAt().Sub(previouslyCurrentAt).String())
}

// applyServers applies changed entries of servers, and reports whether other daemons
// should learn of them at once.
//
// hadList is set if this daemon knew an earlier list, and so has sent nothing yet to the servers
// that came into use since.
func (c *control) applyServers(now time.Time, changed []object.Item, fromStore, hadList bool) (isUrgent bool) {
	isFirst := len(c.serverList.listed) == 0
	changes := c.serverList.apply(now, changed)
	for _, it := range changed {
		if s, ok := c.serverList.listed[it.Name]; ok {
			c.r.setCold(s, hadList && slices.Contains(changes.cameIntoUse, it.Name))
		}
	}
	c.logServerChanges(now, changes)
	if !isFirst && (fromStore || c.keeper != nil) {
		c.logEachServerChange(now, changes)
	}
	c.updateFleet()
	return changes.isUrgent()
}

// maxLoggedIDs bounds the IDs in a log line, since every daemon logs each change of the list.
const maxLoggedIDs = 6

// logServerChanges logs one line for all servers that changed together.
func (c *control) logServerChanges(now time.Time, changes serverChanges) {
	if !changes.isUrgent() && len(changes.invalid) == 0 {
		return
	}
	ids := slices.Concat(changes.invalid, changes.removed, changes.draining, changes.restarted, changes.added)
	c.r.log.Info("servers: changed", "came", len(changes.added), "restarted", len(changes.restarted), "draining", len(changes.draining), "gone", len(changes.removed),
		"notUsable", len(changes.invalid), "listed", len(c.serverList.listed), "ids", ids[:min(maxLoggedIDs, len(ids))],
		"revision", changes.revision, "age", now.Sub(c.caches[object.Servers].CurrentAt()).String(), "sinceOutage", formatSince(now, c.serverList.outageEndedAt))
}

// logEachServerChange logs a line for each server that changed. Only two daemons do so: the
// one that read the change from the store, and the leader.
func (c *control) logEachServerChange(now time.Time, changes serverChanges) {
	for _, id := range changes.invalid {
		c.r.log.Warn("servers: invalid entry", "server", id, "revision", changes.revision)
	}
	for _, id := range changes.removed {
		c.r.log.Info("servers: gone", "server", id, "revision", changes.revision, "sinceOutage", formatSince(now, c.serverList.outageEndedAt))
	}
	for _, id := range slices.Concat(changes.added, changes.restarted, changes.draining) {
		s := c.serverList.listed[id]
		c.r.log.Info("servers: entry", "server", id, "address", s.Address, "service", s.Service, "dataCentre", s.DataCentre,
			"born", s.StartMillis, "draining", s.Draining, "cold", s.ColdLeft.String(), "revision", changes.revision)
	}
}

// formatSince formats the time since a moment for a log line; "none" if there was none.
func formatSince(now, at time.Time) string {
	if at.IsZero() {
		return "none"
	}
	return now.Sub(at).String()
}

// dropExpiredServers stops using retained servers whose entries did not reappear in time.
func (c *control) dropExpiredServers(now time.Time) {
	ids := c.serverList.dropExpired(now)
	if len(ids) == 0 {
		return
	}
	c.r.log.Info("servers: entries still missing after an outage, servers dropped", "servers", len(ids), "ids", ids[:min(maxLoggedIDs, len(ids))])
	c.updateFleet()
}

// applyExclusions takes data centres out of service or back in. Servers of a data centre that
// is taken back may have restarted shortly before, so they count as cold until their
// entries say otherwise.
func (c *control) applyExclusions(changed []object.Item) {
	for _, it := range changed {
		c.r.log.Info("outs: changed", "dataCentre", it.Name, "out", !it.Removed, "revision", it.Revision)
		if it.Removed {
			c.r.assumeCold(it.Name)
		}
	}
	c.updateFleet()
}

// updateFleet rebuilds the snapshot's list of servers, and drops the state of servers
// that are no longer in the list.
func (c *control) updateFleet() {
	excluded := map[string]bool{}
	for _, it := range c.caches[object.Exclusions].List() {
		excluded[it.Name] = true
	}
	f := fleet.New(c.r.markLeaving(c.serverList.list()))
	c.r.current.Store(c.r.current.Load().withFleet(f, excluded))
	c.r.clientPool.closeRemoved(f)
	c.r.mu.Lock()
	c.r.balancer.Prune(f)
	c.r.applyRateLimits(f)
	c.r.notices.Prune(time.Now(), f)
	c.r.countNotices()
	c.r.reopenEstimator.ObserveUnusable(c.r.now(), c.r.current.Load().unusable())
	c.r.mu.Unlock()
	c.updateReachableServers(c.r.now())
}

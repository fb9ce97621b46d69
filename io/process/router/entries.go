package router

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/news"
)

// entries are the servers that the store lists, by id, and those that it lost in an
// outage.
type entries struct {
	listed map[string]fleet.Server
	lapsed map[string]lapse
	// returned is when news of the servers last came after an outage of it.
	returned time.Time
}

// lapse is a server whose entry vanished around an outage of the store.
type lapse struct {
	server fleet.Server
	until  time.Time
}

func newEntries() *entries {
	return &entries{listed: map[string]fleet.Server{}, lapsed: map[string]lapse{}}
}

// applied is what one delivery of changes did to the list.
type applied struct {
	came, restarted, draining, gone, odd []string
	revision                             uint64
}

// urgent tells whether other daemons should learn of it at once: a cold server's
// count of its seconds can wait for the next round.
func (a applied) urgent() bool {
	return len(a.came)+len(a.restarted)+len(a.draining)+len(a.gone) > 0
}

// apply takes in changed objects.
func (e *entries) apply(now time.Time, changed []news.Item) applied {
	var a applied
	for _, it := range changed {
		a.revision = max(a.revision, it.Revision)
		if it.Removed {
			a.gone = append(a.gone, it.Name)
			e.remove(now, it.Name)
			continue
		}
		var next fleet.Server
		if err := json.Unmarshal(it.Value, &next); err != nil {
			a.odd = append(a.odd, it.Name)
			delete(e.listed, it.Name)
			delete(e.lapsed, it.Name)
			continue
		}
		e.put(next, &a)
	}
	return a
}

func (e *entries) put(next fleet.Server, a *applied) {
	old, had := e.find(next.ID)
	switch {
	case !had:
		a.came = append(a.came, next.ID)
	case old.StartMillis != next.StartMillis || old.Address != next.Address:
		a.restarted = append(a.restarted, next.ID)
	case old.Draining != next.Draining:
		a.draining = append(a.draining, next.ID)
	}
	delete(e.lapsed, next.ID)
	e.listed[next.ID] = next
}

// remove drops a server. One whose entry vanishes around the store's return from an
// outage may live, and be listed again in a moment.
func (e *entries) remove(now time.Time, id string) {
	v, had := e.listed[id]
	delete(e.listed, id)
	if until := e.returned.Add(lapseGrace); had && !v.Draining && now.Before(until) {
		e.lapsed[id] = lapse{server: v, until: until}
	}
}

// find returns a server that is listed or lapsed.
func (e *entries) find(id string) (fleet.Server, bool) {
	if v, ok := e.listed[id]; ok {
		return v, true
	}
	l, ok := e.lapsed[id]
	return l.server, ok
}

// expire drops the servers whose entries did not come back, and names them.
func (e *entries) expire(now time.Time) []string {
	var out []string
	for id, l := range e.lapsed {
		if now.After(l.until) {
			delete(e.lapsed, id)
			out = append(out, id)
		}
	}
	return out
}

// list returns the servers that may be used.
func (e *entries) list() []fleet.Server {
	out := slices.Collect(maps.Values(e.listed))
	for _, l := range e.lapsed {
		out = append(out, l.server)
	}
	return out
}

// gap notes the end of an outage: there was no news of the servers for so long
// that entries may have lapsed although their servers live.
func (c *control) gap(now time.Time, kind news.Kind, before time.Time) {
	if kind != news.Servers || before.IsZero() || c.caches[kind].CurrentAt().Sub(before) < outageLeast {
		return
	}
	c.entries.returned = now
	c.r.log.Info("servers: news again after an outage", "outage", c.caches[kind].CurrentAt().Sub(before).String())
}

// applyServers takes in changed entries, and tells whether others should learn of
// them at once.
func (c *control) applyServers(now time.Time, changed []news.Item, fromStore bool) (urgent bool) {
	first := len(c.entries.listed) == 0
	a := c.entries.apply(now, changed)
	for _, it := range changed {
		if v, ok := c.entries.listed[it.Name]; ok {
			c.r.setCold(v)
		}
	}
	c.logServers(now, a)
	if !first && (fromStore || c.keeper != nil) {
		c.logEachServer(now, a)
	}
	c.rebuild()
	return a.urgent()
}

// idsLogged bounds the ids in a line: every daemon logs each change of the list.
const idsLogged = 6

// logServers writes one line for all that changed together.
func (c *control) logServers(now time.Time, a applied) {
	if !a.urgent() && len(a.odd) == 0 {
		return
	}
	ids := slices.Concat(a.odd, a.gone, a.draining, a.restarted, a.came)
	c.r.log.Info("servers: changed", "came", len(a.came), "restarted", len(a.restarted), "draining", len(a.draining), "gone", len(a.gone),
		"notUsable", len(a.odd), "listed", len(c.entries.listed), "ids", ids[:min(idsLogged, len(ids))],
		"revision", a.revision, "age", now.Sub(c.caches[news.Servers].CurrentAt()).String(), "sinceOutage", sinceText(now, c.entries.returned))
}

// logEachServer writes a line for each server that changed: who read it from the
// store and who leads do so, not every daemon.
func (c *control) logEachServer(now time.Time, a applied) {
	for _, id := range a.odd {
		c.r.log.Warn("servers: entry not usable", "server", id, "revision", a.revision)
	}
	for _, id := range a.gone {
		c.r.log.Info("servers: gone", "server", id, "revision", a.revision, "sinceOutage", sinceText(now, c.entries.returned))
	}
	for _, id := range slices.Concat(a.came, a.restarted, a.draining) {
		v := c.entries.listed[id]
		c.r.log.Info("servers: entry", "server", id, "address", v.Address, "service", v.Service, "dataCentre", v.DataCentre,
			"born", v.StartMillis, "draining", v.Draining, "cold", v.ColdLeft.String(), "revision", a.revision)
	}
}

func sinceText(now, at time.Time) string {
	if at.IsZero() {
		return "none"
	}
	return now.Sub(at).String()
}

// expire drops servers whose entries did not come back.
func (c *control) expire(now time.Time) {
	ids := c.entries.expire(now)
	if len(ids) == 0 {
		return
	}
	c.r.log.Info("servers: lapsed entries did not come back", "servers", len(ids), "ids", ids[:min(idsLogged, len(ids))])
	c.rebuild()
}

// applyOuts takes data centres out or in. Servers of one that comes back may have
// restarted shortly before, and count as cold until their entries tell.
func (c *control) applyOuts(changed []news.Item) {
	for _, it := range changed {
		c.r.log.Info("outs: changed", "dataCentre", it.Name, "out", !it.Removed, "revision", it.Revision)
		if it.Removed {
			c.r.assumeCold(it.Name)
		}
	}
	c.rebuild()
}

// rebuild makes the snapshot's list of servers anew.
func (c *control) rebuild() {
	out := map[string]bool{}
	for _, it := range c.caches[news.Outs].List() {
		out[it.Name] = true
	}
	f := fleet.New(c.entries.list())
	c.r.current.Store(c.r.current.Load().withFleet(f, out))
	c.r.links.keep(f)
	c.r.mu.Lock()
	c.r.spread.Prune(f)
	c.r.mu.Unlock()
}

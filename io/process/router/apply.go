package router

import (
	"encoding/json"
	"time"

	"catkinstep/core/process/member"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/core/version/object"
	"catkinstep/io/process/setup"
)

// applyDelta applies changes to the objects of one kind.
func (c *control) applyDelta(now time.Time, m deltaMsg) {
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
	hadList := !cache.CurrentAt().IsZero()
	changed := c.merge(now, cache, m.delta)
	defer c.recordLoaded(now, m.delta.Kind)
	if len(changed) == 0 {
		return
	}
	urgent := m.delta.Kind != object.Daemons
	switch m.delta.Kind {
	case object.Config:
		c.applyConfig(changed)
	case object.Servers:
		urgent = c.applyServers(now, changed, m.fromStore, hadList)
	case object.Exclusions:
		c.applyExclusions(changed)
	case object.Daemons:
		c.applyDaemons(changed)
	case object.Tables:
		c.applyStoredTable(now, changed)
	}
	if urgent {
		c.propagateChange(now, m.fromStore)
	}
}

// merge applies a delta to a cache, and returns the objects that changed.
func (c *control) merge(now time.Time, cache *object.Cache, d object.Delta) []object.Item {
	previouslyCurrentAt := cache.CurrentAt()
	changed := cache.Merge(d)
	c.detectOutageEnd(now, d.Kind, previouslyCurrentAt)
	c.knownRevisions[d.Kind].Store(cache.Through())
	switch {
	case d.Kind == object.Config:
		c.configConfirmedAt.Store(new(cache.CurrentAt()))
	case d.Kind == object.Daemons && previouslyCurrentAt.IsZero():
		c.updateShares() // the list of daemons is known now
	}
	return changed
}

// configAge returns the time since the configuration was last known to be the newest, and false
// if it never was. It is safe for concurrent use.
func (c *control) configAge(now time.Time) (time.Duration, bool) {
	confirmedAt := c.configConfirmedAt.Load()
	if confirmedAt == nil || confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(*confirmedAt), true
}

// applyConfig puts a newer configuration in force. An older version never replaces a
// newer one, in whichever order they arrive.
func (c *control) applyConfig(changed []object.Item) {
	for _, it := range changed {
		var next config.Config
		if it.Removed || json.Unmarshal(it.Value, &next) != nil {
			c.r.log.Warn("config: invalid, keeping the one in force", "name", it.Name, "revision", it.Revision)
			continue
		}
		s := c.r.current.Load()
		if s.configured && next.Version <= s.config.Version {
			c.r.log.Warn("config: ignored, older than the one in force", "version", next.Version, "inForce", s.config.Version)
			continue
		}
		if err := next.Check(); err != nil {
			c.r.log.Warn("config: invalid, keeping the one in force", "version", next.Version, "err", err)
			continue
		}
		c.r.current.Store(s.withConfig(next.WithIndex()))
		c.updateShares()
		c.r.pruneWorkspaces()
		c.r.pruneServices()
		c.r.metrics.setGauge("config.version", next.Version)
		c.r.log.Info("config: in force", "version", next.Version, "revision", it.Revision, "routes", len(next.Routes))
	}
}

func (c *control) applyDaemons(changed []object.Item) {
	for _, it := range changed {
		var m member.Member
		if !it.Removed && json.Unmarshal(it.Value, &m) == nil {
			c.members.AddDiscovered(m)
		}
	}
	c.updateShares()
}

// applySettings applies the settings that can be changed without a restart.
func (c *control) applySettings(s setup.Settings) {
	c.r.mu.Lock()
	c.r.latestSettings = s
	c.r.mu.Unlock()
	c.seeds = s.Seeds
	c.updateShares()
	c.r.log.Info("settings: reloaded", "seeds", len(s.Seeds), "retryShare", s.RetryShare, "coldFactor", s.ColdFactor)
}

// updateShares recomputes this daemon's shares of the limits that apply to all daemons together.
func (c *control) updateShares() {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.daemonCount = c.members.Count()
	localIndex, localCount := c.members.LocalIndex()
	members := spread.Members{Self: c.r.self.Name, Others: c.members.PeerNames(), Complete: !c.caches[object.Daemons].CurrentAt().IsZero()}
	c.r.balancer.SetLimits(c.r.coldLimits().WithMembers(members).WithLocalDaemons(localCount, localIndex))
	for _, b := range c.r.budgets {
		b.SetShare(c.r.retryShare() * retryUtilisation)
		b.SetBurst(c.r.retryBurst())
	}
}

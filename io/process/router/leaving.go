package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/notice"
	"catkinstep/core/version/fleet"
)

// applyOwnLeaving takes into account that servers have said to this daemon that they leave. They count as
// draining, whatever their entries say, so that the leader moves their keys.
func (c *control) applyOwnLeaving(now time.Time) {
	if c.r.leavingChanged.Swap(false) {
		c.updateFleet()
		c.propagateChange(now, true)
	}
}

// receiveLeaving takes into account which servers leave, as another daemon says.
func (c *control) receiveLeaving(now time.Time, leaving []*wire.ServerLeaving) {
	if c.r.mergeLeaving(leaving) {
		c.updateFleet()
		c.propagateChange(now, false)
	}
}

// markLeaving returns the servers, with those that leave as draining.
func (r *Router) markLeaving(servers []fleet.Server) []fleet.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for i, s := range servers {
		servers[i].Draining = s.Draining || r.notices.Status(now, s).Leaving
	}
	return servers
}

// mergeLeaving records which instances leave, and reports whether one of them was not known to.
func (r *Router) mergeLeaving(leaving []*wire.ServerLeaving) (added bool) {
	if len(leaving) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, m := range leaving {
		l := notice.Leaving{Server: m.Server, StartMillis: m.StartMillis, SaidAt: timeFromAge(now, m.AgeMillis)}
		if !r.notices.AddLeaving(now, l) {
			continue
		}
		added = true
		r.leavingBuffer.add(now, l)
		r.log.Info("servers: leaves, as another daemon says", "server", l.Server, "born", l.StartMillis, "age", now.Sub(l.SaidAt).String())
	}
	r.countNotices()
	return added
}

// leavingNews returns the instances that were lately found to leave, and a digest of all of them.
func (r *Router) leavingNews() (news []*wire.ServerLeaving, digest uint64) {
	f := r.current.Load().fleet
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, l := range r.notices.Leaving(now, f) {
		digest ^= xxhash.Sum64String(l.Server) ^ uint64(l.StartMillis)
	}
	return leavingToWire(now, r.leavingBuffer.list(now)), digest
}

// someLeaving returns instances that leave for a daemon that knows others. One that misses more gets them
// with several replies.
func (r *Router) someLeaving() []*wire.ServerLeaving {
	f := r.current.Load().fleet
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	leaving := r.notices.Leaving(now, f)
	r.random.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	return leavingToWire(now, leaving[:min(len(leaving), maxPiggybackItems)])
}

func leavingToWire(now time.Time, leaving []notice.Leaving) []*wire.ServerLeaving {
	var out []*wire.ServerLeaving
	for _, l := range leaving {
		out = append(out, &wire.ServerLeaving{Server: l.Server, StartMillis: l.StartMillis, AgeMillis: ageMillis(now, l.SaidAt)})
	}
	return out
}

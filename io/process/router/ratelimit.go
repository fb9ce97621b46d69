package router

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/limit"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/link"
)

const (
	// rateLimitNewsRounds is for how many rounds of gossip a change of a server's limit is sent, in
	// case messages are lost.
	rateLimitNewsRounds = 3
	// maxRateLimits bounds the limits of servers in a message. A daemon that misses more gets them with
	// several replies.
	maxRateLimits = 32
)

// observeRateLimit records what a response says of the limit of its server. A response that was made
// before the request ran, or not by the server, says nothing if it names none. r.mu must be held.
func (r *Router) observeRateLimit(now time.Time, server fleet.Server, resp *link.Response) {
	if resp == nil {
		return
	}
	perSecond, ok := 0.0, !resp.Declined && r.isServerResponse(resp)
	if resp.RateLimited {
		perSecond, ok = limit.Normalise(resp.RateLimit)
	}
	if ok {
		r.mergeRateLimit(now, limit.Limit{Server: server.ID, StartMillis: server.StartMillis, PerSecond: perSecond, ObservedAt: now}, "response")
	}
}

// mergeRateLimit records the limit of a server, and puts it in force if it is newer than what was
// known. r.mu must be held.
func (r *Router) mergeRateLimit(now time.Time, l limit.Limit, source string) {
	changed := r.rateLimits.Merge(now, l)
	if changed {
		standing := r.rateLimits.Standing()
		r.limitedServers.Store(int64(standing))
		r.metrics.setGauge("limits.servers", uint64(standing))
		r.log.Info("limits: server names another limit", "server", l.Server, "born", l.StartMillis, "perSecond", l.PerSecond, "source", source, "age", now.Sub(l.ObservedAt).String())
	}
	if server, ok := r.current.Load().fleet.Find(l.Server); ok && (changed || l.Stands()) {
		r.applyRateLimit(server)
	}
}

// applyRateLimit makes the choice of servers keep to the limit that is known of one of them. r.mu
// must be held.
func (r *Router) applyRateLimit(server fleet.Server) {
	l, _ := r.rateLimits.Find(server.ID, server.StartMillis)
	r.balancer.SetRateLimit(server, l.PerSecond)
}

// applyRateLimits puts all known limits in force for a new list of servers, and forgets those of
// servers that are gone. r.mu must be held.
func (r *Router) applyRateLimits(f *fleet.Fleet) {
	r.rateLimits.Prune(time.Now(), func(server string) bool { _, ok := f.Find(server); return ok })
	r.limitedServers.Store(int64(r.rateLimits.Standing()))
	for id := range r.rateLimits.PerSecond() {
		if server, ok := f.Find(id); ok {
			r.applyRateLimit(server)
		}
	}
	r.issuer.Prune(func(server string) bool { _, ok := f.Find(server); return ok })
}

// mergeRateLimits records the limits that another daemon sent.
func (r *Router) mergeRateLimits(limits []*wire.ServerLimit) {
	if len(limits) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, l := range limits {
		r.mergeRateLimit(now, rateLimitFromWire(now, l), "daemon")
	}
}

// rateLimitNews returns the limits that changed within the last rounds of gossip, and the digest of
// all that are known.
func (r *Router) rateLimitNews(gossipInterval time.Duration) (news []*wire.ServerLimit, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return rateLimitsToWire(now, r.rateLimits.Changed(now.Add(-rateLimitNewsRounds*gossipInterval), maxRateLimits)), r.rateLimits.Digest()
}

// someRateLimits returns limits for a daemon that knows others.
func (r *Router) someRateLimits() []*wire.ServerLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rateLimitsToWire(time.Now(), r.rateLimits.Sample(maxRateLimits))
}

// rateLimitsByServer returns the limits that stand, for the leader.
func (r *Router) rateLimitsByServer() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rateLimits.PerSecond()
}

func rateLimitsToWire(now time.Time, limits []limit.Limit) []*wire.ServerLimit {
	var out []*wire.ServerLimit
	for _, l := range limits {
		out = append(out, rateLimitToWire(now, l))
	}
	return out
}

func rateLimitToWire(now time.Time, l limit.Limit) *wire.ServerLimit {
	return &wire.ServerLimit{Server: l.Server, StartMillis: l.StartMillis, PerSecond: l.PerSecond, AgeMillis: ageMillis(now, l.ObservedAt)}
}

func rateLimitFromWire(now time.Time, m *wire.ServerLimit) limit.Limit {
	return limit.Limit{Server: m.Server, StartMillis: m.StartMillis, PerSecond: m.PerSecond, ObservedAt: timeFromAge(now, m.AgeMillis)}
}

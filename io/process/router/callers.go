package router

import "catkinstep/io/connection/caller"

// newCallerServer returns the server for callers.
func (r *Router) newCallerServer() *caller.Server {
	return caller.New(r.serve, caller.WithLimits(r.callerLimits), caller.WithUnread(r.refuseUnread), caller.WithHeadCheck(r.checkHead), caller.WithMemory(r.memory),
		caller.WithMaxConns(r.plan.CallerConns, func() { r.metrics.increment("connections.evicted") }))
}

// callerLimits returns the limits of the configuration, or the default ones.
func (r *Router) callerLimits() caller.Limits {
	l := r.current.Load().config.Limits
	out := caller.Limits{MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, ReadTimeout: l.ReadTimeout, IdleTimeout: l.IdleTimeout}
	if out.MaxHeaderBytes <= 0 { // the configuration sets no limits
		out = caller.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes, ReadTimeout: defaultReadTimeout, IdleTimeout: defaultIdleTimeout}
		if r.settings.MaxBodyBytes > 0 {
			out.MaxBodyBytes = r.settings.MaxBodyBytes
		}
	}
	return out
}

package router

import (
	"time"

	"catkinstep/core/request/notice"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/link"
)

// serverObserver learns what a server instance announces, and follows the requests to it.
type serverObserver struct {
	r   *Router
	key clientKey
}

func (o serverObserver) server() fleet.Server {
	return fleet.Server{ID: o.key.id, Address: o.key.address, StartMillis: o.key.startMillis}
}

// Announced implements link.Observer.
func (o serverObserver) Announced(req link.Request, connOpenedAt time.Time, n notice.Notice) {
	r, s, now := o.r, o.server(), time.Now()
	r.mu.Lock()
	change := r.notices.Add(now, s, connOpenedAt, n)
	r.noticed.Store(int64(r.notices.Len()))
	r.metrics.setGauge("notices.servers", uint64(r.notices.Len()))
	r.mu.Unlock()
	if change.Rests {
		r.metrics.increment("notices.rests")
		r.log.Info("servers: asks for rest", "server", s.ID, "born", s.StartMillis, "rest", n.Rest.String(), "until", change.RestUntil.Sub(now).String(), "id", req.ID, "call", req.ControlCall)
	}
	if change.Leaves {
		r.metrics.increment("notices.leavings")
		r.log.Info("servers: says that it leaves", "server", s.ID, "born", s.StartMillis, "id", req.ID, "call", req.ControlCall)
	}
}

// Sending implements link.Observer.
func (o serverObserver) Sending(req link.Request, _ time.Time) {
	if o.r.noticed.Load() == 0 {
		return
	}
	r, s, now := o.r, o.server(), time.Now()
	r.mu.Lock()
	status := r.notices.Status(now, s)
	r.mu.Unlock()
	if !status.Leaving && !status.Rests(now) {
		return
	}
	name := "notices.sent"
	if req.ControlCall {
		name = "notices.called"
	}
	r.metrics.increment(name)
	if !req.ControlCall {
		r.log.Info("request: sent although its server rests or leaves", "id", req.ID, "server", s.ID, "born", s.StartMillis, "leaving", status.Leaving,
			"restLeft", status.RestUntil.Sub(now).String(), "decided", now.Sub(req.DecidedAt).String())
	}
}

package router

import (
	"errors"
	"time"

	"catkinstep/core/request/notice"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/link"
)

// serverGate is what all bytes to a server instance pass. It learns what the instance announces, and
// withholds requests that the instance does not want. Grants and releases pass: without renewals the
// instance would lose its keys, and one that leaves gives them up by a release.
type serverGate struct {
	r   *Router
	key clientKey
}

var (
	errRests    = errors.New("the server has asked for rest")
	errLeaves   = errors.New("the server is leaving")
	errReplaced = errors.New("the server has started again since it was chosen")
)

func (g serverGate) server() fleet.Server {
	return fleet.Server{ID: g.key.id, Address: g.key.address, StartMillis: g.key.startMillis}
}

// Announced implements link.Gate.
func (g serverGate) Announced(req link.Request, connOpenedAt time.Time, n notice.Notice) {
	r, s, now := g.r, g.server(), time.Now()
	r.mu.Lock()
	change := r.notices.Add(now, s, connOpenedAt, n)
	if change.Leaves {
		r.leavingBuffer.add(now, notice.Leaving{Server: s.ID, StartMillis: s.StartMillis, SaidAt: now})
		r.leavingChanged.Store(true)
	}
	r.countNotices()
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

// countNotices updates the number of servers that have announced something. r.mu must be held.
func (r *Router) countNotices() {
	r.noticed.Store(int64(r.notices.Len()))
	r.metrics.setGauge("notices.servers", uint64(r.notices.Len()))
}

// Check implements link.Gate.
func (g serverGate) Check(req link.Request) error {
	err := g.check(time.Now())
	if err == nil {
		return nil
	}
	if req.ControlCall {
		g.r.metrics.increment("notices.called")
		return nil
	}
	g.r.metrics.increment("notices.withheld")
	g.r.log.Info("request: withheld from its server", "id", req.ID, "server", g.key.id, "born", g.key.startMillis, "reason", err, "decided", time.Since(req.DecidedAt).String())
	return err
}

// check returns why the instance must not get a request.
func (g serverGate) check(now time.Time) error {
	s := g.server()
	if current, ok := g.r.current.Load().fleet.Find(s.ID); ok && current.StartMillis > s.StartMillis {
		return errReplaced
	}
	if g.r.noticed.Load() == 0 {
		return nil
	}
	g.r.mu.Lock()
	status := g.r.notices.Status(now, s)
	g.r.mu.Unlock()
	switch {
	case status.Leaving:
		return errLeaves
	case status.Rests(now):
		return errRests
	}
	return nil
}

// certainRefusal returns the refusal of a request that no server can get at present, whatever is taken
// for it: an allowance, a token, a permit or a retry.
func (r *Router) certainRefusal(req *request) (spread.Choice, bool) {
	snap, now := r.current.Load(), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.key < 0 {
		if len(snap.fleet.ByService(req.service.Name)) == 0 {
			return spread.Choice{}, false // the list may not have been read yet
		}
		return r.balancer.NoneAvailable(now, req.requirements, snap.serving[req.service.Name])
	}
	h := snap.holderFor(req)
	if !h.isUsable || r.notices.Status(now, h.server).Leaving {
		return r.closedRangeChoice(now, req, h.keyRange, h.isAlive), !r.opensInTime(req)
	}
	return r.balancer.Resting(now, h.server)
}

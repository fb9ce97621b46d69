package router

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/request/admit"
	"catkinstep/core/request/spread"
)

// overloaded is why a request for a key is refused whose holder is offered more, by all
// daemons together, than it can answer in time.
const overloaded spread.Reason = "keyOverloaded"

// limits are the leader's newest limits for overloaded holders.
type limits struct {
	epoch, seq uint64
	at         time.Time
	each       []admit.Limit
	contended  []string
}

func (l limits) newer(o limits) bool {
	if l.epoch != o.epoch {
		return l.epoch > o.epoch
	}
	return l.seq > o.seq
}

// message is the form for other daemons.
func (l limits) message(now time.Time) *wire.Limits {
	out := &wire.Limits{Epoch: l.epoch, Seq: l.seq, AgeMillis: ageMillis(now, l.at), Contended: l.contended}
	for _, x := range l.each {
		out.Limits = append(out.Limits, &wire.Limit{Service: x.Service, Bucket: uint32(x.Bucket), Part: float32(x.Fraction)})
	}
	return out
}

// heardLimits takes in what another daemon passed on.
func (c *control) heardLimits(now time.Time, m *wire.Limits) {
	if m == nil {
		return
	}
	l := limits{epoch: m.Epoch, seq: m.Seq, at: timeFromAge(now, m.AgeMillis), contended: m.Contended}
	for _, x := range m.Limits {
		l.each = append(l.each, admit.Limit{Service: x.Service, Bucket: int(x.Bucket), Fraction: float64(x.Part)})
	}
	c.setLimits(now, l, false)
}

// setLimits puts newer limits in force and passes them on: who made them tells all relays
// and its own data centre, a relay that receives them tells its own.
func (c *control) setLimits(now time.Time, l limits, made bool) {
	if !l.newer(c.limits) {
		return
	}
	if len(l.each) == 0 != (len(c.limits.each) == 0) || len(l.contended) == 0 != (len(c.limits.contended) == 0) {
		c.r.log.Info("limits: changed", "buckets", len(l.each), "contended", len(l.contended), "epoch", l.epoch, "seq", l.seq, "age", now.Sub(l.at).String())
	}
	c.limits = l
	sent := time.Now().Add(l.at.Sub(now))
	c.r.mu.Lock()
	c.r.admission.SetLimits(sent, l.each)
	c.r.permits.set(sent, l.contended)
	c.r.mu.Unlock()
	var to []string
	if made || c.members.IsRelay(now) {
		to = c.members.LocalPeers(now)
	}
	if made {
		to = append(to, c.members.RemoteRelays(now)...)
	}
	for _, a := range to {
		if c.gossipPending[a] {
			continue // its next gossip asks for them
		}
		h := c.newGossip(now)
		h.Limits = l.message(now)
		c.startGossip(a, h)
	}
}

// admitted draws whether a request for a key may go to its holder. The caller must hold
// the lock. Another attempt of one that was let in is not drawn for again.
func (r *Router) admitted(o *order, now time.Time) (back time.Duration, ok bool) {
	if o.admitted {
		return 0, true
	}
	back, o.admitted = r.admission.Admit(now, o.service.Name, keeper.Bucket(o.key))
	return back, o.admitted
}

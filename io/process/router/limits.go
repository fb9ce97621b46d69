package router

import (
	"strconv"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/request/admit"
	"catkinstep/core/request/spread"
)

// reasonKeyOverloaded means that the holder of a key gets more requests from all daemons
// together than it can respond to in time.
const reasonKeyOverloaded spread.Reason = "keyOverloaded"

// holderLimits are the leader's limits for overloaded holders, and its list of contended servers.
type holderLimits struct {
	epoch, seq   uint64
	issuedAt     time.Time
	bucketLimits []admit.Limit
	contended    []string
}

func (l holderLimits) newerThan(other holderLimits) bool {
	if l.epoch != other.epoch {
		return l.epoch > other.epoch
	}
	return l.seq > other.seq
}

// toWire returns the message for other daemons.
func (l holderLimits) toWire(now time.Time) *wire.Limits {
	out := &wire.Limits{Epoch: l.epoch, Seq: l.seq, AgeMillis: ageMillis(now, l.issuedAt), Contended: l.contended}
	for _, x := range l.bucketLimits {
		out.Limits = append(out.Limits, &wire.Limit{Service: x.Service, Bucket: uint32(x.Bucket), Part: float32(x.Fraction)})
	}
	return out
}

// receiveLimits applies limits that another daemon sent.
func (c *control) receiveLimits(now time.Time, m *wire.Limits) {
	if m == nil {
		return
	}
	l := holderLimits{epoch: m.Epoch, seq: m.Seq, issuedAt: timeFromAge(now, m.AgeMillis), contended: m.Contended}
	for _, x := range m.Limits {
		l.bucketLimits = append(l.bucketLimits, admit.Limit{Service: x.Service, Bucket: int(x.Bucket), Fraction: float64(x.Part)})
	}
	c.applyLimits(now, l, false)
}

// applyLimits applies newer limits and forwards them. The leader, which issues them, sends
// them to all relays and to the daemons of its own data centre. A relay that receives them
// forwards them to the daemons of its data centre.
func (c *control) applyLimits(now time.Time, l holderLimits, issuedHere bool) {
	if !l.newerThan(c.limits) {
		return
	}
	if len(l.bucketLimits) == 0 != (len(c.limits.bucketLimits) == 0) || len(l.contended) == 0 != (len(c.limits.contended) == 0) {
		c.r.log.Info("limits: changed", "buckets", len(l.bucketLimits), "contended", len(l.contended), "epoch", l.epoch, "seq", l.seq, "age", now.Sub(l.issuedAt).String())
	}
	c.limits = l
	// now comes from the control loop's clock, but requests use time.Now: convert the time.
	issuedAt := time.Now().Add(l.issuedAt.Sub(now))
	c.r.mu.Lock()
	c.r.admission.SetLimits(issuedAt, l.bucketLimits)
	c.r.permits.setContended(issuedAt, l.contended)
	c.r.mu.Unlock()
	var targets []string
	if issuedHere || c.members.IsRelay(now) {
		targets = c.members.LocalPeers(now)
	}
	if issuedHere {
		targets = append(targets, c.members.RemoteRelays(now)...)
	}
	for _, address := range targets {
		if c.pendingGossip.has(address) {
			continue // it gets them in the reply to its next gossip
		}
		message := c.newGossip(now)
		message.Limits = l.toWire(now)
		c.startGossip(address, message)
	}
}

// admit decides at random, by the limits in force, whether a request for a key may go to its
// holder. A request that was admitted stays admitted for further attempts. r.mu must be held.
func (r *Router) admit(req *request, now time.Time) (retryAfter time.Duration, ok bool) {
	if req.admitted {
		return 0, true
	}
	if retryAfter, req.admitted = r.admission.Admit(now, r.admitRequest(req)); !req.admitted {
		r.metrics.increment("limits.refused.rank" + strconv.Itoa(req.requirements.Rank))
	}
	return retryAfter, req.admitted
}

// admitRequest returns what the limits depend on: the rank without promotion, since class.Fractions
// gives each rank its minimum. r.mu must be held.
func (r *Router) admitRequest(req *request) admit.Request {
	return admit.Request{Service: req.service.Name, Bucket: keeper.Bucket(req.key), Rank: req.requirements.Rank, Deferred: req.requirements.Deferred,
		ServiceTime: r.balancer.TypicalServiceTime(req.requirements)}
}

package router

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/permit"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
)

const (
	// permitTimeout bounds how long a request waits for a permit: a small part of the
	// work that permits are asked for. Without an answer it goes to the server at once.
	permitTimeout = 40 * time.Millisecond
	// contendedLasts is how long the leader's list of contended holders holds: it sends a
	// new one twice a second.
	contendedLasts = 2 * time.Second
	// absentFor is how long an issuer that did not answer is not asked again.
	absentFor = 5 * time.Second
	// othersMost is to how many other servers a request turns that got no permit: where
	// three queues are too long the others are likely so, too.
	othersMost = 2
	// issuersEvery is how often the daemons that issue permits are listed anew.
	issuersEvery = 500 * time.Millisecond
)

// contendedNow is why a request is refused whose servers' queues are too long, by the count
// of the daemons that issue their permits.
const contendedNow spread.Reason = "serverContended"

// permits is what this daemon knows of permits. All but issuers is guarded by the
// router's lock.
type permits struct {
	issuer *permit.Issuer
	// contended are the servers to which requests need a permit, until a time.
	contended map[string]bool
	until     time.Time
	// issuers are the daemons of each data centre.
	issuers atomic.Pointer[map[string][]string]
	// absent are issuers that did not answer, until a time.
	absent map[string]time.Time
	// lastID is the last id that a request for a permit had.
	lastID uint64
}

// permitted is a permit of one attempt.
type permitted struct {
	issuer, server string
	id             uint64
}

func (p *permits) set(sent time.Time, contended []string) {
	p.until, p.contended = sent.Add(contendedLasts), make(map[string]bool, len(contended))
	for _, server := range contended {
		p.contended[server] = true
	}
}

// listIssuers notes which daemons may issue permits, and drops those of requests that must
// have ended.
func (c *control) listIssuers(now time.Time) {
	if c.due(now, &c.lastRuns.issuerList, issuersEvery) {
		living := c.members.ReachableAddresses(now)
		c.r.permits.issuers.Store(&living)
		c.r.mu.Lock()
		c.r.permits.issuer.Expire(time.Now())
		count := c.r.permits.issuer.Count()
		c.r.mu.Unlock()
		c.r.meters.set("permits.counted", uint64(count))
	}
}

// issuerOf is the daemon of a server's data centre that issues permits for a run of it, the
// next one while that does not answer. Daemons that know the same others name the same one;
// where they do not, each issuer sees a part of the queue.
func (r *Router) issuerOf(v fleet.Server, run string) string {
	issuers := r.permits.issuers.Load()
	if issuers == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, best, most := time.Now(), "", uint64(0)
	for _, address := range (*issuers)[v.DataCentre] {
		if now.Before(r.permits.absent[address]) {
			continue
		}
		if weight := xxhash.Sum64String(address + " " + run); weight >= most {
			best, most = address, weight
		}
	}
	return best
}

// askPermit asks for a permit where the chosen server is contended, and returns the choice
// or why the request must not go there. A server that this daemon thinks too busy may still
// be allowed.
func (r *Router) askPermit(ctx context.Context, o *order, v fleet.Server, c spread.Choice) spread.Choice {
	a, answered := r.permitFor(ctx, o, v, c)
	switch {
	case answered && a.Granted:
		c.Reason = ""
	case answered:
		c.Reason, c.RetryAfter = contendedNow, a.RetryAfter
		r.notSent(o, v, spread.PermitDenied)
	case c.Refused():
		r.notSent(o, v, spread.Cancelled)
		r.endPermit(o)
	}
	return c
}

// notSent ends an attempt that was begun and is not made.
func (r *Router) notSent(o *order, v fleet.Server, why spread.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread.End(time.Now(), v, o.need, o.began, why, nil)
}

// permitFor returns the issuer's answer; false where none is needed or none came.
func (r *Router) permitFor(ctx context.Context, o *order, v fleet.Server, c spread.Choice) (permit.Decision, bool) {
	q, ok := r.needsPermit(o, v, c)
	if !ok {
		return permit.Decision{}, false
	}
	issuer := r.issuerOf(v, q.Server)
	if issuer == "" {
		return permit.Decision{}, false
	}
	a, answered := r.permitOf(ctx, issuer, q)
	if !answered || a.Granted {
		// Without an answer it may have been granted all the same.
		o.permit = permitted{issuer: issuer, server: q.Server, id: q.ID}
	}
	return a, answered
}

// needsPermit returns what to ask for a request that needs a permit: to a holder of keys
// where the leader says so, to another server where this daemon thinks so.
func (r *Router) needsPermit(o *order, v fleet.Server, c spread.Choice) (permit.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	contended := c.Contended
	if o.key >= 0 {
		contended = r.permits.contended[v.ID] && now.Before(r.permits.until)
	}
	work := r.spread.ProcessingTime(now, o.need, v)
	if !contended || !permit.Worthwhile(work) {
		return permit.Request{}, false
	}
	r.permits.lastID++
	return permit.Request{
		Server: fmt.Sprintf("%s %d", v.ID, v.StartMillis), ID: r.permits.lastID, Slots: v.Slots,
		ServiceTime: work, MaxLatency: r.spread.LatencyBudget(o.need) - now.Sub(o.Read), TTL: o.deadline.Sub(now) + responseMargin,
	}, true
}

// tryOther tells whether a request may turn to another server than the one whose queue is
// too long, which it leaves out then.
func (o *order) tryOther(v fleet.Server) bool {
	if o.key >= 0 || o.turnedDown >= othersMost {
		return false
	}
	o.turnedDown++
	o.need.Excluded = append(o.need.Excluded, v.ID)
	return true
}

// permitOf asks an issuer, which may be this daemon; false means that it did not answer.
func (r *Router) permitOf(ctx context.Context, issuer string, q permit.Request) (permit.Decision, bool) {
	r.meters.add("permits.asked")
	m := &wire.Permit{Server: q.Server, Id: q.ID, Slots: uint32(q.Slots), WorkMillis: millisOf(q.ServiceTime), PatienceMillis: millisOf(q.MaxLatency), LastsMillis: millisOf(q.TTL)}
	if issuer == r.self.Address {
		return answerOf(r.issue(m)), true
	}
	wait, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := r.callShort(wait, issuer, &wire.Call{Kind: &wire.Call_Permit{Permit: m}})
	if err != nil || reply.Permit == nil {
		r.meters.add("permits.unanswered")
		if ctx.Err() == nil { // else the caller left
			r.issuerLost(issuer, err)
		}
		return permit.Decision{}, false
	}
	return answerOf(reply.Permit), true
}

// issuerLost leaves an issuer out for a while. Until then others are asked in its place.
func (r *Router) issuerLost(issuer string, err error) {
	r.log.Info("permits: issuer does not answer", "issuer", issuer, "absentFor", absentFor.String(), "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits.absent[issuer] = time.Now().Add(absentFor)
}

func answerOf(m *wire.PermitReply) permit.Decision {
	return permit.Decision{Granted: m.Granted, RetryAfter: millis(m.BackMillis)}
}

func millisOf(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// endPermit reports to the issuer that an attempt has left its server.
func (r *Router) endPermit(o *order) {
	p := o.permit
	if p.issuer == "" {
		return
	}
	o.permit = permitted{}
	m := &wire.PermitEnd{Server: p.server, Id: p.id}
	if p.issuer == r.self.Address {
		r.permitEnded(m)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), meshTimeout)
		defer cancel()
		call := &wire.Call{Kind: &wire.Call_PermitEnd{PermitEnd: m}}
		r.meters.addBytes(bytesOut, call)
		if err := r.mesh.Tell(ctx, p.issuer, call); err != nil {
			r.log.Debug("permits: end not reported", "issuer", p.issuer, "server", p.server, "err", err)
		}
	}()
}

// issue decides about a permit that another daemon asks for.
func (r *Router) issue(m *wire.Permit) *wire.PermitReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.permits.issuer.Acquire(time.Now(), permit.Request{Server: m.Server, ID: m.Id, Slots: int(m.Slots),
		ServiceTime: millis(m.WorkMillis), MaxLatency: millis(m.PatienceMillis), TTL: millis(m.LastsMillis)})
	return &wire.PermitReply{Granted: a.Granted, BackMillis: millisOf(a.RetryAfter)}
}

// permitEnded takes in that a request has left its server.
func (r *Router) permitEnded(m *wire.PermitEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits.issuer.Release(m.Server, m.Id)
}

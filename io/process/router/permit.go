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
	// permitTimeout is how long a request waits for the issuer's decision: a small part of
	// the service times for which permits are worthwhile. After that, it is sent without one.
	permitTimeout = 40 * time.Millisecond
	// contendedTTL is how long the leader's list of contended holders is valid. The leader
	// sends a new one twice a second.
	contendedTTL = 2 * time.Second
	// startPermitPeriod is how long after its start a daemon asks for permits for all requests for keys of
	// holders whose queue it does not see, unless it gets a list of contended holders before. After a loss
	// of all hosts, a new leader needs a few seconds to find out which holders are contended. While nothing
	// is overloaded, no list is sent and the period lasts in full.
	startPermitPeriod = 5 * time.Second
	// issuerAbsence is how long no permits are requested from an issuer that did not answer.
	issuerAbsence = 5 * time.Second
	// maxOtherServers is how many other servers a request tries after its first permit was
	// denied. If the queues of three servers are too long, those of all others probably are, too.
	maxOtherServers = 2
	// issuerRefreshInterval is the time between two updates of the list of issuers.
	issuerRefreshInterval = 500 * time.Millisecond
)

// reasonServerContended means that the issuers denied permits for the servers of a request,
// since their queues are too long.
const reasonServerContended spread.Reason = "serverContended"

// permits is the state of a daemon that issues permits and requests them from other daemons.
// Router.mu guards all fields but issuers.
type permits struct {
	issuer *permit.Issuer
	// contended is the leader's list of holders that require a permit, by server ID. It is
	// valid until contendedUntil.
	contended      map[string]bool
	contendedUntil time.Time
	// loadUnknownUntil is when this daemon stops assuming, after its start, that holders whose queue it
	// does not see are contended.
	loadUnknownUntil time.Time
	// issuers are the addresses of the live daemons, by data centre.
	issuers atomic.Pointer[map[string][]string]
	// absentUntil holds, by address, the time until which no permits are requested from an
	// issuer that did not answer.
	absentUntil map[string]time.Time
	// lastID is the ID of the last permit request.
	lastID uint64
}

// heldPermit identifies the permit of an attempt. serverInstance is the ID of the server and
// the start time of its instance.
type heldPermit struct {
	issuer, serverInstance string
	id                     uint64
}

func (p *permits) setContended(issuedAt time.Time, contended []string) {
	p.contendedUntil, p.contended = issuedAt.Add(contendedTTL), make(map[string]bool, len(contended))
	// After a list that has expired, all holders would count as idle.
	if time.Now().Before(p.contendedUntil) {
		p.loadUnknownUntil = time.Time{}
	}
	for _, server := range contended {
		p.contended[server] = true
	}
}

// isContended reports whether requests for keys of a holder require a permit. Just after the start it
// is not known which holders are contended, and all of them count as contended if this daemon does not
// see their queues. Otherwise, after a restart of all hosts, each daemon would send all requests at once
// to holders without known load.
func (r *Router) isContended(now time.Time, holder fleet.Server) bool {
	if now.Before(r.permits.loadUnknownUntil) {
		return !r.balancer.SeesQueue(holder)
	}
	return r.permits.contended[holder.ID] && now.Before(r.permits.contendedUntil)
}

// refreshIssuers updates the list of daemons that may issue permits, if that is due. It also
// drops those permits of this daemon that have expired: their requests have certainly ended.
func (c *control) refreshIssuers(now time.Time) {
	if c.due(now, &c.lastRuns.issuerList, issuerRefreshInterval) {
		liveDaemons := c.members.ReachableAddresses(now)
		c.r.permits.issuers.Store(&liveDaemons)
		c.r.mu.Lock()
		c.r.permits.issuer.Expire(time.Now())
		count := c.r.permits.issuer.Count()
		c.r.mu.Unlock()
		c.r.metrics.setGauge("permits.counted", uint64(count))
	}
}

// issuerFor returns the daemon of the server's data centre that issues permits for the server
// instance. It is chosen by rendezvous hashing among the daemons that answer. Daemons with
// the same membership view choose the same issuer; with different views, each issuer counts
// only a part of the queue.
func (r *Router) issuerFor(server fleet.Server, serverInstance string) string {
	issuers := r.permits.issuers.Load()
	if issuers == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, issuer, maxWeight := time.Now(), "", uint64(0)
	for _, address := range (*issuers)[server.DataCentre] {
		if now.Before(r.permits.absentUntil[address]) {
			continue
		}
		if weight := xxhash.Sum64String(address + " " + serverInstance); weight >= maxWeight {
			issuer, maxWeight = address, weight
		}
	}
	return issuer
}

// ensurePermit requests a permit if the chosen server is contended. It returns the choice, as
// a refusal if the permit was denied. A granted permit overrides this daemon's own estimate
// that the server is too busy. If the choice remains a refusal, ensurePermit ends the attempt.
func (r *Router) ensurePermit(ctx context.Context, req *request, server fleet.Server, choice spread.Choice) spread.Choice {
	decision, answered := r.acquirePermit(ctx, req, server, choice)
	switch {
	case answered && decision.Granted:
		choice.Reason = ""
	case answered:
		choice.Reason, choice.RetryAfter = reasonServerContended, decision.RetryAfter
		r.endUnsentAttempt(req, server, spread.PermitDenied)
	case choice.Refused():
		r.endUnsentAttempt(req, server, spread.Cancelled)
		r.releasePermit(req)
	}
	return choice
}

// endUnsentAttempt ends an attempt that was begun but is not sent.
func (r *Router) endUnsentAttempt(req *request, server fleet.Server, outcome spread.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.End(time.Now(), server, req.requirements, req.attemptStart, outcome, nil)
}

// acquirePermit requests a permit and returns the issuer's decision, or false if no permit is
// needed or no issuer replied.
func (r *Router) acquirePermit(ctx context.Context, req *request, server fleet.Server, choice spread.Choice) (permit.Decision, bool) {
	permitReq, ok := r.permitRequest(req, server, choice)
	if !ok {
		return permit.Decision{}, false
	}
	issuer := r.issuerFor(server, permitReq.Server)
	if issuer == "" {
		return permit.Decision{}, false
	}
	decision, answered := r.askIssuer(ctx, issuer, permitReq)
	if !answered || decision.Granted {
		// Without a reply, the permit may have been granted and must be released.
		req.permit = heldPermit{issuer: issuer, serverInstance: permitReq.Server, id: permitReq.ID}
	}
	return decision, answered
}

// permitRequest returns the permit request for an attempt, or false if the attempt needs no
// permit. Which holders of keys are contended is decided by the leader, and which other servers
// are by this daemon.
func (r *Router) permitRequest(req *request, server fleet.Server, choice spread.Choice) (permit.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	contended := choice.Contended
	if req.key >= 0 {
		contended = r.isContended(now, server)
	}
	serviceTime := r.balancer.ServiceTime(now, req.requirements, server)
	if !contended || !permit.Worthwhile(serviceTime) {
		return permit.Request{}, false
	}
	r.permits.lastID++
	return permit.Request{
		Server: fmt.Sprintf("%s %d", server.ID, server.StartMillis), ID: r.permits.lastID, Slots: server.Slots,
		ServiceTime: serviceTime, LatencyBudget: r.balancer.PermitBudget(now, req.requirements, server), TTL: req.deadline.Sub(now) + responseMargin,
	}, true
}

// askIssuer asks an issuer, which may be this daemon, for a permit. It returns false if the
// issuer did not answer.
func (r *Router) askIssuer(ctx context.Context, issuer string, permitReq permit.Request) (permit.Decision, bool) {
	r.metrics.increment("permits.asked")
	m := &wire.Permit{Server: permitReq.Server, Id: permitReq.ID, Slots: uint32(permitReq.Slots), WorkMillis: millisOf(permitReq.ServiceTime), PatienceMillis: millisOf(permitReq.LatencyBudget), LastsMillis: millisOf(permitReq.TTL)}
	if issuer == r.self.Address {
		return decisionOf(r.issuePermit(m)), true
	}
	askCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := r.callShared(askCtx, issuer, &wire.Call{Kind: &wire.Call_Permit{Permit: m}})
	if err != nil || reply.Permit == nil {
		r.metrics.increment("permits.unanswered")
		if ctx.Err() == nil { // otherwise the caller has disconnected
			r.markIssuerAbsent(issuer, err)
		}
		return permit.Decision{}, false
	}
	return decisionOf(reply.Permit), true
}

// markIssuerAbsent excludes an issuer for a while, so that another one takes its place.
func (r *Router) markIssuerAbsent(issuer string, err error) {
	r.log.Info("permits: issuer does not answer", "issuer", issuer, "absentFor", issuerAbsence.String(), "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits.absentUntil[issuer] = time.Now().Add(issuerAbsence)
}

func decisionOf(m *wire.PermitReply) permit.Decision {
	return permit.Decision{Granted: m.Granted, RetryAfter: millis(m.BackMillis)}
}

func millisOf(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// releasePermit reports to the issuer that an attempt has ended.
func (r *Router) releasePermit(req *request) {
	p := req.permit
	if p.issuer == "" {
		return
	}
	req.permit = heldPermit{}
	m := &wire.PermitEnd{Server: p.serverInstance, Id: p.id}
	if p.issuer == r.self.Address {
		r.handlePermitEnd(m)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), meshTimeout)
		defer cancel()
		call := &wire.Call{Kind: &wire.Call_PermitEnd{PermitEnd: m}}
		r.metrics.addBytes(bytesOut, call)
		r.countRemoteCall(p.issuer, call, nil)
		if err := r.mesh.Notify(ctx, p.issuer, call); err != nil {
			r.log.Debug("permits: end not reported", "issuer", p.issuer, "server", p.serverInstance, "err", err)
		}
	}()
}

// issuePermit decides on a permit request, from this daemon or another one.
func (r *Router) issuePermit(m *wire.Permit) *wire.PermitReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := r.permits.issuer.Acquire(time.Now(), permit.Request{Server: m.Server, ID: m.Id, Slots: int(m.Slots),
		ServiceTime: millis(m.WorkMillis), LatencyBudget: millis(m.PatienceMillis), TTL: millis(m.LastsMillis)})
	return &wire.PermitReply{Granted: decision.Granted, BackMillis: millisOf(decision.RetryAfter)}
}

// handlePermitEnd stops counting a request that has ended at its server.
func (r *Router) handlePermitEnd(m *wire.PermitEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits.issuer.Release(m.Server, m.Id)
}

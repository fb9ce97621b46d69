package router

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/memory"
	"catkinstep/core/request/proof"
	"catkinstep/core/version/space"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/chunk"
)

const (
	// reasonNotCarrying means that a daemon serves no requests for other daemons at present: it is
	// stopping, reaches no servers itself, or serves too many already.
	reasonNotCarrying = "notCarrying"
	// maxCarried is how many requests of other daemons are served at a time.
	maxCarried = 256
)

// carriedFrom is what the daemon that sent a request has found out or decided about it.
type carriedFrom struct {
	service  string
	deadline time.Time
	keyHash  space.KeyHash
	hasKey   bool
	deferred bool
	sent     int
}

// carriesRequests reports whether this daemon serves requests for others.
func (r *Router) carriesRequests() bool {
	return r.tomb.Alive() && !r.stopping.Load() && !r.cutOff.Load() && r.current.Load().configured && r.carriedRunning.Load() < maxCarried
}

// handleCarry serves a request for another daemon. It counts neither for the demand nor the retry
// budget of its service: the other daemon has counted it. Its outcome counts for the priorities here.
// Its tokens of an allowance are taken here, where it is sent to a server.
func (r *Router) handleCarry(ctx context.Context, m *wire.Carry) *wire.Reply {
	r.carriedRunning.Add(1)
	defer r.carriedRunning.Add(-1)
	if !r.carriesRequests() {
		return carryRefusal(reasonNotCarrying)
	}
	reserved, ok := r.reserveCarried(len(m.Body))
	if !ok {
		return carryRefusal(reasonNotCarrying)
	}
	defer r.memory.Release(memory.Carried, reserved)
	req, rejection := r.resolveCarried(m)
	if rejection != nil {
		return carryReply(*rejection, &request{})
	}
	r.metrics.increment("carried.served")
	if r.checkCrashSuspect(req) {
		return carryReply(r.refuseRequest(req, reasonCrashSuspect, crashRetention/4), req)
	}
	sentBefore := req.attempts.sent
	reply := r.sendWithRetries(ctx, req)
	r.returnToken(req)
	r.recordCarriedPriority(req, reply)
	req.attempts.sent -= sentBefore // the other daemon counts those itself
	return carryReply(reply, req)
}

// awaitCarried waits until the requests of other daemons have been served, or the context ends.
func (r *Router) awaitCarried(ctx context.Context) {
	for r.carriedRunning.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, carriedPollInterval)
	}
}

// carriedPollInterval is the interval at which a shutdown checks for requests of other daemons.
const carriedPollInterval = 20 * time.Millisecond

// resolveCarried determines the route, service and key of a request of another daemon by this daemon's own
// configuration.
func (r *Router) resolveCarried(m *wire.Carry) (*request, *caller.Reply) {
	target, err := url.ParseRequestURI(string(m.Target))
	if err != nil {
		return nil, r.finalReply(string(m.Id), http.StatusBadRequest, reasonNoRoute, proof.History{}.NotRun())
	}
	now := time.Now()
	callerReq := caller.Request{Request: &http.Request{Method: string(m.Method), Host: string(m.Host), URL: target, RequestURI: string(m.Target), Header: headerFromWire(m.Header)}, Body: chunk.Of(m.Body), ReadAt: now.Add(-millis(m.ElapsedMillis))}
	from := &carriedFrom{service: m.Service, deadline: now.Add(millis(m.LeftMillis)), deferred: m.Deferred, sent: int(m.Sent)}
	from.hasKey = copy(from.keyHash[:], m.ApiKeyHash) == len(from.keyHash)
	req, rejection := r.resolve(r.current.Load(), callerReq, string(m.Id), from)
	if rejection != nil {
		return nil, rejection
	}
	req.carried, req.requirements.Deferred, req.attempts.sent = true, from.deferred, from.sent
	req.fingerprint = fingerprintOf(req)
	return req, nil
}

// carryReply returns the message about what became of a request. Its attempts are those of this daemon.
func carryReply(reply caller.Reply, req *request) *wire.Reply {
	m := &wire.CarryReply{Status: uint32(reply.Status()), Sent: uint32(req.attempts.sent), Ran: uint32(req.history.Unproved())}
	if f := reply.Refusal(); f != nil {
		m.Refused, m.Reason, m.NotRun, m.MaybeRan, m.BackMillis = true, f.Reason, !f.MaybeRan(), f.MaybeRan(), millisOf(f.RetryAfter)
		return &wire.Reply{Carry: m}
	}
	m.Header, m.Body = headerToWire(reply.Header()), reply.Body()
	return &wire.Reply{Carry: m}
}

func carryRefusal(reason string) *wire.Reply {
	return &wire.Reply{Carry: &wire.CarryReply{Refused: true, Reason: reason, NotRun: true}}
}

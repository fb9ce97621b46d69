package router

import (
	"context"
	"net/http"
	"slices"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/memory"
	"catkinstep/core/request/carry"
	"catkinstep/core/request/proof"
	"catkinstep/core/request/spread"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/mesh"
)

const (
	// reasonCutOff means that this host reaches no servers, and no other daemon carries its requests.
	reasonCutOff = "hostCutOff"
	// maxCarriers is to how many daemons one request is sent at most. Each but the last has said
	// that it did not run.
	maxCarriers = 3
	// carryTransitTime is subtracted from the time until the caller's deadline for the way to the other
	// daemon and back.
	carryTransitTime = 5 * time.Millisecond
)

// carryOutcome is what became of a request at one other daemon.
type carryOutcome int

const (
	carryAnswered    carryOutcome = iota // there is a reply for the caller
	carryUnavailable                     // it did not run, and another daemon may serve it
	carryUnknown                         // it may have run, and there is no reply
)

// sendByOthers sends a request by way of another daemon, since this host reaches no servers. A request
// that may have run is sent again only as it would be to a server.
func (r *Router) sendByOthers(ctx context.Context, req *request) caller.Reply {
	req.sentToPeer = true
	if r.endsTooLate(req) {
		return r.giveUp(req, spread.Choice{}, string(spread.DaemonStops), carryRefusalDelay)
	}
	reserved, ok := r.reserveCarried(req.Body.Len())
	if !ok {
		return r.giveUp(req, spread.Choice{}, reasonNoMemory, r.jitter(memoryRetryDelay))
	}
	defer r.memory.Release(memory.Carried, reserved)
	var tried []string
	for len(tried) < maxCarriers && ctx.Err() == nil {
		peer, ok := r.beginCarry(tried)
		if !ok {
			break
		}
		reply, outcome := r.carryRecorded(ctx, req, peer)
		r.endCarry(peer)
		tried = append(tried, peer.Address)
		switch outcome {
		case carryAnswered:
			return reply
		case carryUnavailable:
			continue
		case carryUnknown:
			r.metrics.increment("carry.unknown")
			if !r.mayRetry(ctx, req, false) || !r.tryWithdrawRetry(req) {
				return r.giveUp(req, spread.Choice{}, reasonAttemptFailed, 0)
			}
		}
	}
	return r.giveUp(req, spread.Choice{}, reasonCutOff, carryRefusalDelay)
}

// carryCopies is how often the body of a request is in memory for a message to another daemon: in one piece,
// and encoded.
const carryCopies = 2

// reserveCarried reserves the memory for a request that is sent to another daemon, or was sent by one. It
// returns how much that is, and false if there is no room, or if the request does not fit into a message.
func (r *Router) reserveCarried(bodyBytes int) (int64, bool) {
	if bodyBytes > mesh.MaxMessageSize-maxCarriedHead {
		return 0, false
	}
	if bodyBytes <= memory.SmallBody {
		return 0, true
	}
	n := int64(carryCopies * bodyBytes)
	return n, r.memory.Reserve(memory.Carried, n)
}

// maxCarriedHead is the room in bytes for the rest of a message with a request.
const maxCarriedHead = 128 << 10

func (r *Router) beginCarry(tried []string) (carry.Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer, ok := r.carriers.Choose(time.Now(), tried)
	if ok {
		r.carriers.Begin(peer.Address)
	}
	return peer, ok
}

func (r *Router) endCarry(peer carry.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carriers.End(peer.Address)
}

// carryRecorded sends a request to another daemon. If the holder of its key deduplicates it, it is also
// recorded here that it was sent and how that ended: the other daemon may be lost with its record.
func (r *Router) carryRecorded(ctx context.Context, req *request, peer carry.Peer) (caller.Reply, carryOutcome) {
	if !r.holderDeduplicates(req) {
		return r.carryBy(ctx, req, peer)
	}
	record, repeated := r.recordSent(req)
	reply, outcome := r.carryBy(ctx, req, peer)
	r.recordSentOutcome(record, repeated, sentOutcomeOfCarried(ctx, reply, outcome))
	return reply, outcome
}

// sentOutcomeOfCarried returns how an attempt by way of another daemon ended.
func sentOutcomeOfCarried(ctx context.Context, reply caller.Reply, outcome carryOutcome) sentOutcome {
	refusal := reply.Refusal()
	switch {
	case outcome == carryUnknown || refusal != nil && refusal.MaybeRan():
		return sentLost
	case outcome == carryUnavailable || refusal != nil:
		return sentNotRun
	case ctx.Err() != nil:
		return sentUnanswered
	}
	return sentAnswered
}

// carryBy sends a request to another daemon and waits for the reply. Like the request to a server, it is
// cancelled when the caller disconnects only if it is idempotent.
func (r *Router) carryBy(ctx context.Context, req *request, peer carry.Peer) (caller.Reply, carryOutcome) {
	if !req.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(2*responseMargin))
	defer cancel()
	r.metrics.increment("carry.sent")
	req.history = req.history.WithBegun()
	reply, err := r.callBulk(ctx, peer.Address, &wire.Call{Kind: &wire.Call_Carry{Carry: r.carryMessage(req)}})
	switch {
	case mesh.IsKind(err, mesh.ConnectionRefused), mesh.IsKind(err, mesh.NotSent), mesh.IsKind(err, mesh.Remote):
		r.declineCarrier(peer, err)
		req.history = req.history.WithEnded(proof.Unsent)
		return caller.Reply{}, carryUnavailable
	case err != nil || reply.Carry == nil:
		r.log.Info("carry: no reply", "id", req.id, "route", req.route.Name, "daemon", peer.Address, "left", time.Until(req.deadline).String(), "err", err)
		req.history = req.history.WithEnded(proof.None)
		req.attempts.sent++
		return caller.Reply{}, carryUnknown
	}
	return r.evaluateCarried(req, peer, reply.Carry)
}

// declineCarrier records that a daemon does not carry requests at present.
func (r *Router) declineCarrier(peer carry.Peer, err error) {
	r.log.Info("carry: daemon does not carry requests", "daemon", peer.Address, "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carriers.RecordAnswer(time.Now(), peer.Address, false)
}

// evaluateCarried handles the reply of another daemon: a server's response, or a refusal.
func (r *Router) evaluateCarried(req *request, peer carry.Peer, m *wire.CarryReply) (caller.Reply, carryOutcome) {
	req.attempts.sent += int(m.Sent)
	req.history = req.history.WithEnded(groundOfCarried(m))
	reason := m.Reason
	if !m.Refused {
		r.clearSuspect(req)
		r.memory.Hold(memory.Responses, largeOrNil(m.Body))
		if reply, ok := caller.NewResponse(int(m.Status), headerFromWire(m.Header), m.Body); ok {
			return reply, carryAnswered
		}
		reason = reasonUnproved
	}
	r.log.Info("carry: not served", "id", req.id, "route", req.route.Name, "daemon", peer.Address, "reason", reason, "status", m.Status, "maybeRan", !m.NotRun)
	if !m.NotRun {
		return r.giveUp(req, spread.Choice{}, reason, 0), carryAnswered
	}
	if slices.Contains(otherCarrierReasons, m.Reason) {
		return caller.Reply{}, carryUnavailable
	}
	return r.giveUp(req, spread.Choice{}, m.Reason, millis(m.BackMillis)), carryAnswered
}

// groundOfCarried returns what the reply of another daemon proves.
func groundOfCarried(m *wire.CarryReply) proof.Ground {
	if m.Refused && m.NotRun {
		return proof.Carrier
	}
	return proof.None
}

// otherCarrierReasons are the reasons of refusals that another daemon may not have: they are due to the
// daemon's own host, links or configuration.
var otherCarrierReasons = []string{reasonNotCarrying, reasonNoConfig, reasonNoRoute, reasonUnknownAPIKey, reasonConfigOutdated, reasonAllowanceUnknown, string(spread.ServerUnreachable), string(spread.ConnectionLimit), string(spread.DaemonStops)}

// carryMessage returns the message that asks another daemon to serve a request.
func (r *Router) carryMessage(req *request) *wire.Carry {
	m := &wire.Carry{Id: []byte(req.id), Method: []byte(req.Method), Host: []byte(req.Host), Target: []byte(req.RequestURI), Header: headerToWire(req.Header), Body: req.Body.Bytes(), Service: req.service.Name,
		ElapsedMillis: millisOf(time.Since(req.ReadAt)), LeftMillis: millisOf(time.Until(req.deadline) - carryTransitTime), Deferred: req.requirements.Deferred, Sent: uint32(req.attempts.sent)}
	if req.identity.hasKey {
		m.ApiKeyHash = req.identity.keyHash[:]
	}
	return m
}

func headerToWire(h http.Header) []*wire.HeaderField {
	var out []*wire.HeaderField
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.HeaderField{Name: []byte(name), Value: []byte(v)})
		}
	}
	return out
}

func headerFromWire(fields []*wire.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		name := string(f.Name)
		h[name] = append(h[name], string(f.Value))
	}
	return h
}

// largeOrNil returns a body if it is large enough to be counted, or else nil.
func largeOrNil(body []byte) []byte {
	if len(body) < memory.SmallBody {
		return nil
	}
	return body
}

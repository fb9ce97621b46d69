package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/proof"
	"catkinstep/core/request/sent"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// sentRetention is how long the IDs of deduplicated requests are kept. Servers keep them for
// the same time.
const sentRetention = 2 * time.Minute

// sentRecord records when a request was first sent. If the request may have run without a
// response, the record is shared with the other daemons.
type sentRecord struct {
	hash        uint64
	firstSentAt time.Time
}

// holderDeduplicates reports whether the holder of the request's key records its ID, so that
// it runs at most once.
func (r *Router) holderDeduplicates(req *request) bool {
	return !req.route.Idempotent && req.key >= 0 && r.protocol.Names().FirstSent != ""
}

// sentHash identifies a deduplicated request. All copies of the request share it.
func (req *request) sentHash() uint64 { return sent.Hash(req.service.Name, req.key, req.id) }

// wasSentBefore reports whether a deduplicated request was sent under its ID before and may
// have run.
func (r *Router) wasSentBefore(req *request) bool {
	if !r.holderDeduplicates(req) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentHistory.Has(req.sentHash())
}

// recordSent records that a request is about to be sent, and reports whether it was sent before.
// If so, it sets a header that tells the server how long ago the request was first sent. The
// caller may set the same header if it knows of an earlier time than the daemons do.
func (r *Router) recordSent(req *request) (sentRecord, bool) {
	now := time.Now()
	r.mu.Lock()
	firstSentAt, repeated := r.sentHistory.Record(now, req.sentHash())
	r.mu.Unlock()
	sinceFirst, name := now.Sub(firstSentAt), r.protocol.Names().FirstSent
	callerMillis, err := strconv.ParseInt(req.Header.Get(name), 10, 64)
	req.Header.Del(name)
	if err == nil {
		sinceFirst = max(sinceFirst, time.Duration(callerMillis)*time.Millisecond)
	}
	if repeated || err == nil {
		req.Header.Set(name, strconv.FormatInt(sinceFirst.Milliseconds()+1, 10))
	}
	return sentRecord{hash: req.sentHash(), firstSentAt: firstSentAt}, repeated
}

// sentOutcome is how an attempt of a deduplicated request ended.
type sentOutcome int

const (
	sentUnanswered sentOutcome = iota // it may have run, and its caller gets no server's response
	sentLost                          // the same, and its holder may be lost
	sentAnswered                      // its caller gets the server's response
	sentNotRun                        // it has not run and never will
)

// sentOutcomeOf returns how an attempt ended that was sent to a server.
func (r *Router) sentOutcomeOf(ctx context.Context, resp *link.Response, err error) sentOutcome {
	switch {
	case link.Ground(resp, err).Proves():
		return sentNotRun
	case link.KindOf(err) == link.ConnectionLost:
		return sentLost
	case err != nil || ctx.Err() != nil || !r.isPassedOn(resp):
		return sentUnanswered
	}
	return sentAnswered
}

// recordSentOutcome records how an attempt of a deduplicated request ended. If the request may
// have run without its caller getting the reply, the other daemons are informed: the caller
// may send it again through any of them, possibly after the holder was lost.
func (r *Router) recordSentOutcome(record sentRecord, repeated bool, outcome sentOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome == sentNotRun {
		if !repeated {
			r.sentHistory.Forget(record.hash)
		}
		return
	}
	// A concurrent copy that did not run may have removed the record.
	r.sentHistory.RecordAt(time.Now(), record.hash, record.firstSentAt)
	if outcome == sentAnswered {
		return
	}
	if !r.unansweredBuffer.add(time.Now(), record) {
		r.metrics.increment("sent.notPassedOn")
		return
	}
	if outcome == sentLost {
		go r.post(propagateMsg{}) // at once, as the holder may be lost; asynchronously, as the lock is held
	}
}

// recentUnanswered returns the recent requests that may have run without a response, for
// gossip.
func (r *Router) recentUnanswered() []*wire.Sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []*wire.Sent
	for _, record := range r.unansweredBuffer.list(now) {
		out = append(out, &wire.Sent{Id: record.hash, AgoMillis: uint32(now.Sub(record.firstSentAt).Milliseconds())})
	}
	return out
}

// mergeUnanswered records requests that other daemons sent and that may have run without a
// response, and adds the new ones to this daemon's gossip.
func (r *Router) mergeUnanswered(reported []*wire.Sent) {
	if len(reported) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range reported {
		firstSentAt := now.Add(-millis(s.AgoMillis))
		if r.sentHistory.RecordAt(now, s.Id, firstSentAt) && !r.unansweredBuffer.add(now, sentRecord{hash: s.Id, firstSentAt: firstSentAt}) {
			r.metrics.increment("sent.notPassedOn")
		}
	}
}

// replyOutcomeLost replies to a request that may have run at an earlier holder, which was lost.
// The new holder does not run it under this ID.
func (r *Router) replyOutcomeLost(req *request, server string) caller.Reply {
	r.metrics.increment("sent.lost")
	r.log.Info("request: given up, may have run", "id", req.id, "route", req.route.Name, "reason", reasonOutcomeLost, "service", req.service.Name, "key", req.key,
		"server", server, "firstSentMillis", req.Header.Get(r.protocol.Names().FirstSent))
	return *r.finalReply(req.id, http.StatusBadGateway, reasonOutcomeLost, proof.NotRun{})
}

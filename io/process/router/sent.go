package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/sent"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// keepSent is how long the ids of requests that must run once are remembered: as long as
// holders keep them.
const keepSent = 2 * time.Minute

// firstSent is an id that was sent and may have run, as other daemons learn of it.
type firstSent struct {
	hash uint64
	at   time.Time
}

// keepsIDs tells whether the holder of a request's key keeps its id.
func (r *Router) keepsIDs(o *order) bool {
	return !o.route.Idempotent && o.key >= 0 && r.protocol.Names().FirstSent != ""
}

// hash stands for a request that must run once, with all copies of it.
func (o *order) hash() uint64 { return sent.Hash(o.service.Name, o.key, o.id) }

// wasSent tells whether a request that must run once was sent under its id before, and may
// have run.
func (r *Router) wasSent(o *order) bool {
	if !r.keepsIDs(o) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.Has(o.hash())
}

// noteSent notes that a request is about to be sent, and tells its server when it first
// was. A caller may know of an earlier time than the daemons do.
func (r *Router) noteSent(o *order) (firstSent, bool) {
	now := time.Now()
	r.mu.Lock()
	first, again := r.sent.Record(now, o.hash())
	r.mu.Unlock()
	ago, name := now.Sub(first), r.protocol.Names().FirstSent
	ms, err := strconv.ParseInt(o.Header.Get(name), 10, 64)
	o.Header.Del(name)
	if err == nil {
		ago = max(ago, time.Duration(ms)*time.Millisecond)
	}
	if again || err == nil {
		o.Header.Set(name, strconv.FormatInt(ago.Milliseconds()+1, 10))
	}
	return firstSent{hash: o.hash(), at: first}, again
}

// noteEnd takes in how a request that must run once ended at its holder. The other daemons
// learn of one that may have run without its caller's knowing: it is sent again by any of
// them, perhaps after its holder was lost.
func (r *Router) noteEnd(ctx context.Context, f firstSent, again bool, a *link.Answer, err error) {
	notRun := err != nil && link.NotRun(err) || err == nil && a.NotRun
	unanswered := err != nil && !notRun || ctx.Err() != nil
	r.mu.Lock()
	defer r.mu.Unlock()
	if notRun {
		if !again {
			r.sent.Forget(f.hash)
		}
		return
	}
	// Another copy that did not run may have made it forgotten.
	r.sent.RecordAt(time.Now(), f.hash, f.at)
	if !unanswered {
		return
	}
	if !r.unansweredBuffer.add(time.Now(), f) {
		r.meters.add("sent.notPassedOn")
		return
	}
	if link.KindOf(err) == link.Unsure {
		go r.post(urgentChangeMsg{}) // not to wait under the lock; its holder may be lost
	}
}

// sentNews lists the ids that may have run without an answer lately.
func (r *Router) sentNews() []*wire.Sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []*wire.Sent
	for _, f := range r.unansweredBuffer.list(now) {
		out = append(out, &wire.Sent{Id: f.hash, AgoMillis: uint32(now.Sub(f.at).Milliseconds())})
	}
	return out
}

// heardOfSent takes in what another daemon sent without an answer, and passes on what is
// new.
func (r *Router) heardOfSent(news []*wire.Sent) {
	if len(news) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range news {
		at := now.Add(-millis(s.AgoMillis))
		if r.sent.RecordAt(now, s.Id, at) && !r.unansweredBuffer.add(now, firstSent{hash: s.Id, at: at}) {
			r.meters.add("sent.notPassedOn")
		}
	}
}

// outcomeLost answers a request that may have run at a holder which was lost. It will not
// run under this id.
func (r *Router) outcomeLost(o *order, server string) caller.Reply {
	r.meters.add("sent.lost")
	r.log.Info("request: given up, may have run", "id", o.id, "route", o.route.Name, "reason", reasonLost, "service", o.service.Name, "key", o.key,
		"server", server, "firstSentMillis", o.Header.Get(r.protocol.Names().FirstSent))
	return *r.plain(o.id, http.StatusBadGateway, reasonLost)
}

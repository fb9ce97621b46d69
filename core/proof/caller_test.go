package proof

import (
	"fmt"
	"slices"
	"time"

	"catkinstep/core/connection/queue"
	"catkinstep/core/connection/wire"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/shard"
	"catkinstep/io/standin/oracle"
)

// request is one request of a caller, with its resends.
type request struct {
	id       string
	key      string
	lookup   bool
	made     bool // the entry made its id, so there can be no other try
	resends  int  // sent again, whatever came, through other hosts
	pending  int
	code     string
	told     []string
	answered func(outcome string)
}

func (w *world) names() []string {
	var out []string
	for n := range w.plat.objects {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// callers makes a steady stream of requests until a time.
func (w *world) callers(end time.Time) {
	if w.now.After(end) {
		return
	}
	w.request(w.random.IntN(10) < 10-bookings, w.random.IntN(3)/2)
	w.after(w.between(5*time.Millisecond, 30*time.Millisecond), func() { w.callers(end) })
}

// request sends one request now, and its resends soon after.
func (w *world) request(lookup bool, resends int) *request {
	w.seq++
	r := &request{id: fmt.Sprintf("r%d", w.seq), key: fmt.Sprintf("/key%d", w.random.IntN(keyCount)), lookup: lookup, resends: resends}
	for try := range resends + 1 {
		r.pending++
		delay := time.Duration(0)
		if try > 0 {
			delay = w.between(0, 2500*time.Millisecond)
		}
		w.after(delay, func() { w.try(r, try == 0) })
	}
	return r
}

// try sends a request through a random host that runs. A broken connection
// tells the caller nothing.
func (w *world) try(r *request, first bool) {
	var alive []*host
	for _, a := range w.order {
		if w.daemons[a].alive {
			alive = append(alive, w.daemons[a])
		}
	}
	if len(alive) == 0 {
		w.tell(r, "unknown")
		return
	}
	h := alive[w.random.IntN(len(alive))]
	ended, began := false, w.now
	tell := func(a *wire.Answer) {
		if ended {
			return
		}
		ended = true
		a = retry.Final(a, first, false)
		w.follow(r.id, "try of %v is told %v %s by %s", began, a.Outcome, a.Code, h.self.Address)
		r.code = a.Code
		w.tell(r, map[wire.Outcome]string{wire.Outcome_OUTCOME_ANSWERED: "answered", wire.Outcome_OUTCOME_NOT_RUN: "notRun", wire.Outcome_OUTCOME_UNKNOWN: "unknown"}[a.Outcome])
	}
	w.after(8*time.Second, func() { tell(&wire.Answer{Outcome: wire.Outcome_OUTCOME_UNKNOWN}) })
	h.do(func() { h.attempt(r, first, began, false, tell) })
}

// attempt is an entry in short: the real one lives in io/request/entry.
func (h *host) attempt(r *request, first bool, began time.Time, maybeRan bool, tell func(*wire.Answer)) {
	w := h.w
	again := func(a *wire.Answer) {
		maybeRan = maybeRan || a.Outcome == wire.Outcome_OUTCOME_UNKNOWN
		if retry.Next(a, r.lookup) != retry.Stop && w.now.Sub(began) < 3*time.Second {
			w.after(15*time.Millisecond, func() { h.do(func() { h.attempt(r, first, began, maybeRan, tell) }) })
			return
		}
		tell(retry.Final(a, true, maybeRan))
	}
	if h.route == nil || !h.route.Ready {
		again(&wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: retry.NotReady})
		return
	}
	n := shard.Of(r.key, shardCount)
	to, err := h.route.Owner("k", n)
	if err != nil {
		again(&wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: retry.Moving})
		return
	}
	o := &wire.Order{Service: "k", Server: to.Server, Shard: n, Owned: true, Id: r.id, FreshId: r.made, Idempotent: r.lookup, Path: r.key, Token: to.Token}
	deadline := began.Add(4 * time.Second)
	if to.Local {
		h.submit(o, deadline, again)
		return
	}
	h.callFor(deadline.Sub(w.now), to.Dispatcher.Address, func(d *host, reply func(any)) {
		d.submit(o, deadline, func(a *wire.Answer) { reply(a) })
	}, func(v any, refused bool) {
		a, ok := v.(*wire.Answer)
		switch {
		case ok:
			again(a)
		case refused:
			again(&wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: retry.Unreachable})
		default:
			again(&wire.Answer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Code: retry.OutcomeLost})
		}
	})
}

func (h *host) submit(o *wire.Order, deadline time.Time, answer func(*wire.Answer)) {
	q := h.queues[o.Server]
	if q == nil {
		answer(&wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: retry.NotMine})
		return
	}
	t := h.route.Tables[h.place]
	source, _ := t.LedgerSource("k", o.Shard)
	w := h.w
	w.follow(o.Id, "is submitted at %s/%d to %s, table %d, dispatch %+v, source %+v, first %v", h.self.Address, h.self.Incarnation, o.Server, h.route.TableVersion, t.Dispatches[o.Server], source, o.FreshId)
	h.nextSeq++
	h.waiting[o.Server][h.nextSeq] = answer
	h.feed(o.Server, queue.SubmitMsg{Seq: h.nextSeq, Order: o, Deadline: deadline})
}

// tell notes what a caller was told. Each try's word must be true; the oracle
// hears of the request once all tries have one.
func (w *world) tell(r *request, outcome string) {
	r.told = append(r.told, outcome)
	r.pending--
	if r.answered != nil {
		r.answered(outcome)
	}
	if r.pending > 0 {
		return
	}
	final := r.told[0]
	if slices.ContainsFunc(r.told, func(s string) bool { return s != "notRun" }) {
		final = "unknown"
	}
	w.oracle.Told(oracle.Told{ID: r.id, Outcome: final})
}

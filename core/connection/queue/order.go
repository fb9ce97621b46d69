package queue

import (
	"errors"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/ledger"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
	"catkinstep/core/version/table"
)

func (q *Queue) submit(now time.Time, it *item) {
	o := it.order
	if q.route == nil {
		q.refuse(it, retry.NotReady, "no configuration yet")
		return
	}
	if err := q.route.MaySend(now, q.address, o.Service, o.Shard, o.Owned); err != nil {
		q.refuseErr(it, err)
		return
	}
	if o.Token != 0 && !q.tokens[o.Token] {
		// It was sent to this daemon's earlier time as dispatcher, and lay in a
		// buffer while another was: a later try may have run there meanwhile.
		q.refuse(it, retry.NotMine, "it was sent under another token")
		return
	}
	if !o.Idempotent && q.known(now, it) {
		return
	}
	switch q.server.state {
	case wire.ServerState_SERVER_STATE_GONE, wire.ServerState_SERVER_STATE_SILENT:
		q.refuse(it, retry.ServerDown, "the backend server does not answer")
		return
	case wire.ServerState_SERVER_STATE_LEAVING:
		q.refuse(it, retry.Out, "the backend server is leaving")
		return
	default:
	}
	if q.full(it) {
		q.refuse(it, retry.QueueFull, "too many orders wait for the backend server")
		return
	}
	if wait := q.expectedWait(); now.Add(wait).After(it.deadline) {
		q.refuse(it, retry.TooLate, "it could not be answered before its deadline")
		return
	}
	if !o.Idempotent {
		q.log(now, it)
	}
	if o.Owned {
		q.counts[o.Shard]++
	}
	q.waiting = append(q.waiting, it)
}

// known answers an order whose id has been seen, or cannot be judged.
func (q *Queue) known(now time.Time, it *item) bool {
	o := it.order
	found := q.book.Find(now, o.Shard, o.Id)
	switch {
	case found.State == ledger.Answered:
		a := *replay(found.Answer)
		q.do(AnswerCmd{Seq: it.seq, Answer: &a})
	case found.State == ledger.Begun:
		if q.inHand(o) {
			// The first try is still under way here: both get its answer.
			q.follow[o.Id] = append(q.follow[o.Id], it)
			return true
		}
		q.unknown(it, retry.OutcomeLost, "an earlier try was sent, and its outcome is not known")
	case found.State == ledger.Pending && !o.FreshId:
		q.refuse(it, retry.LedgerPending, "the ids of earlier requests are being fetched")
	case found.State == ledger.Lost && !o.FreshId:
		a := q.answer(wire.Outcome_OUTCOME_UNKNOWN, retry.LedgerLost, "the ids of earlier requests were lost; it may have run")
		a.RetryAfterMillis = found.Until.Sub(now).Milliseconds()
		q.do(AnswerCmd{Seq: it.seq, Answer: a})
	case q.book.Len() >= maxIDs:
		q.refuse(it, retry.LedgerFull, "too many ids are remembered")
	default:
		it.judged = found.State == ledger.Unseen
		return false
	}
	return true
}

func (q *Queue) inHand(o *wire.Order) bool {
	for _, it := range q.running {
		if it.order.Id == o.Id && !it.order.Idempotent {
			return true
		}
	}
	for _, it := range q.waiting {
		if it.order.Id == o.Id && !it.order.Idempotent {
			return true
		}
	}
	return false
}

// log notes an id here and at the backup. The order waits for the backup: an
// order written first would, if this daemon died, be run again by the next one.
func (q *Queue) log(now time.Time, it *item) {
	o := it.order
	begun := q.book.Begin(now, o.Shard, o.Id)
	it.logged = true
	if q.backup == (table.Daemon{}) || q.copied[o.Shard] == copyNone {
		return // it goes with the rest of its shard
	}
	it.copying = true
	id := q.id()
	q.copies[id] = &copying{item: it}
	q.do(CopyCmd{ID: id, To: q.backup, Token: q.token, Entries: []*wire.LedgerEntry{begun}})
}

// full bounds the queue, and the part of it that one shard may take, so that a
// hot key leaves room for the others.
func (q *Queue) full(it *item) bool {
	if len(q.waiting) >= q.bound {
		return true
	}
	if !it.order.Owned {
		return false
	}
	same := 0
	for _, w := range q.waiting {
		if w.order.Owned && w.order.Shard == it.order.Shard {
			same++
		}
	}
	return same >= max(4, q.bound*3/4)
}

func (q *Queue) expectedWait() time.Duration {
	return time.Duration(len(q.waiting)+len(q.running)) * q.limit.Latency() / time.Duration(max(1, q.limit.Allowed()))
}

// dispatch sends what the server bears, the oldest first.
func (q *Queue) dispatch(now time.Time) {
	if q.server.state != wire.ServerState_SERVER_STATE_OK || q.server.granted == 0 || !q.fencedOff(now) {
		return
	}
	kept := q.waiting[:0]
	for i, it := range q.waiting {
		if len(q.running)+q.server.ghosts >= q.limit.Allowed() {
			kept = append(kept, q.waiting[i:]...)
			break
		}
		if it.copying {
			kept = append(kept, it)
			continue
		}
		q.send(now, it)
	}
	q.waiting = kept
}

// fencedOff tells whether the slots are free of earlier dispatchers' orders.
func (q *Queue) fencedOff(now time.Time) bool {
	return !q.server.fenced.IsZero() && !now.Before(q.server.fenced)
}

func (q *Queue) send(now time.Time, it *item) {
	o := it.order
	if err := q.route.MaySend(now, q.address, o.Service, o.Shard, o.Owned); err != nil {
		q.drop(it)
		q.refuseErr(it, err)
		return
	}
	if q.suspects != nil && q.suspects.Refused(now, o.Fingerprint) {
		q.drop(it)
		q.refuse(it, retry.CrashSuspect, "backend servers were lost each time it ran")
		return
	}
	timeout := min(it.deadline.Sub(now), q.service.OrderDeadline)
	if end := q.route.LeaseEnd; !end.IsZero() {
		timeout = min(timeout, end.Sub(now))
	}
	if timeout <= 0 {
		q.drop(it)
		q.refuse(it, retry.DeadlineOver, "the deadline passed while it waited")
		return
	}
	it.sent = now
	it.notAfter = now.Add(timeout + clockMargin)
	q.running[it.seq] = it
	q.do(SendCmd{
		Seq: it.seq, Order: o, Token: q.server.granted, Incarnation: q.server.incarnation,
		NotAfter: q.server.clock + now.Sub(q.server.clockAt) + timeout, Timeout: timeout,
	})
}

func (q *Queue) answered(now time.Time, msg AnsweredMsg) {
	it, ok := q.running[msg.Seq]
	if !ok {
		return
	}
	delete(q.running, msg.Seq)
	q.server.heard = now
	q.limit = q.limit.WithAnswer(now, msg.Latency)
	msg.Answer.Outcome = wire.Outcome_OUTCOME_ANSWERED
	msg.Answer.Server = q.address
	msg.Answer.DataCentre = q.route.DataCentre
	msg.Answer.Waiting = uint32(len(q.waiting) + len(q.running))
	if it.logged {
		q.copyAnswer(it, q.book.Finish(now, it.order.Shard, it.order.Id, msg.Answer))
	}
	q.resolve(it, msg.Answer)
}

// copyAnswer lets the backup answer a try that comes after this daemon's loss.
// Nothing waits for it: without it, the backup knows that the id was begun.
func (q *Queue) copyAnswer(it *item, finished *wire.LedgerEntry) {
	if q.backup == (table.Daemon{}) || q.copied[it.order.Shard] == copyNone {
		return
	}
	q.do(CopyCmd{ID: q.id(), To: q.backup, Token: q.token, Entries: []*wire.LedgerEntry{finished}})
}

func (q *Queue) notRun(now time.Time, msg NotRunMsg) {
	it, ok := q.running[msg.Seq]
	if !ok {
		return
	}
	delete(q.running, msg.Seq)
	q.drop(it)
	switch msg.Code {
	case retry.Shed:
		q.limit = q.limit.WithShed(now)
	case retry.Fenced:
		q.server.granted = 0
		q.server.probed = time.Time{}
	}
	q.refuse(it, msg.Code, msg.Text)
}

// unsure keeps the shard settling until the order is surely over: by then the
// server has refused it, or ended it at its deadline.
func (q *Queue) unsure(now time.Time, msg UnsureMsg) {
	it, ok := q.running[msg.Seq]
	if !ok {
		return
	}
	delete(q.running, msg.Seq)
	q.server.dead = append(q.server.dead, it.order.Fingerprint)
	if n := len(q.server.dead); n > 64 {
		q.server.dead = q.server.dead[n-64:]
	}
	if q.server.state != wire.ServerState_SERVER_STATE_GONE {
		q.server.ghosts++
		if it.notAfter.After(q.idle) {
			q.idle = it.notAfter
		}
		if it.order.Owned && it.notAfter.After(q.settling[it.order.Shard]) {
			q.settling[it.order.Shard] = it.notAfter
		}
	}
	q.server.probed = time.Time{} // find out at once whether it still lives
	q.probe(now)
	q.resolve(it, q.answer(wire.Outcome_OUTCOME_UNKNOWN, msg.Code, msg.Text))
}

func (q *Queue) cancel(seq uint64) {
	if it, ok := q.running[seq]; ok {
		it.quit = true
		if it.order.Idempotent {
			q.do(AbortCmd{Seq: seq})
		}
		return
	}
	for i, it := range q.waiting {
		if it.seq == seq {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.drop(it)
			q.resolve(it, q.answer(wire.Outcome_OUTCOME_NOT_RUN, retry.DeadlineOver, "the caller has gone"))
			return
		}
	}
}

// drop forgets an id whose order was not run, here and at the backup: else the
// next dispatcher would find it begun, and tell the caller's next try that
// nobody knows.
func (q *Queue) drop(it *item) {
	if !it.logged {
		return
	}
	it.logged = false
	o := it.order
	forgotten := q.book.Forget(o.Shard, o.Id)
	if q.backup != (table.Daemon{}) && q.copied[o.Shard] != copyNone {
		q.do(CopyCmd{ID: q.id(), To: q.backup, Token: q.token, Entries: []*wire.LedgerEntry{forgotten}})
	}
}

func (q *Queue) refuseHeld(now time.Time) {
	q.refuseWaiting(func(it *item) bool {
		return q.route.MaySend(now, q.address, it.order.Service, it.order.Shard, it.order.Owned) != nil
	}, retry.Held, "it is being moved")
}

func (q *Queue) refuseWaiting(which func(*item) bool, code, text string) {
	kept := q.waiting[:0]
	for _, it := range q.waiting {
		if !which(it) {
			kept = append(kept, it)
			continue
		}
		q.drop(it)
		q.refuse(it, code, text)
	}
	q.waiting = kept
}

func (q *Queue) refuseErr(it *item, err error) {
	code := retry.Moving
	var e *route.Error
	if errors.As(err, &e) {
		code = string(e.Kind)
	}
	q.refuse(it, code, err.Error())
}

// refuse answers that the order did not run, with the time to come back.
func (q *Queue) refuse(it *item, code, text string) {
	a := q.answer(wire.Outcome_OUTCOME_NOT_RUN, code, text)
	a.Judged = it.judged
	a.RetryAfterMillis = max(50, q.expectedWait().Milliseconds())
	q.resolve(it, a)
}

func (q *Queue) unknown(it *item, code, text string) {
	q.do(AnswerCmd{Seq: it.seq, Answer: q.answer(wire.Outcome_OUTCOME_UNKNOWN, code, text)})
}

// resolve answers an order and all that follow it.
func (q *Queue) resolve(it *item, a *wire.Answer) {
	q.do(AnswerCmd{Seq: it.seq, Answer: a})
	if it.order.Idempotent {
		return
	}
	for _, f := range q.follow[it.order.Id] {
		q.do(AnswerCmd{Seq: f.seq, Answer: replay(a)})
	}
	delete(q.follow, it.order.Id)
}

func (q *Queue) answer(o wire.Outcome, code, text string) *wire.Answer {
	a := &wire.Answer{Outcome: o, Code: code, Reason: text, Server: q.address, Waiting: uint32(len(q.waiting))}
	if q.route != nil {
		a.DataCentre = q.route.DataCentre
	}
	return a
}

func replay(a *wire.Answer) *wire.Answer {
	return &wire.Answer{
		Outcome: a.Outcome, Status: a.Status, Headers: a.Headers, Body: a.Body, Code: a.Code, Reason: a.Reason,
		RetryAfterMillis: a.RetryAfterMillis, Server: a.Server, DataCentre: a.DataCentre, Replayed: true,
	}
}

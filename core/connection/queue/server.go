package queue

import (
	"slices"
	"time"

	"catkinstep/core/connection/limit"
	"catkinstep/core/connection/wire"
	"catkinstep/core/request/ledger"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/table"
)

// adopt takes in a new snapshot: another token, other shards, other limits.
func (q *Queue) adopt(now time.Time, r *route.Route) {
	first := q.route == nil
	q.route = r
	for _, d := range r.Site.DataCentres {
		for _, v := range d.Servers {
			if v.Address == q.address {
				q.service, _ = r.Site.Service(v.Service)
			}
		}
	}
	if first {
		q.limit = limit.New(max(1, q.service.Slots))
		q.book = ledger.New(q.service.RememberIDs)
		q.server.heard = now
	}
	q.limit = q.limit.WithSlots(max(1, q.service.Slots))
	q.bound = r.Site.Preset().Queue
	d := r.Tables[r.DataCentre].Dispatches[q.address]
	if d.Daemon == r.Self && d.Token != q.token {
		q.adoptToken(now, d)
	}
	q.adoptShards()
	q.refuseHeld(now)
	q.tick(now)
}

// adoptToken begins to use another token. When it follows on the one in use,
// only the backup has changed and all goes on; else another daemon was the
// dispatcher in between, and what was known of the server is worth nothing.
func (q *Queue) adoptToken(now time.Time, d table.Dispatch) {
	if q.token != 0 && d.Before != q.token {
		q.old = append(q.old, archive{tokens: q.tokens, book: q.book, at: now})
		q.tokens = map[uint64]bool{}
		q.book = ledger.New(q.service.RememberIDs)
		q.server = server{heard: now}
		q.limit = limit.New(max(1, q.service.Slots))
		clear(q.epochs)
		clear(q.pullEnd)
		clear(q.pulls)
		clear(q.sources)
	}
	q.token, q.backup = d.Token, d.Backup
	q.tokens[q.token] = true
	q.server.probed = time.Time{}
	q.copyAt = time.Time{}
	clear(q.copied)
	for _, c := range q.copies {
		if c.item != nil {
			c.item.copying = false // the new backup gets it with its shard
		}
	}
	clear(q.copies)
	for len(q.old) > 0 && now.Sub(q.old[0].at) > q.service.RememberIDs {
		q.old = q.old[1:]
	}
}

// adoptShards settles what the book can know of each shard that is new here.
// Shards that have gone keep their ids until the dispatcher is dropped, since
// their next one asks for them.
func (q *Queue) adoptShards() {
	t := q.route.Tables[q.route.DataCentre]
	row := t.Rows[q.service.Name]
	for s := range row.Owner {
		n := uint32(s)
		if owner, ok := t.Owner(q.service.Name, n); !ok || owner != q.address {
			continue
		}
		if q.epochs[n] != row.Epoch[s] {
			// It came, or went and came back: what was kept is of before.
			q.book.Drop(n)
			q.epochs[n] = row.Epoch[s]
			delete(q.copied, n)
			delete(q.pullEnd, n)
			delete(q.sources, n)
		}
		if q.book.Known(n) {
			continue
		}
		if _, ok := q.sources[n]; ok {
			continue // still to be fetched from there, whatever backups came since
		}
		from, was := t.LedgerSource(q.service.Name, n)
		if from == (shard.Ledger{}) {
			q.book.Cover(n, row.Epoch[s])
			continue
		}
		q.sources[n] = source{from: from, was: was}
	}
}

func (q *Queue) probe(now time.Time) {
	s := &q.server
	every := probeEvery
	if s.ghosts > 0 {
		every = ghostEvery
	}
	if s.probing || now.Sub(s.probed) < every || !q.mine() {
		return
	}
	s.probing, s.probed = true, now
	q.do(GrantCmd{Token: q.token})
}

func (q *Queue) mine() bool {
	return q.route != nil && q.route.Tables[q.route.DataCentre].Dispatches[q.address].Daemon == q.route.Self
}

func (q *Queue) grantTaken(now time.Time, msg GrantedMsg) {
	s := &q.server
	s.probing = false
	s.heard = now
	if s.incarnation != 0 && s.incarnation != msg.Incarnation {
		q.restarted(now)
	}
	s.incarnation = msg.Incarnation
	s.clock, s.clockAt = msg.Clock, now
	s.ghosts = min(s.ghosts, max(0, msg.Running-len(q.running)))
	if msg.Token >= s.granted {
		s.granted = msg.Token
	}
	// What earlier dispatchers sent before the server took our token may still
	// run, at most for one order's deadline.
	switch {
	case msg.Others == 0:
		s.fenced = earlier(s.fenced, now)
	case s.fenced.IsZero():
		s.fenced = now.Add(q.service.OrderDeadline + clockMargin)
	}
	s.state = wire.ServerState_SERVER_STATE_OK
	if msg.Leaving {
		s.state = wire.ServerState_SERVER_STATE_LEAVING
		q.refuseWaiting(func(*item) bool { return true }, retry.Out, "the backend server is leaving")
	}
	q.fetch(now)
}

// restarted notes a new process at the server's address. The old one has
// ended, and all that ran there with it; the new one has nothing yet.
func (q *Queue) restarted(now time.Time) {
	s := &q.server
	q.blame()
	s.granted = 0
	s.fenced = now
	s.ghosts = 0
	clear(q.settling)
	q.idle = time.Time{}
	q.limit = q.limit.WithRestart(now)
}

// blame reports the requests that ran when the server was lost.
func (q *Queue) blame() {
	for _, it := range q.running {
		q.server.dead = append(q.server.dead, it.order.Fingerprint)
	}
	for _, f := range q.server.dead {
		q.do(LostCmd{Fingerprint: f, Server: q.address})
	}
	q.server.dead = nil
}

// grantRefused means that a later dispatcher has taken over. Nothing of ours
// that was not written yet may be written.
func (q *Queue) grantRefused(now time.Time, msg GrantRefusedMsg) {
	s := &q.server
	s.probing = false
	s.heard = now
	if msg.Token != q.token {
		return
	}
	s.granted = 0
	s.state = wire.ServerState_SERVER_STATE_STARTING
	q.refuseWaiting(func(*item) bool { return true }, retry.Fenced, "a later dispatcher has taken over")
}

func (q *Queue) grantFailed(now time.Time, msg GrantFailedMsg) {
	s := &q.server
	s.probing = false
	if !msg.Refused {
		return
	}
	// The address refuses connections: the process that listened has ended, so
	// nothing that it was given can run any more.
	if s.state != wire.ServerState_SERVER_STATE_GONE {
		q.blame()
	}
	s.state = wire.ServerState_SERVER_STATE_GONE
	s.granted = 0
	s.fenced = now
	s.ghosts = 0
	clear(q.settling)
	q.idle = time.Time{}
	q.refuseWaiting(func(*item) bool { return true }, retry.ServerDown, "the backend server refuses connections")
}

// quieten tells what part of a hold has stopped, as soon as there is more of it:
// a shard need not wait for the long order of another.
func (q *Queue) quieten(now time.Time) {
	h, ok := q.route.Holds[q.address]
	if !ok || !q.mine() {
		return
	}
	s := &q.server
	if s.fenced.IsZero() || now.Before(s.fenced) {
		return // an earlier dispatcher's orders may still run
	}
	if h.Number != q.quiet.number {
		q.quiet = quieted{number: h.Number}
	}
	all := h.All && q.Idle(now) && q.allKnown()
	var shards []uint32
	for n := range h.Shards {
		// Ids that are still being fetched would be missing from what the next
		// dispatcher gets from here, and it could not know.
		if !q.busy(now, n) && q.book.Known(n) {
			shards = append(shards, n)
		}
	}
	if all == q.quiet.all && len(shards) == q.quiet.shards {
		return
	}
	q.quiet.all, q.quiet.shards = all, len(shards)
	slices.Sort(shards)
	q.do(QuietCmd{Server: q.address, Number: h.Number, All: all, Shards: shards})
}

// busy tells whether an order for a shard runs, or may still run.
func (q *Queue) busy(now time.Time, s uint32) bool {
	if until, ok := q.settling[s]; ok && now.Before(until) {
		return true
	}
	for _, it := range q.running {
		if it.order.Owned && it.order.Shard == s {
			return true
		}
	}
	return false
}

// copyShards gives the backup all ids of the shards that it has not had yet.
// Ids of those that it has had are copied one by one, each before its order is
// written.
func (q *Queue) copyShards(now time.Time) {
	if q.backup == (table.Daemon{}) || now.Sub(q.copyAt) < copyEvery || !q.mine() {
		return
	}
	for _, c := range q.copies {
		if c.shards != nil {
			return // one is under way
		}
	}
	var entries []*wire.LedgerEntry
	var shards []*wire.Shard
	for _, s := range q.book.CoveredShards() {
		if q.copied[s.Shard] == copyDone || len(entries) >= copyAtOnce {
			continue
		}
		q.copied[s.Shard] = copySent
		shards = append(shards, s)
		entries = append(entries, q.book.Entries(now, []uint32{s.Shard})...)
	}
	if len(shards) == 0 {
		return
	}
	q.copyAt = now
	id := q.id()
	q.copies[id] = &copying{shards: shards}
	q.do(CopyCmd{ID: id, To: q.backup, Token: q.token, Whole: true, Entries: entries, Covered: shards})
}

// allKnown tells whether the book is settled for all shards of the server.
func (q *Queue) allKnown() bool {
	t := q.route.Tables[q.route.DataCentre]
	for s := range t.Rows[q.service.Name].Owner {
		if owner, ok := t.Owner(q.service.Name, uint32(s)); ok && owner == q.address && !q.book.Known(uint32(s)) {
			return false
		}
	}
	return true
}

func (q *Queue) copyEnded(msg CopiedMsg) {
	c, ok := q.copies[msg.ID]
	if !ok {
		return
	}
	delete(q.copies, msg.ID)
	if msg.OK {
		for _, s := range c.shards {
			if q.epochs[s.Shard] == s.Epoch {
				q.copied[s.Shard] = copyDone
			}
		}
	}
	if c.item == nil {
		return
	}
	c.item.copying = false
	if !msg.OK {
		q.waiting = slices.DeleteFunc(q.waiting, func(it *item) bool { return it == c.item })
		q.drop(c.item)
		q.refuse(c.item, retry.BackupSilent, "the backup of the id ledger does not answer")
	}
}

// fetch asks for the ids of shards that came from elsewhere. Only once the
// server has taken our token: an earlier dispatcher can send nothing more
// then, so that no id begins after we have asked. A server whose process has
// ended takes nothing from anybody; without the ids its shards could not be
// handed on, and would wait for its return.
func (q *Queue) fetch(now time.Time) {
	fenced := q.server.granted == q.token || q.server.state == wire.ServerState_SERVER_STATE_GONE
	if !fenced || !q.mine() {
		return
	}
	again := now.Sub(q.pullAt) >= pullEvery
	asked := map[uint32]bool{}
	for _, p := range q.pulls {
		for _, s := range p.shards {
			asked[s.Shard] = true
		}
	}
	t := q.route.Tables[q.route.DataCentre]
	var order []pull
	for s := range t.Rows[q.service.Name].Owner {
		n := uint32(s)
		if owner, ok := t.Owner(q.service.Name, n); !ok || owner != q.address || q.book.Covered(n) || asked[n] {
			continue
		}
		if q.book.Known(n) && now.Sub(q.lostAt) < lostEvery {
			continue // given up for now; who has the ids may only be paused
		}
		src, ok := q.sources[n]
		if !ok {
			continue
		}
		if q.pullEnd[n].IsZero() {
			q.pullEnd[n] = now.Add(pullFor)
		} else if !again {
			continue
		}
		at := -1
		for i := range order {
			if order[i].from == src.from {
				at = i
			}
		}
		if at < 0 {
			order = append(order, pull{from: src.from})
			at = len(order) - 1
		}
		order[at].shards = append(order[at].shards, &wire.Shard{Shard: n, Epoch: src.was})
	}
	if len(order) > 0 {
		q.lostAt = now
	}
	for _, p := range order {
		id := q.id()
		q.pulls[id] = p
		q.pullAt = now
		q.do(PullCmd{ID: id, From: p.from, Shards: p.shards})
	}
}

func (q *Queue) pulled(now time.Time, msg PulledMsg) {
	p, ok := q.pulls[msg.ID]
	if !ok {
		return
	}
	delete(q.pulls, msg.ID)
	q.book.Take(now, msg.Entries)
	for _, s := range p.shards {
		// The shard may have gone and come back since it was asked for.
		if q.sources[s.Shard] != (source{from: p.from, was: s.Epoch}) {
			continue
		}
		if slices.Contains(msg.Covered, s.Shard) {
			q.book.Cover(s.Shard, q.epochs[s.Shard])
			delete(q.pullEnd, s.Shard)
			delete(q.sources, s.Shard)
		}
		if end, ok := q.pullEnd[s.Shard]; ok && !q.book.Known(s.Shard) && !now.Before(end) {
			q.book.Lose(now, s.Shard, q.epochs[s.Shard])
			delete(q.pullEnd, s.Shard)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

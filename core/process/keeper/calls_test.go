package keeper

import (
	"time"

	"catkinstep/core/version/grant"
)

// find returns the life that answers at a server's address now.
func (w *world) find(address string) *server {
	for i := len(w.servers) - 1; i >= 0; i-- {
		if w.servers[i].Address == address && w.servers[i].alive {
			return w.servers[i]
		}
	}
	return nil
}

// reach decides what becomes of a call before it arrives. A cut may swallow it,
// or refuse the connection although the server lives.
func (w *world) reach(d *daemon, life uint64, address string, before time.Time) (v *server, r grant.Result) {
	if w.now.Before(d.frozen) || d.life != life || !w.now.Before(before) {
		return nil, grant.NotSent
	}
	v = w.find(address)
	if w.now.Before(d.blocked[address]) || v == nil {
		if w.chance(0.5) {
			return nil, grant.NotSent
		}
		return nil, grant.Unsure
	}
	return v, grant.Done
}

func (w *world) grant(d *daemon, life uint64, c GrantCmd) {
	if w.now.Before(d.frozen) && d.life == life {
		w.after(d.frozen.Sub(w.now)+worldStep, func() { w.grant(d, life, c) })
		return
	}
	v, r := w.reach(d, life, c.Address, c.Before)
	if v == nil {
		wait := time.Duration(0)
		if r == grant.Unsure {
			wait = w.span(100*time.Millisecond, grantTime)
		}
		w.after(wait, func() { w.send(d, life, GrantedMsg{Cmd: c, At: w.now, Result: r}) })
		return
	}
	if v.StartMillis != c.Holder.StartMillis && c.Renewal {
		w.send(d, life, GrantedMsg{Cmd: c, At: w.now, Result: grant.NotSent})
		return
	}
	arrived := w.now
	if w.chance(0.03) { // carried out late, and not answered
		w.after(w.span(0, 5*time.Second), func() { w.apply(v, c, arrived) })
		w.after(w.span(50*time.Millisecond, grantTime), func() { w.send(d, life, GrantedMsg{Cmd: c, At: w.now, Result: grant.Unsure}) })
		return
	}
	r = w.apply(v, c, arrived)
	if w.chance(0.03) {
		w.after(w.span(50*time.Millisecond, grantTime), func() { w.send(d, life, GrantedMsg{Cmd: c, At: w.now, Result: grant.Unsure}) })
		return
	}
	w.after(w.span(0, 20*time.Millisecond), func() { w.send(d, life, GrantedMsg{Cmd: c, At: w.now, Result: r}) })
}

func (w *world) apply(v *server, c GrantCmd, arrived time.Time) grant.Result {
	if !v.alive {
		return grant.Unsure
	}
	from, to := Bucket(c.From), Bucket(c.To)
	for b := from; b <= to; b++ {
		if v.fence[b] > c.Fence {
			return grant.Fenced
		}
	}
	for b := from; b <= to; b++ {
		v.fence[b] = c.Fence
		if until := arrived.Add(time.Duration(float64(c.Hold) * v.slow)); until.After(v.until[b]) {
			v.until[b] = until
		}
	}
	return grant.Done
}

func (w *world) release(d *daemon, life uint64, c ReleaseCmd) {
	v, r := w.reach(d, life, c.Address, c.Before)
	if v == nil {
		w.after(100*time.Millisecond, func() { w.send(d, life, ReleasedMsg{Cmd: c, Result: r}) })
		return
	}
	done := w.now
	for b := Bucket(c.From); b <= Bucket(c.To); b++ {
		v.fence[b] = max(v.fence[b], c.Fence)
		if v.until[b].After(w.now) {
			v.work[b] = w.now.Add(w.span(0, 300*time.Millisecond))
		}
		v.until[b] = time.Time{}
		if v.work[b].After(done) {
			done = v.work[b]
		}
	}
	r = grant.Done
	if w.chance(0.05) {
		r = grant.Unsure
	}
	w.after(done.Sub(w.now)+worldStep, func() { w.send(d, life, ReleasedMsg{Cmd: c, Result: r, Handover: "h"}) })
}

// write makes a conditional update of the stored table.
func (w *world) write(t grant.Table, revision uint64) bool {
	if revision != w.stored {
		return false
	}
	w.table = t
	w.stored++
	return true
}

func (w *world) save(d *daemon, life uint64, c SaveCmd) {
	asked := w.now
	if w.now.Before(d.blind) {
		w.send(d, life, UnstoredMsg{})
		return
	}
	if w.chance(0.05) { // no answer: not done, done, or done late
		switch w.random.IntN(3) {
		case 0:
			w.write(c.Table, c.Revision)
		case 1:
			w.after(w.span(0, 5*time.Second), func() { w.write(c.Table, c.Revision) })
		}
		w.after(200*time.Millisecond, func() { w.send(d, life, UnstoredMsg{}) })
		return
	}
	w.write(c.Table, c.Revision)
	w.send(d, life, StoredMsg{Table: w.table, Revision: w.stored, Asked: asked})
}

func (w *world) read(d *daemon, life uint64) {
	if w.now.Before(d.blind) || w.chance(0.05) {
		w.after(200*time.Millisecond, func() { w.send(d, life, UnstoredMsg{}) })
		return
	}
	w.send(d, life, StoredMsg{Table: w.table, Revision: w.stored, Asked: w.now})
}

// mayTry lets daemons take the lead at bad moments: sometimes for no reason,
// and always when nobody leads.
func (w *world) mayTry(d *daemon) bool {
	if w.now.Before(d.blind) {
		return false
	}
	if w.chance(0.0005) {
		return true
	}
	for _, o := range w.daemons {
		if o.keeper != nil && !w.now.Before(o.frozen) {
			return false
		}
	}
	return w.now.UnixMilli()%1000 == int64(d.life*10)%1000
}

func (w *world) takeLead(d *daemon) {
	next := w.table
	if w.chance(0.7) || w.calm {
		next = next.WithCompletedMoves(w.published)
	}
	next.Epoch, next.Seq = next.Epoch+1, next.Seq+1
	next.Leader = grant.Leader{Daemon: d.name, Incarnation: d.life}
	before := w.table.Leader
	if !w.write(next, w.stored) {
		return
	}
	w.say("%s leads with epoch %d", d.name, next.Epoch)
	d.before = before
	d.keeper = New(w.now, next, w.stored, WithHold(worldHold), WithLeaderLease(worldRight))
}

// faults draws what goes wrong in this step.
func (w *world) faults() {
	if w.calm {
		return
	}
	d := w.daemons[w.random.IntN(len(w.daemons))]
	v := w.servers[w.random.IntN(len(w.servers))]
	switch n := w.random.IntN(3000); {
	case n < 2:
		d.frozen = w.now.Add(w.span(time.Second, 9*time.Second))
		w.say("%s is frozen until %v", d.name, d.frozen.Sub(time.Unix(1000, 0)))
	case n < 4:
		w.say("%s is killed", d.name)
		d.life++
		d.keeper, d.inbox = nil, nil
	case n < 10:
		d.blocked[v.Address] = w.now.Add(w.span(time.Second, 6*time.Second))
		w.say("%s does not reach %s until %v", d.name, v.Address, d.blocked[v.Address].Sub(time.Unix(1000, 0)))
	case n < 13:
		d.blind = w.now.Add(w.span(time.Second, 8*time.Second))
		w.say("%s does not reach the store until %v", d.name, d.blind.Sub(time.Unix(1000, 0)))
	case n < 15:
		w.end(v)
	case n < 17 && v.alive:
		v.Draining = true
		w.say("%s drains", v.ID)
		w.after(w.span(2*time.Second, 8*time.Second), func() { w.end(v) })
	}
}

// end kills a life; another follows under the same id, or its entry goes.
func (w *world) end(v *server) {
	if !v.alive {
		return
	}
	v.alive = false
	w.say("%s has ended", v.ID)
	w.after(w.span(100*time.Millisecond, 5*time.Second), func() {
		v.listed = false
		w.birth(v.ID)
	})
}

package keeper

import (
	"time"

	"catkinstep/core/version/grant"
)

// serverAt returns the server instance that answers at an address now, or nil.
func (s *simulation) serverAt(address string) *server {
	for i := len(s.servers) - 1; i >= 0; i-- {
		if s.servers[i].Address == address && s.servers[i].alive {
			return s.servers[i]
		}
	}
	return nil
}

// deliver decides whether a call reaches its server. If not, the call is lost or the
// connection refused, although the server may be alive.
func (s *simulation) deliver(d *daemon, incarnation uint64, address string, before time.Time) (v *server, r grant.Result) {
	if s.now.Before(d.frozenUntil) || d.incarnation != incarnation || !s.now.Before(before) {
		return nil, grant.NotSent
	}
	v = s.serverAt(address)
	if s.now.Before(d.unreachableUntil[address]) || v == nil {
		if s.chance(0.5) {
			return nil, grant.NotSent
		}
		return nil, grant.OutcomeUnknown
	}
	return v, grant.Done
}

func (s *simulation) grant(d *daemon, incarnation uint64, c GrantCmd) {
	if s.now.Before(d.frozenUntil) && d.incarnation == incarnation {
		s.after(d.frozenUntil.Sub(s.now)+simStep, func() { s.grant(d, incarnation, c) })
		return
	}
	v, r := s.deliver(d, incarnation, c.Address, c.SendBefore)
	if v == nil {
		wait := time.Duration(0)
		if r == grant.OutcomeUnknown {
			wait = s.randomDuration(100*time.Millisecond, maxGrantCall)
		}
		s.after(wait, func() { s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: r}) })
		return
	}
	if v.StartMillis != c.Holder.StartMillis && c.Renewal {
		s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: grant.NotSent})
		return
	}
	arrived := s.now
	if s.chance(0.03) { // applied late, and not answered
		s.after(s.randomDuration(0, 5*time.Second), func() { s.applyGrant(v, c, arrived) })
		s.after(s.randomDuration(50*time.Millisecond, maxGrantCall), func() { s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: grant.OutcomeUnknown}) })
		return
	}
	r = s.applyGrant(v, c, arrived)
	if s.chance(0.03) {
		s.after(s.randomDuration(50*time.Millisecond, maxGrantCall), func() { s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: grant.OutcomeUnknown}) })
		return
	}
	s.after(s.randomDuration(0, 20*time.Millisecond), func() { s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: r}) })
}

func (s *simulation) applyGrant(v *server, c GrantCmd, arrived time.Time) grant.Result {
	if !v.alive {
		return grant.OutcomeUnknown
	}
	from, to := Bucket(c.From), Bucket(c.To)
	for b := from; b <= to; b++ {
		if v.fences[b] > c.Fence {
			return grant.Fenced
		}
	}
	for b := from; b <= to; b++ {
		v.fences[b] = c.Fence
		if expiresAt := arrived.Add(time.Duration(float64(c.TTL) * v.clockRatio)); expiresAt.After(v.expiresAt[b]) {
			v.expiresAt[b] = expiresAt
		}
	}
	return grant.Done
}

func (s *simulation) release(d *daemon, incarnation uint64, c ReleaseCmd) {
	v, r := s.deliver(d, incarnation, c.Address, c.SendBefore)
	if v == nil {
		s.after(100*time.Millisecond, func() { s.send(d, incarnation, ReleaseResultMsg{Cmd: c, Result: r}) })
		return
	}
	done := s.now
	for b := Bucket(c.From); b <= Bucket(c.To); b++ {
		v.fences[b] = max(v.fences[b], c.Fence)
		if v.expiresAt[b].After(s.now) {
			v.workEndsAt[b] = s.now.Add(s.randomDuration(0, 300*time.Millisecond))
		}
		v.expiresAt[b] = time.Time{}
		if v.workEndsAt[b].After(done) {
			done = v.workEndsAt[b]
		}
	}
	r = grant.Done
	if s.chance(0.05) {
		r = grant.OutcomeUnknown
	}
	s.after(done.Sub(s.now)+simStep, func() { s.send(d, incarnation, ReleaseResultMsg{Cmd: c, Result: r, Handover: "h"}) })
}

// write updates the stored table if it still has the given revision.
func (s *simulation) write(t grant.Table, revision uint64) bool {
	if revision != s.storeRevision {
		return false
	}
	s.table = t
	s.storeRevision++
	return true
}

func (s *simulation) save(d *daemon, incarnation uint64, c SaveCmd) {
	asked := s.now
	if s.now.Before(d.storeUnreachableUntil) {
		s.send(d, incarnation, StoreFailedMsg{})
		return
	}
	if s.chance(0.05) { // no answer: not written, written, or written late
		switch s.rng.IntN(3) {
		case 0:
			s.write(c.Table, c.Revision)
		case 1:
			s.after(s.randomDuration(0, 5*time.Second), func() { s.write(c.Table, c.Revision) })
		}
		s.after(200*time.Millisecond, func() { s.send(d, incarnation, StoreFailedMsg{}) })
		return
	}
	s.write(c.Table, c.Revision)
	s.send(d, incarnation, StoredTableMsg{Table: s.table, Revision: s.storeRevision, RequestedAt: asked})
}

func (s *simulation) read(d *daemon, incarnation uint64) {
	if s.now.Before(d.storeUnreachableUntil) || s.chance(0.05) {
		s.after(200*time.Millisecond, func() { s.send(d, incarnation, StoreFailedMsg{}) })
		return
	}
	s.send(d, incarnation, StoredTableMsg{Table: s.table, Revision: s.storeRevision, RequestedAt: s.now})
}

// mayTakeLead reports whether a daemon tries to take the lead: once a second when no daemon
// leads, and sometimes at random while another one does.
func (s *simulation) mayTakeLead(d *daemon) bool {
	if s.now.Before(d.storeUnreachableUntil) {
		return false
	}
	if s.chance(0.0005) {
		return true
	}
	for _, o := range s.daemons {
		if o.keeper != nil && !s.now.Before(o.frozenUntil) {
			return false
		}
	}
	return s.now.UnixMilli()%1000 == int64(d.incarnation*10)%1000
}

func (s *simulation) takeLead(d *daemon) {
	next := s.table
	if s.chance(0.7) || s.faultFree {
		next = next.WithCompletedMoves(s.published)
	}
	next.Epoch, next.Seq = next.Epoch+1, next.Seq+1
	next.Leader = grant.Leader{Daemon: d.name, Incarnation: d.incarnation}
	predecessor := s.table.Leader
	if !s.write(next, s.storeRevision) {
		return
	}
	s.logf("%s leads with epoch %d", d.name, next.Epoch)
	d.predecessor = predecessor
	d.keeper = New(s.now, next, s.storeRevision, WithGrantTTL(simGrantTTL), WithLeaderLease(simLeaderLease))
}

// injectFaults draws the faults of this step.
func (s *simulation) injectFaults() {
	if s.faultFree {
		return
	}
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	v := s.servers[s.rng.IntN(len(s.servers))]
	switch n := s.rng.IntN(3000); {
	case n < 2:
		d.frozenUntil = s.now.Add(s.randomDuration(time.Second, 9*time.Second))
		s.logf("%s is frozen until %v", d.name, d.frozenUntil.Sub(time.Unix(1000, 0)))
	case n < 4:
		s.logf("%s is killed", d.name)
		d.incarnation++
		d.keeper, d.inbox = nil, nil
	case n < 10:
		d.unreachableUntil[v.Address] = s.now.Add(s.randomDuration(time.Second, 6*time.Second))
		s.logf("%s does not reach %s until %v", d.name, v.Address, d.unreachableUntil[v.Address].Sub(time.Unix(1000, 0)))
	case n < 13:
		d.storeUnreachableUntil = s.now.Add(s.randomDuration(time.Second, 8*time.Second))
		s.logf("%s does not reach the store until %v", d.name, d.storeUnreachableUntil.Sub(time.Unix(1000, 0)))
	case n < 15:
		s.endServer(v)
	case n < 17 && v.alive:
		v.Draining = true
		s.logf("%s is draining", v.ID)
		s.after(s.randomDuration(2*time.Second, 8*time.Second), func() { s.endServer(v) })
	}
}

// endServer kills a server instance. A new one with the same ID replaces it after a while.
func (s *simulation) endServer(v *server) {
	if !v.alive {
		return
	}
	v.alive = false
	s.logf("%s has ended", v.ID)
	s.after(s.randomDuration(100*time.Millisecond, 5*time.Second), func() {
		v.listed = false
		s.startServer(v.ID)
	})
}

package keeper

import (
	"slices"
	"time"

	"catkinstep/core/version/grant"
)

// serverAt returns the server instance that answers at an address now, or nil.
func (s *simulation) serverAt(address string) *server {
	for i := len(s.servers) - 1; i >= 0; i-- {
		if s.servers[i].Address == address && s.servers[i].running {
			return s.servers[i]
		}
	}
	return nil
}

// findReachable returns the server instance that a call reaches, with r set to Done. If the call
// reaches none, srv is nil and r is the result for the daemon: NotSent if the daemon is suspended,
// has been restarted, or is too late to send the call; otherwise, at random, NotSent for a refused
// connection or OutcomeUnknown for a dropped call.
func (s *simulation) findReachable(d *daemon, incarnation uint64, address string, sendBefore time.Time) (srv *server, r grant.Result) {
	if s.now.Before(d.suspendedUntil) || d.incarnation != incarnation || !s.now.Before(sendBefore) {
		return nil, grant.NotSent
	}
	srv = s.serverAt(address)
	if s.now.Before(d.unreachableUntil[address]) || srv == nil {
		if s.chance(0.5) {
			return nil, grant.NotSent
		}
		return nil, grant.OutcomeUnknown
	}
	return srv, grant.Done
}

// deliverGrant simulates a grant call. If the daemon is suspended, the call goes on after the
// suspension, as a process does that was stopped between its decision and its send: it may then be
// too late to send the grant.
func (s *simulation) deliverGrant(d *daemon, incarnation uint64, c GrantCmd) {
	if s.now.Before(d.suspendedUntil) && d.incarnation == incarnation {
		s.after(d.suspendedUntil.Sub(s.now)+simStep, func() { s.deliverGrant(d, incarnation, c) })
		return
	}
	srv, r := s.findReachable(d, incarnation, c.Address, c.SendBefore)
	if srv == nil {
		wait := time.Duration(0)
		if r == grant.OutcomeUnknown {
			wait = s.randomDuration(100*time.Millisecond, maxGrantCallDuration)
		}
		s.after(wait, func() { s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: r}) })
		return
	}
	// A renewal is only sent on the connection of the last grant, which a new instance does not
	// have. Any other grant reaches the new instance as well.
	if srv.StartMillis != c.Holder.StartMillis && c.Renewal {
		s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: grant.NotSent})
		return
	}
	arrivedAt := s.now
	if s.chance(0.03) { // the grant is applied late and not answered
		s.after(s.randomDuration(0, 5*time.Second), func() { s.applyGrant(srv, c, arrivedAt) })
		s.after(s.randomDuration(50*time.Millisecond, maxGrantCallDuration), func() { s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: grant.OutcomeUnknown}) })
		return
	}
	r = s.applyGrant(srv, c, arrivedAt)
	if s.chance(0.03) {
		s.after(s.randomDuration(50*time.Millisecond, maxGrantCallDuration), func() { s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: grant.OutcomeUnknown}) })
		return
	}
	s.after(s.randomDuration(0, 20*time.Millisecond), func() { s.send(d, incarnation, GrantResultMsg{Cmd: c, EndedAt: s.now, Result: r}) })
}

func (s *simulation) applyGrant(srv *server, c GrantCmd, arrivedAt time.Time) grant.Result {
	if !srv.running {
		return grant.OutcomeUnknown
	}
	from, to := Bucket(c.From), Bucket(c.To)
	for b := from; b <= to; b++ {
		if srv.fences[b] > c.Fence {
			return grant.Fenced
		}
	}
	for b := from; b <= to; b++ {
		srv.fences[b] = c.Fence
		if expiresAt := arrivedAt.Add(time.Duration(float64(c.TTL) * srv.clockRatio)); expiresAt.After(srv.expiresAt[b]) {
			srv.expiresAt[b] = expiresAt
		}
	}
	return grant.Done
}

func (s *simulation) deliverRelease(d *daemon, incarnation uint64, c ReleaseCmd) {
	if c.Indirect > 0 {
		s.deliverIndirectRelease(d, incarnation, c)
		return
	}
	srv, r := s.findReachable(d, incarnation, c.Address, c.SendBefore)
	if srv == nil {
		s.after(100*time.Millisecond, func() { s.send(d, incarnation, ReleaseResultMsg{Cmd: c, Result: r}) })
		return
	}
	endsAt := s.applyRelease(srv, c)
	r = grant.Done
	if s.chance(0.05) {
		r = grant.OutcomeUnknown
	}
	s.after(endsAt.Sub(s.now)+simStep, func() { s.send(d, incarnation, ReleaseResultMsg{Cmd: c, Result: r, Handover: "handover"}) })
}

// deliverIndirectRelease simulates a release through another daemon. If that one is suspended, it goes on
// with the release after the suspension, although the leader has given it up.
func (s *simulation) deliverIndirectRelease(d *daemon, incarnation uint64, c ReleaseCmd) {
	other := s.daemons[(slices.Index(s.daemons, d)+1+c.Indirect%(len(s.daemons)-1))%len(s.daemons)]
	wait, late := max(0, other.suspendedUntil.Sub(s.now)), false
	if wait > 0 || s.chance(0.1) {
		late = true
		wait += s.randomDuration(0, 5*time.Second)
		s.after(time.Second, func() { s.send(d, incarnation, ReleaseResultMsg{Cmd: c, Result: grant.OutcomeUnknown}) })
	}
	s.after(wait, func() {
		srv, r := s.findReachable(other, other.incarnation, c.Address, s.now.Add(sendWindow))
		endsAt := s.now.Add(100 * time.Millisecond)
		if srv != nil {
			endsAt = s.applyRelease(srv, c)
		}
		if !late {
			s.after(endsAt.Sub(s.now)+simStep, func() { s.send(d, incarnation, ReleaseResultMsg{Cmd: c, Result: r, Handover: "handover"}) })
		}
	})
}

// applyRelease makes a server carry out a release, and returns when the requests that run on the range end.
func (s *simulation) applyRelease(srv *server, c ReleaseCmd) time.Time {
	endsAt := s.now
	for b := Bucket(c.From); b <= Bucket(c.To); b++ {
		srv.fences[b] = max(srv.fences[b], c.Fence)
		if srv.expiresAt[b].After(s.now) {
			srv.requestsEndAt[b] = s.now.Add(s.randomDuration(0, 300*time.Millisecond))
		}
		srv.expiresAt[b] = time.Time{}
		if srv.requestsEndAt[b].After(endsAt) {
			endsAt = srv.requestsEndAt[b]
		}
	}
	return endsAt
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
	requestedAt := s.now
	if s.now.Before(d.storeUnreachableUntil) {
		s.send(d, incarnation, StoreFailedMsg{})
		return
	}
	if s.chance(0.05) { // not answered; the table is written now, written late, or not written
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
	s.send(d, incarnation, StoredTableMsg{Table: s.table, Revision: s.storeRevision, RequestedAt: requestedAt})
}

func (s *simulation) read(d *daemon, incarnation uint64) {
	if s.now.Before(d.storeUnreachableUntil) || s.chance(0.05) {
		s.after(200*time.Millisecond, func() { s.send(d, incarnation, StoreFailedMsg{}) })
		return
	}
	s.send(d, incarnation, StoredTableMsg{Table: s.table, Revision: s.storeRevision, RequestedAt: s.now})
}

// mayTakeLead reports whether a daemon tries to take the lead in this step. In any step it tries
// with a small probability, whether another daemon leads or not. While no daemon leads, each also
// tries once a second, at a moment that depends on its incarnation, so that daemons that have been
// restarted try at other times.
func (s *simulation) mayTakeLead(d *daemon) bool {
	if s.now.Before(d.storeUnreachableUntil) {
		return false
	}
	if s.chance(0.0005) {
		return true
	}
	for _, other := range s.daemons {
		if other.keeper != nil && !s.now.Before(other.suspendedUntil) {
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
	var witnesses []grant.Witness
	if s.witnessed {
		witnesses = s.witnessesOf(d)
	}
	next = next.WithLeader(grant.Leader{Daemon: d.name, Incarnation: d.incarnation}, witnesses)
	if !s.write(next, s.storeRevision) {
		return
	}
	s.logf("%s leads with epoch %d", d.name, next.Epoch)
	s.recordTakeover(d, next)
	d.keeper = New(s.now, next, s.storeRevision, WithGrantTTL(simGrantTTL), WithLeaderLease(s.leaderLease()))
}

// injectFaults starts at most one random fault, with a small probability in each step.
func (s *simulation) injectFaults() {
	if s.faultFree {
		return
	}
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	srv := s.servers[s.rng.IntN(len(s.servers))]
	switch n := s.rng.IntN(3000); {
	case n < 2:
		d.suspendedUntil = s.now.Add(s.randomDuration(time.Second, 9*time.Second))
		s.logf("%s is suspended until %v", d.name, d.suspendedUntil.Sub(time.Unix(1000, 0)))
	case n < 4:
		s.logf("%s is restarted", d.name)
		d.incarnation++
		d.epoch = 0
		d.keeper, d.inbox = nil, nil
	case n < 10:
		d.unreachableUntil[srv.Address] = s.now.Add(s.randomDuration(time.Second, 6*time.Second))
		s.logf("%s does not reach %s until %v", d.name, srv.Address, d.unreachableUntil[srv.Address].Sub(time.Unix(1000, 0)))
	case n < 13:
		d.storeUnreachableUntil = s.now.Add(s.randomDuration(time.Second, 8*time.Second))
		s.logf("%s does not reach the store until %v", d.name, d.storeUnreachableUntil.Sub(time.Unix(1000, 0)))
	case n < 15:
		s.endServer(srv)
	case n < 17 && srv.running:
		srv.Draining = true
		s.logf("%s is draining", srv.ID)
		s.after(s.randomDuration(2*time.Second, 8*time.Second), func() { s.endServer(srv) })
	}
}

// endServer ends a server instance. A new one with the same ID replaces it within 5 s.
func (s *simulation) endServer(srv *server) {
	if !srv.running {
		return
	}
	srv.running = false
	s.logf("%s has ended", srv.ID)
	s.after(s.randomDuration(100*time.Millisecond, 5*time.Second), func() {
		srv.listed = false
		s.startServer(srv.ID)
	})
}

package keeper

import (
	"testing"
	"time"

	"catkinstep/core/process/lease"
	"catkinstep/core/version/grant"
)

// leaderLease returns the leader lease. With witnesses it is much longer than what bounds the term.
func (s *simulation) leaderLease() time.Duration {
	if s.witnessed {
		return 4 * simLeaderLease
	}
	return simLeaderLease
}

// witnessesOf returns the other daemons.
func (s *simulation) witnessesOf(d *daemon) []grant.Witness {
	var out []grant.Witness
	for _, other := range s.daemons {
		if other != d {
			out = append(out, grant.Witness{Name: other.name, Incarnation: other.incarnation})
		}
	}
	return out
}

// recordTakeover records that a daemon leads with the given table.
func (s *simulation) recordTakeover(d *daemon, t grant.Table) {
	d.epoch, d.endings = t.Epoch, nil
	for _, term := range t.Earlier {
		d.endings = append(d.endings, lease.NewEnding(s.now, term))
	}
}

// learnEpoch makes a daemon that does not lead learn of the newest epoch, within a second or so.
func (s *simulation) learnEpoch(d *daemon) {
	if d.epoch < s.table.Epoch && s.rng.IntN(50) == 0 {
		d.epoch = s.table.Epoch
	}
}

// callWitnesses makes a leader call all other daemons twice a second, and derive the end of the
// terms before its own.
func (s *simulation) callWitnesses(d *daemon) {
	if s.now.UnixMilli()%500 == 0 {
		for _, other := range s.daemons {
			if other != d && !s.chance(0.1) && !s.now.Before(d.cutOffUntil) && !s.now.Before(other.cutOffUntil) {
				incarnation, sentAt := d.incarnation, s.now
				s.after(s.randomDuration(0, 300*time.Millisecond), func() { s.answerLeader(d, incarnation, other, sentAt) })
			}
		}
	}
	for _, e := range d.endings {
		e.Record(s.now, grant.Witness{Name: d.name, Incarnation: d.incarnation}, d.epoch)
	}
}

// reportEndings tells a leader which of the earlier leaders have stopped.
func (s *simulation) reportEndings(d *daemon) {
	for _, e := range d.endings {
		if !e.Stopped() && s.leaderStopped(e.Term()) {
			e.RecordStopped(s.now)
		}
		if at, known := e.StoppedBy(); known {
			s.update(d, EarlierLeaderStoppedMsg{Epoch: e.Term().Epoch, At: at})
		}
	}
}

// cutOffLeader cuts a leader off from the store and the other daemons, and these off from a server
// that it still reaches. Another daemon takes the lead.
func (s *simulation) cutOffLeader(d *daemon) {
	until := s.now.Add(s.randomDuration(3*time.Second, 20*time.Second))
	srv := s.servers[s.rng.IntN(len(s.servers))]
	s.logf("%s is cut off with %s until %v", d.name, srv.ID, until.Sub(time.Unix(1000, 0)))
	d.storeUnreachableUntil, d.cutOffUntil = until, until
	for _, other := range s.daemons {
		if other != d {
			other.unreachableUntil[srv.Address] = until
			s.after(s.randomDuration(0, time.Second), func() {
				if other.keeper == nil && !s.now.Before(other.suspendedUntil) {
					s.takeLead(other)
				}
			})
		}
	}
}

// leaderStopped reports whether the leader of a term is reached and not suspended, and has been restarted
// or no longer leads in that term.
func (s *simulation) leaderStopped(t grant.Term) bool {
	for _, other := range s.daemons {
		if other.name == t.Leader.Daemon {
			ended := other.incarnation > t.Leader.Incarnation || other.keeper == nil || other.keeper.Epoch() != t.Epoch
			isHeard := !s.witnessed || s.rng.IntN(50) == 0 // with witnesses late, so that ends are derived from these
			return ended && isHeard && !s.now.Before(other.suspendedUntil) && !s.now.Before(other.cutOffUntil)
		}
	}
	return false
}

// answerLeader simulates the call of a leader to a witness, and the reply, which may be late.
func (s *simulation) answerLeader(d *daemon, incarnation uint64, w *daemon, sentAt time.Time) {
	if s.now.Before(w.suspendedUntil) {
		s.after(w.suspendedUntil.Sub(s.now)+simStep, func() { s.answerLeader(d, incarnation, w, sentAt) })
		return
	}
	from, epoch := grant.Witness{Name: w.name, Incarnation: w.incarnation}, w.epoch
	delay := s.randomDuration(0, 300*time.Millisecond)
	if s.chance(0.1) {
		delay = s.randomDuration(0, 4*time.Second)
	}
	s.after(delay, func() { s.receiveReply(d, incarnation, from, epoch, sentAt) })
}

func (s *simulation) receiveReply(d *daemon, incarnation uint64, from grant.Witness, epoch uint64, sentAt time.Time) {
	if s.now.Before(d.suspendedUntil) && d.incarnation == incarnation {
		s.after(d.suspendedUntil.Sub(s.now)+simStep, func() { s.receiveReply(d, incarnation, from, epoch, sentAt) })
		return
	}
	if d.incarnation != incarnation || d.keeper == nil {
		return
	}
	for _, e := range d.endings {
		if e.Record(s.now, from, epoch) {
			s.logf("%s has derived the end of epoch %d", d.name, e.Term().Epoch)
		}
	}
	if epoch > d.keeper.Epoch() {
		s.update(d, EpochSeenMsg{Epoch: epoch, At: s.now})
		return
	}
	s.update(d, SupportMsg{Witness: from, At: sentAt})
}

// Guards against two servers that hold a key at once where leaders have witnesses: a successor that
// frees a range too early, or a leader that goes on for too long.
func TestFuzzOneHolderPerKeyWithWitnesses(t *testing.T) {
	for seed := range uint64(30) {
		runWitnessedSeed(t, seed)
	}
}

func runWitnessedSeed(t fataler, seed uint64) {
	s := newSimulation(seed)
	s.witnessed = true
	runSimulation(t, seed, s)
}

package lease

import (
	"slices"
	"time"

	"catkinstep/core/version/grant"
)

// MaxClockRatio bounds how much longer a TTL lasts by the clock of a slow host.
const MaxClockRatio = 1.02

// Ending is what a successor knows of the end of an earlier leader's term. It is not safe for
// concurrent use.
type Ending struct {
	term grant.Term
	// storeEnd is when the last confirmation by the store has lapsed.
	storeEnd time.Time
	counted  map[grant.Witness]bool
	// supportEnd is when the last support by a majority has lapsed; zero while there may be one.
	supportEnd time.Time
	// stoppedAt is when the leader was found to have ended or to know a newer epoch; zero if unknown.
	stoppedAt time.Time
}

// NewEnding returns the Ending of a term whose successor, or a successor of that one, took the
// lead at takeover.
func NewEnding(takeover time.Time, term grant.Term) *Ending {
	return &Ending{term: term, storeEnd: takeover.Add(scale(StoreTTL)), counted: map[grant.Witness]bool{}}
}

// Term returns the term.
func (e *Ending) Term() grant.Term { return e.term }

// Record records that an incarnation of a daemon has reported the epoch of the newest table that
// it knows. It reports whether the end of the term is known from that.
func (e *Ending) Record(now time.Time, daemon grant.Witness, epoch uint64) (derived bool) {
	if !e.supportEnd.IsZero() {
		return false
	}
	for _, w := range e.term.Witnesses {
		if w.Name == daemon.Name && (daemon.Incarnation > w.Incarnation || daemon == w && epoch > e.term.Epoch) {
			e.counted[w] = true
		}
	}
	if e.Needed() == 0 || len(e.counted) < e.Needed() {
		return false
	}
	e.supportEnd = now.Add(scale(SupportTTL))
	return true
}

// RecordStopped records that the leader itself is known to have stopped.
func (e *Ending) RecordStopped(now time.Time) {
	if e.stoppedAt.IsZero() {
		e.stoppedAt = now
	}
}

// Stopped reports whether the leader itself is known to have stopped.
func (e *Ending) Stopped() bool { return !e.stoppedAt.IsZero() }

// StoppedBy returns the time by which the leader has certainly stopped, and whether it is known.
// It may be in the future, and may later become earlier.
func (e *Ending) StoppedBy() (time.Time, bool) {
	if !e.stoppedAt.IsZero() && (e.supportEnd.IsZero() || e.stoppedAt.Before(e.bySupport())) {
		return e.stoppedAt, true
	}
	return e.bySupport(), !e.supportEnd.IsZero()
}

func (e *Ending) bySupport() time.Time {
	if e.storeEnd.After(e.supportEnd) {
		return e.storeEnd
	}
	return e.supportEnd
}

// Counted returns how many witnesses no longer support the leader.
func (e *Ending) Counted() int { return len(e.counted) }

// Needed returns how many witnesses have to be counted so that the others and the leader are no
// majority; 0 if the leader has no witnesses.
func (e *Ending) Needed() int {
	if len(e.term.Witnesses) == 0 {
		return 0
	}
	return len(e.term.Witnesses) + 1 - majority(len(e.term.Witnesses)) + 1
}

// Missing returns the witnesses that still have to be asked; none once the end is known.
func (e *Ending) Missing() []grant.Witness {
	if _, known := e.StoppedBy(); known {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(e.term.Witnesses), func(w grant.Witness) bool { return e.counted[w] })
}

// scale returns how long a TTL may last by the clock of a slow host.
func scale(ttl time.Duration) time.Duration { return time.Duration(float64(ttl) * MaxClockRatio) }

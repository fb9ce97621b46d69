package lease

import (
	"slices"
	"time"

	"catkinstep/core/version/grant"
)

const (
	// SupportTTL is how long the support of a majority lasts, from the sending of the calls. The
	// leader calls each witness every 0.5 s and waits up to 0.7 s for the reply, so that one call to
	// all of them may be lost.
	SupportTTL = 2 * time.Second
	// StoreTTL is how long a confirmation of the epoch by the store replaces the support, from
	// the sending of the read or save.
	StoreTTL = 2 * time.Second
	// ReplaceAfter is how long a witness may go without a reply before another daemon replaces it.
	ReplaceAfter = 3 * time.Second
)

// Support is what a leader knows of the support of its witnesses. While a change of the set is
// being stored there are two sets, and both must support the leader, since its successor may find
// either. An empty set demands nothing. Support is not safe for concurrent use.
type Support struct {
	stored []grant.Witness
	// next is the set that is being stored; nil if there is none.
	next []grant.Witness
	// supportedAt holds, by witness, when the last call with a supporting reply was sent.
	supportedAt map[grant.Witness]time.Time
}

// NewSupport returns the Support of a leader whose stored table names the given witnesses.
func NewSupport(stored []grant.Witness) *Support {
	return &Support{stored: stored, supportedAt: map[grant.Witness]time.Time{}}
}

// Required reports whether the leader needs support.
func (s *Support) Required() bool { return len(s.stored) > 0 || len(s.next) > 0 }

// Record records that a witness replied to a call that was sent at sentAt. The reply may arrive
// much later, after the witness has learnt of a newer epoch, so its arrival says nothing.
func (s *Support) Record(w grant.Witness, sentAt time.Time) {
	if s.isWitness(w) && sentAt.After(s.supportedAt[w]) {
		s.supportedAt[w] = sentAt
	}
}

// SupportedAt returns the time up to which a majority of each set is known to have supported the
// leader; zero if there is none. The leader counts as a member of each set.
func (s *Support) SupportedAt() time.Time {
	at := s.majoritySupportedAt(s.stored)
	if next := s.majoritySupportedAt(s.next); len(s.stored) == 0 || len(s.next) > 0 && next.Before(at) {
		at = next
	}
	return at
}

func (s *Support) majoritySupportedAt(set []grant.Witness) time.Time {
	needed := majority(len(set)) - 1 // without the leader
	if needed == 0 {
		return time.Time{}
	}
	var times []time.Time
	for _, w := range set {
		times = append(times, s.supportedAt[w])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1]
}

// Change begins a change to another set. It does nothing if another change has not been settled.
func (s *Support) Change(next []grant.Witness) {
	if s.next == nil && !slices.Equal(next, s.stored) {
		s.next = next
	}
}

// Settle ends a change: the store holds the given set, and no save with another one can succeed
// any more.
func (s *Support) Settle(stored []grant.Witness) {
	s.stored, s.next = stored, nil
	for w := range s.supportedAt {
		if !s.isWitness(w) {
			delete(s.supportedAt, w)
		}
	}
}

// Changing reports whether a change has not been settled.
func (s *Support) Changing() bool { return s.next != nil }

// Latest returns the set that the leader wants to have stored.
func (s *Support) Latest() []grant.Witness {
	if s.next != nil {
		return s.next
	}
	return s.stored
}

// All returns the witnesses of both sets.
func (s *Support) All() []grant.Witness {
	out := slices.Clone(s.stored)
	for _, w := range s.next {
		if !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}

// Count returns how many witnesses of both sets supported the leader after the given time.
func (s *Support) Count(after time.Time) int {
	n := 0
	for _, at := range s.supportedAt {
		if at.After(after) {
			n++
		}
	}
	return n
}

// LastSupport is when the last call to which the witness replied was sent; zero if there is none.
func (s *Support) LastSupport(w grant.Witness) time.Time { return s.supportedAt[w] }

func (s *Support) isWitness(w grant.Witness) bool {
	return slices.Contains(s.stored, w) || slices.Contains(s.next, w)
}

// majority returns how many daemons are a majority of some witnesses and their leader.
func majority(witnesses int) int { return (witnesses+1)/2 + 1 }

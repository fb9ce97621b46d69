package keeper

import (
	"slices"
	"time"

	"catkinstep/core/version/grant"
)

// leaseLeftInterval is the longest time between two saves while an earlier term may not have ended: a
// successor assumes of the rest of that term what the last save says.
const leaseLeftInterval = 5 * time.Second

// earlierTerms is what the keeper knows of the terms before its own.
type earlierTerms struct {
	// terms are those that may not have ended.
	terms []earlierTerm
	// stoppedBy is by when all earlier leaders have stopped.
	stoppedBy time.Time
	// connectsUntil is until when calls of earlier leaders may arrive on new connections; zero if there
	// were none.
	connectsUntil time.Time
}

type earlierTerm struct {
	grant.Term
	// endsBy is when the leader has certainly stopped: at the latest when its lease has expired.
	endsBy time.Time
}

// restoreTerms restores the earlier terms from the stored table. The last leader may have confirmed its
// epoch until it was replaced. How much of the lease of one before it is left comes from the table:
// if each leader assumed a whole lease again, ranges would stay closed for as long as leaders change.
func (k *Keeper) restoreTerms(now time.Time, terms []grant.Term) {
	whole := maxClockTime(k.leaderLease)
	k.stoppedBy = now
	if len(terms) == 0 {
		k.stoppedBy = now.Add(whole) // an older daemon may have stored none
		return
	}
	for _, t := range terms {
		endsBy := now.Add(min(whole, maxClockTime(t.LeaseLeft(whole))))
		k.terms = append(k.terms, earlierTerm{Term: t, endsBy: endsBy})
		k.stoppedBy = later(k.stoppedBy, endsBy)
	}
	k.connectsUntil = k.stoppedBy.Add(maxGrantDelay)
	k.boundConnects()
}

// storedTerms returns the earlier terms as they are to be stored now.
func (k *Keeper) storedTerms(now time.Time) []grant.Term {
	var out []grant.Term
	for _, t := range k.terms {
		out = append(out, t.WithLeaseLeft(t.endsBy.Sub(now)))
	}
	return out
}

// handleTermEnd records by when an earlier leader has stopped. A later message may name an earlier
// time.
func (k *Keeper) handleTermEnd(now time.Time, m EarlierLeaderStoppedMsg) {
	for i, t := range k.terms {
		if t.Epoch == m.Epoch {
			k.terms[i].endsBy = earlier(t.endsBy, m.At)
		}
	}
	k.boundConnects()
	k.boundPreviousGrants(now)
}

// boundPreviousGrants shortens the expiry times of the previous leaders' grants once their leaders are
// known to have stopped earlier than assumed. A time in the past counts as the present, since the
// expiry times include those of this leader's own grants.
func (k *Keeper) boundPreviousGrants(now time.Time) {
	if len(k.terms) == 0 {
		return
	}
	at := now
	for _, t := range k.terms {
		at = later(at, t.endsBy)
	}
	if !at.Before(k.stoppedBy) {
		return
	}
	k.stoppedBy = at
	bound := k.previousGrantsExpiry()
	for _, s := range k.services {
		for _, rs := range s.ranges {
			rs.expiresAt = earlier(rs.expiresAt, bound)
			rs.nextExpiresAt = earlier(rs.nextExpiresAt, bound)
		}
	}
}

// previousGrantsExpiry returns when the last grant of the previous leaders has certainly expired.
func (k *Keeper) previousGrantsExpiry() time.Time {
	return k.grantExpiry(k.stoppedBy.Add(maxGrantDelay))
}

// dropEndedTerms removes the earlier terms that have ended from the stored table, so that they do not
// delay the next leader. That one may follow at once, as in a rolling restart, so the save does not wait.
func (k *Keeper) dropEndedTerms(now time.Time) {
	before := len(k.terms)
	k.terms = slices.DeleteFunc(k.terms, func(t earlierTerm) bool { return now.After(t.endsBy) })
	if len(k.terms) < before {
		k.storeState.savePending = true
	}
	if len(k.terms) > 0 && now.Sub(k.storeState.savedAt) >= leaseLeftInterval {
		k.storeState.lazySavePending = true
	}
}

// maxClockTime returns how long d may last by the clock of a slow host.
func maxClockTime(d time.Duration) time.Duration { return time.Duration(float64(d) * maxClockRatio) }

package keeper

import (
	"time"

	"catkinstep/core/version/grant"
)

// term is the leader's term, and what is known of its validity.
type term struct {
	epoch            uint64
	leader           grant.Leader
	seq              uint64
	fencesIssued     uint64
	revision         uint64
	startedAt        time.Time
	epochConfirmedAt time.Time // when the epoch was last known to be current
	// doubtedAt is when the epoch was last in doubt: confirmations from before do not count. While fenced is
	// set, a server has refused a grant since then, and only the store can confirm the epoch.
	doubtedAt time.Time
	fenced    bool
	// connectPending is set while a call on a new connection waits for the store to confirm the epoch, and
	// connectWaitLogged once that has been logged.
	connectPending, connectWaitLogged bool
	tickedAt                          time.Time
}

func (k *Keeper) handleEpochSeen(m EpochSeenMsg) {
	if m.Epoch == k.epoch && !k.fenced {
		k.confirmEpoch(m.At)
	}
	if m.Epoch > k.epoch {
		k.requestStepDown("another daemon leads with a newer epoch")
	}
}

// doubtEpoch stops all calls until the epoch is confirmed again.
func (k *Keeper) doubtEpoch(now time.Time) {
	k.storeState.readPending, k.storeState.notBefore = true, now
	k.doubtedAt, k.epochConfirmedAt = now, now.Add(-k.leaderLease)
}

// confirmEpoch records that the epoch was current at a time.
func (k *Keeper) confirmEpoch(at time.Time) {
	if !at.Before(k.doubtedAt) {
		k.epochConfirmedAt = later(k.epochConfirmedAt, at)
	}
}

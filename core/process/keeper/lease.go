package keeper

import (
	"fmt"
	"slices"
	"time"

	"catkinstep/core/process/lease"
	"catkinstep/core/version/grant"
)

// storeCheckInterval is the time between two reads of the stored table while a majority of the
// witnesses does not support the leader.
const storeCheckInterval = 500 * time.Millisecond

// leaseState is what the keeper knows of the witnesses that bound its own term and of the terms
// before it.
type leaseState struct {
	support *lease.Support
	// changeRevision is the highest revision on which a save with a changed set of witnesses was
	// conditional; 0 if no such save has been made.
	changeRevision uint64
	// storeConfirmedAt is when the last read or save of this daemon was sent that found this epoch in
	// the store. Unlike epochConfirmedAt it depends neither on how long a message of another daemon took
	// nor on watches, which may be silent although the table has changed.
	storeConfirmedAt time.Time
	// unsupported is set while a majority of the witnesses does not support the leader.
	unsupported bool
	earlierTerms
}

// WithAcquiredAt sets when the save that began this leader's term was sent. It counts as the first
// confirmation by the store.
func WithAcquiredAt(at time.Time) Option { return func(k *Keeper) { k.storeConfirmedAt = at } }

// mayCall reports whether the leader may call servers, since no other leader can assume that it
// has stopped.
func (k *Keeper) mayCall(now time.Time) bool {
	if now.Sub(k.epochConfirmedAt) >= k.leaderLease {
		return false
	}
	return !k.support.Required() || k.isSupported(now) || now.Sub(k.storeConfirmedAt) < lease.StoreTTL
}

func (k *Keeper) isSupported(now time.Time) bool {
	return now.Sub(k.support.SupportedAt()) < lease.SupportTTL
}

// checkSupport logs that the witnesses' support is lost or regained, and has the store read while it
// is lacking. The reads begin at half of SupportTTL, so that the store confirms the epoch before
// the support ends.
func (k *Keeper) checkSupport(now time.Time) {
	if !k.support.Required() {
		return
	}
	if now.Sub(k.support.SupportedAt()) >= lease.SupportTTL/2 && now.Sub(k.storeConfirmedAt) >= storeCheckInterval {
		k.storeState.readPending = true
	}
	unsupported := !k.isSupported(now)
	changed := unsupported != k.unsupported
	// Nothing is logged at the start of a term, when no witness has replied yet.
	if changed && now.Sub(k.startedAt) >= lease.StoreTTL {
		k.unsupported = unsupported
		text := "supported by a majority of witnesses again"
		if k.unsupported {
			text = "not supported by a majority of witnesses"
		}
		k.log(LogCmd{Text: text, Reason: fmt.Sprintf("epoch %d, %d of %d witnesses, store confirmed %v ago", k.epoch,
			k.support.Count(now.Add(-lease.SupportTTL)), len(k.support.All()), now.Sub(k.storeConfirmedAt))})
	}
}

// changeWitnesses begins to store another set of witnesses. From now on both sets must support the
// leader.
func (k *Keeper) changeWitnesses(m WitnessesMsg) {
	if k.support.Changing() {
		return
	}
	k.support.Change(m.Witnesses)
	if !k.support.Changing() {
		return
	}
	k.changeRevision, k.storeState.savePending = 0, true
	k.log(LogCmd{Text: "witnesses change", Reason: fmt.Sprintf("epoch %d, to %v", k.epoch, m.Witnesses)})
}

// settleWitnesses compares the stored witnesses with those that this leader wants to have stored.
// A save whose answer was lost may still arrive as long as the table is at the revision on which
// it is conditional. Until then both sets must support the leader.
func (k *Keeper) settleWitnesses(m StoredTableMsg) {
	if !k.support.Changing() {
		return
	}
	if k.changeRevision == 0 || m.Revision <= k.changeRevision {
		k.storeState.savePending = true
		return
	}
	if latest := k.support.Latest(); slices.Equal(m.Table.Witnesses, latest) {
		k.support.Settle(latest)
		return
	}
	// An earlier save, which did not have the change, was carried out instead.
	k.changeRevision, k.storeState.savePending = 0, true
}

// Epoch returns the epoch of this leader's term.
func (k *Keeper) Epoch() uint64 { return k.epoch }

// Witnesses returns the daemons that this leader has to call, including those of a set that is
// being stored.
func (k *Keeper) Witnesses() []grant.Witness { return k.support.All() }

// WantedWitnesses returns the set of witnesses that this leader wants to have stored, and whether it
// is still being stored.
func (k *Keeper) WantedWitnesses() (set []grant.Witness, changing bool) {
	return k.support.Latest(), k.support.Changing()
}

// LastSupport is when the last call to which a witness replied was sent; zero if there is none.
func (k *Keeper) LastSupport(w grant.Witness) time.Time { return k.support.LastSupport(w) }

// SupportedAt is the time up to which a majority of the witnesses supported this leader; zero if
// there is none.
func (k *Keeper) SupportedAt() time.Time { return k.support.SupportedAt() }

// StoreConfirmedAt is when the store is last known to have had this leader's epoch.
func (k *Keeper) StoreConfirmedAt() time.Time { return k.storeConfirmedAt }

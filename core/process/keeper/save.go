package keeper

import "time"

// storeState is the state of the leader's saves and reads of the stored table.
type storeState struct {
	// savePending is set while the stored table lacks an intent, whose move waits for it;
	// lazySavePending while it lacks a change that may be lost without harm.
	savePending, lazySavePending bool
	// readPending is set while the content of the stored table is uncertain.
	readPending bool
	// notBefore is the earliest time of the next save or read.
	notBefore time.Time
	// callInFlight is set while a save or read has no result yet.
	callInFlight bool
	// savedSeq is the sequence number in the last save, and savedAt is when that began.
	savedSeq uint64
	savedAt  time.Time
}

// syncStore saves the table if the stored one lacks a change, or reads it if its content is
// uncertain.
func (k *Keeper) syncStore(now time.Time) {
	if k.storeState.callInFlight || now.Before(k.storeState.notBefore) {
		return
	}
	switch {
	case k.storeState.readPending:
		k.storeState.callInFlight = true
		k.cmds = append(k.cmds, ReadCmd{})
	case k.storeState.savePending, k.storeState.lazySavePending && now.Sub(k.storeState.savedAt) >= saveInterval:
		k.storeState.callInFlight = true
		k.seq++
		k.storeState.savedAt, k.storeState.savedSeq = now, k.seq
		k.cmds = append(k.cmds, SaveCmd{Table: k.table(true), Revision: k.revision})
		if k.support.Changing() {
			k.changeRevision = k.revision
		}
		k.storeState.savePending, k.storeState.lazySavePending = false, false
	}
}

// handleStoredTable compares the stored table with this leader's state. If the answer to a
// save was lost, the stored table shows whether the save was carried out. If it was not, it is
// repeated. Should the first save arrive after the repeated one has succeeded, its condition
// fails.
func (k *Keeper) handleStoredTable(now time.Time, m StoredTableMsg) {
	k.storeState.callInFlight, k.storeState.readPending = false, false
	if m.Table.Epoch != k.epoch || m.Table.Leader != k.leader {
		k.requestStepDown("the stored table has another leader")
		return
	}
	k.revision = m.Revision
	k.connectPending, k.connectWaitLogged = false, false
	k.confirmEpoch(m.RequestedAt)
	k.storeConfirmedAt = later(k.storeConfirmedAt, m.RequestedAt)
	if m.RequestedAt.Before(k.doubtedAt) {
		k.storeState.readPending = true
	} else {
		k.fenced = false
	}
	k.settleWitnesses(m)
	k.storeState.lazySavePending = k.storeState.lazySavePending || m.Table.Seq < k.storeState.savedSeq
	for _, s := range k.services {
		for _, rs := range s.ranges {
			if rs.step != saving {
				continue
			}
			if m.Table.Seq < rs.intentSeq {
				k.storeState.savePending = true
				continue
			}
			rs.step, rs.nextCallAt, rs.closedSince = releasing, now, now
			k.publishState.pending = true
		}
	}
}

package keeper

import "time"

// saver decides when the stored table is written or read.
type saver struct {
	// savePending is set while the stored table lacks an intent, whose move waits for it;
	// lazySavePending while it lacks a change that may be lost without harm.
	savePending, lazySavePending bool
	// readPending is set while the content of the stored table is uncertain.
	readPending bool
	// notBefore is the earliest time of the next save or read.
	notBefore time.Time
	// callInFlight is set while a save or read has no result yet.
	callInFlight bool
	// savedSeq and savedAt are the sequence number and time of the last save.
	savedSeq uint64
	savedAt  time.Time
}

// syncStore saves the table if the stored one lacks a change, or reads it if its content is
// uncertain.
func (k *Keeper) syncStore(now time.Time) {
	if k.saver.callInFlight || now.Before(k.saver.notBefore) {
		return
	}
	switch {
	case k.saver.readPending:
		k.saver.callInFlight = true
		k.cmds = append(k.cmds, ReadCmd{})
	case k.saver.savePending, k.saver.lazySavePending && now.Sub(k.saver.savedAt) >= saveInterval:
		k.saver.callInFlight = true
		k.seq++
		k.saver.savedAt, k.saver.savedSeq = now, k.seq
		k.cmds = append(k.cmds, SaveCmd{Table: k.table(true), Revision: k.revision})
		k.saver.savePending, k.saver.lazySavePending = false, false
	}
}

// handleStoredTable compares the stored table with this leader's state. If the answer to a
// save was lost, the stored table shows whether the save was carried out. If it was not, it is
// repeated. Should the first save arrive after the repeated one has succeeded, its condition
// fails.
func (k *Keeper) handleStoredTable(now time.Time, m StoredTableMsg) {
	k.saver.callInFlight, k.saver.readPending = false, false
	if m.Table.Epoch != k.epoch || m.Table.Leader != k.leader {
		k.stepDown("the stored table has another leader")
		return
	}
	k.revision = m.Revision
	k.epochConfirmedAt = later(k.epochConfirmedAt, m.RequestedAt)
	k.saver.lazySavePending = k.saver.lazySavePending || m.Table.Seq < k.saver.savedSeq
	for _, s := range k.services {
		for _, rs := range s.ranges {
			if rs.step != saving {
				continue
			}
			if m.Table.Seq < rs.intentSeq {
				k.saver.savePending = true
				continue
			}
			rs.step, rs.nextCallAt, rs.closedSince = releasing, now, now
			k.publisher.pending = true
		}
	}
}

package keeper

import "time"

// saver tells when the stored table is to be written or read.
type saver struct {
	// now is set while the stored table lacks an intent, which nothing is done about
	// before, and later while it lacks something that may be lost without harm.
	now, later bool
	// reread is set while the stored table is in doubt, and not before rereadAt.
	reread   bool
	rereadAt time.Time
	// busy is set while a save or read is out.
	busy bool
	// seq and at are those of the last save.
	seq uint64
	at  time.Time
}

// store writes the table when it lacks something, and reads it when in doubt.
func (k *Keeper) store(now time.Time) {
	if k.saver.busy || now.Before(k.saver.rereadAt) {
		return
	}
	switch {
	case k.saver.reread:
		k.saver.busy = true
		k.cmds = append(k.cmds, ReadCmd{})
	case k.saver.now, k.saver.later && now.Sub(k.saver.at) >= saveEvery:
		k.saver.busy = true
		k.seq++
		k.saver.at, k.saver.seq = now, k.seq
		k.cmds = append(k.cmds, SaveCmd{Table: k.table(true), Revision: k.revision})
		k.saver.now, k.saver.later = false, false
	}
}

// stored compares the stored table with this leadership. A write whose answer
// was lost shows here as done, or is simply made again: its condition fails if
// the first one is carried out late.
func (k *Keeper) stored(now time.Time, m StoredMsg) {
	k.saver.busy, k.saver.reread = false, false
	if m.Table.Epoch != k.epoch || m.Table.Leader != k.leader {
		k.resign("the stored table has another leader")
		return
	}
	k.revision = m.Revision
	k.confirmed = later(k.confirmed, m.Asked)
	k.saver.later = k.saver.later || m.Table.Seq < k.saver.seq
	for _, s := range k.shares {
		for _, sp := range s.spans {
			if sp.step != saving {
				continue
			}
			if m.Table.Seq < sp.intent {
				k.saver.now = true
				continue
			}
			sp.step, sp.due, sp.closed = releasing, now, now
			k.publisher.due = true
		}
	}
}

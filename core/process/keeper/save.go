package keeper

import "time"

// store writes the table when it lacks something, and reads it when in doubt.
func (k *Keeper) store(now time.Time) {
	if k.waiting || now.Before(k.again) {
		return
	}
	switch {
	case k.reread:
		k.waiting = true
		k.cmds = append(k.cmds, ReadCmd{})
	case k.dirty, k.lazy && now.Sub(k.saved) >= saveEvery:
		k.waiting = true
		k.seq++
		k.saved, k.asked = now, k.seq
		k.cmds = append(k.cmds, SaveCmd{Table: k.table(true), Revision: k.revision})
		k.dirty, k.lazy = false, false
	}
}

// stored compares the stored table with this leadership. A write whose answer
// was lost shows here as done, or is simply made again: its condition fails if
// the first one is carried out late.
func (k *Keeper) stored(now time.Time, m StoredMsg) {
	k.waiting, k.reread = false, false
	if m.Table.Epoch != k.epoch || m.Table.Leader != k.leader {
		k.resign("the stored table has another leader")
		return
	}
	k.revision = m.Revision
	k.confirmed = later(k.confirmed, m.Asked)
	k.lazy = k.lazy || m.Table.Seq < k.asked
	for _, s := range k.shares {
		for _, sp := range s.spans {
			if sp.step != saving {
				continue
			}
			if m.Table.Seq < sp.intent {
				k.dirty = true
				continue
			}
			sp.step, sp.due, sp.closed = releasing, now, now
			k.visible = true
		}
	}
}

package router

import (
	"time"

	"catkinstep/core/process/keeper"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
)

// tableHistory is what other daemons may need to follow the table in force.
type tableHistory struct {
	// previous are the last tables that were in force before the current one, the newest last.
	previous []grant.Table
	// encoded caches the encoded forms of the current table: the whole table at 0, and changes
	// by the sequence number of the older table that they apply to.
	encoded map[uint64][]byte
}

// storedTable is the table in the store. Its header is decoded at each change, the rest
// only when it is needed: daemons receive most tables from the leader before they are
// stored, and decoding a large one takes milliseconds.
type storedTable struct {
	header   grant.Table // without key ranges
	value    []byte
	revision uint64
}

// decode decodes the whole table. It is empty if none is stored.
func (s storedTable) decode() (grant.Table, error) {
	if s.value == nil {
		return grant.Table{}, nil
	}
	return grant.Unmarshal(s.value)
}

func (c *control) applyStoredTable(now time.Time, changed []object.Item) {
	for _, it := range changed {
		if it.Name != tableName {
			continue
		}
		header, err := grant.UnmarshalHeader(it.Value)
		if err != nil || it.Removed {
			c.dropStoredTable(it.Revision, err)
			if it.Removed {
				c.stored.revision = 0
			}
			continue
		}
		c.stored = storedTable{header: header, value: it.Value, revision: it.Revision}
		if !header.Newer(c.r.current.Load().table) {
			continue
		}
		if t, err := c.stored.decode(); err == nil {
			c.applyTable(now, t)
		} else {
			c.dropStoredTable(it.Revision, err)
		}
	}
}

// dropStoredTable drops a stored table that cannot be decoded. The next write is still
// conditional on its revision.
func (c *control) dropStoredTable(revision uint64, err error) {
	c.r.log.Warn("keys: stored table is invalid", "revision", revision, "err", err)
	c.stored = storedTable{revision: revision}
}

// applyTable puts a table in force if it is newer than the current one, and reports
// whether it was.
func (c *control) applyTable(now time.Time, t grant.Table) bool {
	s := c.r.current.Load()
	if c.keeper != nil && t.Epoch > c.keeper.Table().Epoch {
		c.updateKeeper(now, keeper.EpochSeenMsg{Epoch: t.Epoch, At: now})
	}
	if !t.Newer(s.table) {
		return false
	}
	if t.Epoch != s.table.Epoch {
		c.r.log.Info("keys: new leader", "epoch", t.Epoch, "leader", t.Leader.Daemon)
	}
	c.tables.previous = append(c.tables.previous, s.table)
	c.tables.previous = c.tables.previous[max(0, len(c.tables.previous)-maxPreviousTables):]
	clear(c.tables.encoded)
	c.r.current.Store(s.withTable(t))
	c.r.recordTableChange(now, t)
	c.r.metrics.setGauge("keys.epoch", t.Epoch)
	return true
}

package object

import (
	"cmp"
	"slices"
)

// defaultMaxTombstones limits the number of removed objects that are remembered. A daemon whose cache
// is older than the oldest of them is sent the whole cache.
const defaultMaxTombstones = 512

// pruneTombstones forgets the oldest removed objects once there are more than maxTombstones, and
// keeps half of that number.
func (c *Cache) pruneTombstones() {
	var tombstones []Item
	for _, it := range c.items {
		if it.Removed {
			tombstones = append(tombstones, it)
		}
	}
	if len(tombstones) <= c.maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, it := range tombstones[:len(tombstones)-c.maxTombstones/2] {
		delete(c.items, it.Name)
		delete(c.seen, it.Name)
		c.prunedThrough = max(c.prunedThrough, it.Revision)
	}
}

package object

import "slices"

// Gap is a range of revisions whose changes were skipped by a full list. Of an object that was
// added and removed between them nothing is known. A daemon that knows a revision of the range
// may have the object, and must be sent the whole cache in order to remove it: otherwise it would
// go on sending requests to a server that has left, since no later change mentions it.
//
// From and To are not part of the range.
type Gap struct{ From, To uint64 }

func (g Gap) contains(revision uint64) bool { return g.From < revision && revision < g.To }

// maxGaps limits the number of gaps that are remembered. Full lists are rare after the first one.
const maxGaps = 8

// addGap records a gap. If there are too many, the two oldest become one that covers both.
func (c *Cache) addGap(g Gap) {
	if g.From >= g.To || slices.Contains(c.gaps, g) {
		return
	}
	c.gaps = append(c.gaps, g)
	if len(c.gaps) <= maxGaps {
		return
	}
	first := Gap{From: min(c.gaps[0].From, c.gaps[1].From), To: max(c.gaps[0].To, c.gaps[1].To)}
	c.gaps = append([]Gap{first}, c.gaps[2:]...)
}

// hasGapAtThrough reports whether the cache's own revision lies in a gap of the sender, which got its request
// when the cache was older. The sender may not know of the removal of an object that the cache has.
func (c *Cache) hasGapAtThrough(d Delta) bool {
	return d.Through > c.through && slices.ContainsFunc(d.Gaps, func(g Gap) bool { return g.contains(c.through) })
}

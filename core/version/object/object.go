package object

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Kind is a kind of object, named independently of the platform.
type Kind string

// Kinds of objects.
const (
	Config     Kind = "config"
	Servers    Kind = "servers"
	Exclusions Kind = "outs"    // data centres that are out of service
	Daemons    Kind = "daemons" // names and addresses of daemons
	Tables     Kind = "tables"  // tables of key ranges, see package grant
)

// Kinds lists all kinds.
var Kinds = []Kind{Config, Servers, Exclusions, Daemons, Tables}

// Item is one object, encoded independently of the platform.
type Item struct {
	Name     string
	Revision uint64
	Removed  bool
	Value    []byte
}

// Delta is a set of changes to the objects of one kind.
type Delta struct {
	Kind  Kind
	Items []Item
	// Through is the revision up to which the sender knows every change.
	Through uint64
	// Whole is set if Items is a full list: objects that are not in it do not exist.
	Whole bool
	// Gaps are the ranges of revisions in which the sender does not know of objects that were added and
	// removed again, if Items is no full list.
	Gaps []Gap
	// EveryChange is set if Items has each change of each object, in order, and not only the last one.
	EveryChange bool
	// CurrentAt is when Through was last known to be current, by the receiver's clock.
	CurrentAt time.Time
}

// Cache holds the objects of one kind.
type Cache struct {
	kind          Kind
	items         map[string]Item
	seen          map[string]uint64 // the highest revision of each object, even if its value did not change
	through       uint64
	currentAt     time.Time
	prunedThrough uint64 // removals up to this revision are no longer remembered
	gaps          []Gap
	maxTombstones int
}

// NewCache returns an empty Cache.
func NewCache(kind Kind) *Cache {
	return &Cache{kind: kind, items: map[string]Item{}, seen: map[string]uint64{}, maxTombstones: defaultMaxTombstones}
}

// Through returns the revision up to which every change is known.
func (c *Cache) Through() uint64 { return c.through }

// CurrentAt returns when the revision that Through returns was last known to be current; zero means
// never.
func (c *Cache) CurrentAt() time.Time { return c.currentAt }

// Get returns an object by name; false if it does not exist or was removed.
func (c *Cache) Get(name string) (Item, bool) {
	it, ok := c.items[name]
	return it, ok && !it.Removed
}

// List returns the objects that are not removed, ordered by name.
func (c *Cache) List() []Item {
	out := make([]Item, 0, len(c.items))
	for _, it := range c.items {
		if !it.Removed {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Merge applies a delta and returns the objects that were added, changed or removed. An object
// whose value the store has written again without a change keeps its revision in the cache, so that it is not
// sent to other daemons again: the entry of a server is rewritten every second or two.
//
// The cache has every change up to its own revision. So unless the delta is a full list that is at
// least as new, nothing in it is news that has such a revision: an object that the cache does not
// have has been removed since. A delta may arrive late, in any order and more than once.
func (c *Cache) Merge(d Delta) []Item {
	if c.hasGapAtThrough(d) {
		return nil // the next fetch from here gets a full list
	}
	known, isCurrentList := c.through, d.Whole && d.Through >= c.through
	var changed []Item
	if isCurrentList {
		changed = c.removeUnlisted(d)
		c.addGap(Gap{From: known, To: d.Through})
	}
	for _, g := range d.Gaps {
		if d.Through > known {
			c.addGap(g)
		}
	}
	before := len(c.items)
	for _, it := range d.Items {
		isNews := false
		switch {
		case isCurrentList:
			isNews = c.applyListed(it, known, d.Through)
		case c.isLateRemoval(it):
			it.Revision = max(it.Revision, known) + 1 // its true revision is at least that
			isNews = c.apply(it, d.EveryChange)
		case it.Revision > known:
			isNews = c.apply(it, d.EveryChange)
		}
		if isNews {
			changed = append(changed, c.items[it.Name])
		}
	}
	c.through = max(c.through, d.Through)
	if d.CurrentAt.After(c.currentAt) && d.Through >= c.through {
		c.currentAt = d.CurrentAt
	}
	if len(changed) > 0 || len(c.items) > before {
		c.pruneTombstones()
	}
	return changed
}

// isLateRemoval reports whether an item removes an object, and bears the revision of its last change instead of its own.
func (c *Cache) isLateRemoval(it Item) bool {
	old, had := c.items[it.Name]
	return had && it.Removed && !old.Removed && it.Revision == c.seen[it.Name]
}

// apply records an item unless a newer one of the object is known, and reports whether the object was added,
// changed or removed. The removal of an object that the cache never had is recorded as well: other
// daemons may have the object, and learn of the removal only from here.
func (c *Cache) apply(it Item, everyChange bool) (changed bool) {
	old, had := c.items[it.Name]
	if seen, ok := c.seen[it.Name]; ok && it.Revision <= seen {
		return false
	}
	c.seen[it.Name] = it.Revision
	isSame := had && old.Removed == it.Removed && bytes.Equal(old.Value, it.Value)
	if isSame && everyChange {
		return false
	}
	// If it is the last of several changes, the object may have been removed in between, as other daemons know.
	c.items[it.Name] = it
	return !isSame && (had && !old.Removed || !it.Removed)
}

// applyListed records an item of a full list, and reports whether the object was added or changed. The list is
// right about objects that did not change after it, whatever their revisions: those of another daemon's list are too low if
// a value has changed and changed back while that daemon did not follow the changes.
func (c *Cache) applyListed(it Item, known, through uint64) (changed bool) {
	old, had := c.items[it.Name]
	if had && old.Revision > through {
		return false
	}
	seen := c.seen[it.Name]
	c.seen[it.Name] = max(seen, it.Revision)
	if had && !old.Removed && bytes.Equal(old.Value, it.Value) {
		return false
	}
	if it.Revision <= max(known, seen) {
		it.Revision = through
	}
	c.items[it.Name], c.seen[it.Name] = it, max(seen, it.Revision)
	return true
}

// Since returns the delta for a daemon that knows every change up to a revision.
func (c *Cache) Since(revision uint64) Delta {
	isInGap := slices.ContainsFunc(c.gaps, func(g Gap) bool { return g.contains(revision) })
	d := Delta{Kind: c.kind, Through: c.through, CurrentAt: c.currentAt, Whole: revision == 0 || revision < c.prunedThrough || isInGap}
	if !d.Whole {
		d.Gaps = slices.DeleteFunc(slices.Clone(c.gaps), func(g Gap) bool { return g.To <= revision })
	}
	for _, it := range c.items {
		if d.Whole && !it.Removed || !d.Whole && it.Revision > revision {
			d.Items = append(d.Items, it)
		}
	}
	slices.SortFunc(d.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// IsFirstList reports whether the cache holds its first full list and no later change.
func (c *Cache) IsFirstList() bool {
	return len(c.gaps) == 1 && c.gaps[0] == Gap{To: c.through}
}

// removeUnlisted marks the objects that a full list does not name as removed. Objects that
// changed after the list was made stay.
func (c *Cache) removeUnlisted(d Delta) []Item {
	listed := map[string]bool{}
	for _, it := range d.Items {
		listed[it.Name] = true
	}
	var removed []Item
	for name, it := range c.items {
		if it.Removed || listed[name] || it.Revision > d.Through {
			continue
		}
		it = Item{Name: name, Revision: d.Through, Removed: true}
		c.items[name], c.seen[name] = it, it.Revision
		removed = append(removed, it)
	}
	return removed
}

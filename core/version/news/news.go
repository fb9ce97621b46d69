package news

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Kind names a sort of object.
type Kind string

// Kinds of objects, in the project's terms.
const (
	Config  Kind = "config"
	Servers Kind = "servers"
	Outs    Kind = "outs"    // data centres that are to get no work
	Daemons Kind = "daemons" // where daemons are found
	Tables  Kind = "tables"  // who holds which keys
)

// Kinds lists all kinds.
var Kinds = []Kind{Config, Servers, Outs, Daemons, Tables}

// Item is one object in the project's own form.
type Item struct {
	Name     string
	Revision uint64
	Removed  bool
	Value    []byte
}

// Delta are changes of one kind.
type Delta struct {
	Kind  Kind
	Items []Item
	// Through is the revision up to which the sender knows every change.
	Through uint64
	// Whole means that what is not among the items does not exist.
	Whole bool
	// At is when Through was known to be current, by the receiver's clock.
	CurrentAt time.Time
}

// Cache holds the objects of one kind.
type Cache struct {
	kind          Kind
	items         map[string]Item
	seen          map[string]uint64 // the highest revision seen of each, also of unchanged values
	through       uint64
	currentAt     time.Time
	prunedThrough uint64 // removals up to this revision are no longer remembered
}

// keepRemoved bounds the remembered removals. A daemon that knows less than
// the oldest of them gets the whole cache.
const maxTombstones = 512

// NewCache returns an empty Cache.
func NewCache(kind Kind) *Cache {
	return &Cache{kind: kind, items: map[string]Item{}, seen: map[string]uint64{}}
}

// Through is the revision up to which every change is known.
func (s *Cache) Through() uint64 { return s.through }

// At is when that revision was last known to be current; zero means never.
func (s *Cache) CurrentAt() time.Time { return s.currentAt }

// Get returns a present object.
func (s *Cache) Get(name string) (Item, bool) {
	it, ok := s.items[name]
	return it, ok && !it.Removed
}

// List returns the present objects by name.
func (s *Cache) List() []Item {
	out := make([]Item, 0, len(s.items))
	for _, it := range s.items {
		if !it.Removed {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Merge takes in changes and returns the objects that are not what they were.
// An object whose value did not change keeps its revision, so that it is not
// passed on again: a server's entry is rewritten every second or two.
func (s *Cache) Merge(d Delta) []Item {
	var changed []Item
	if d.Whole && d.Through >= s.through {
		changed = s.removeUnlisted(d)
	}
	for _, it := range d.Items {
		old, had := s.items[it.Name]
		if seen := s.seen[it.Name]; it.Revision < seen || it.Revision == seen && (!it.Removed || old.Removed) {
			continue // a removal may bear the revision of the last change
		}
		s.seen[it.Name] = it.Revision
		if had && old.Removed == it.Removed && bytes.Equal(old.Value, it.Value) {
			continue
		}
		if !had && it.Removed {
			continue
		}
		s.items[it.Name] = it
		changed = append(changed, it)
	}
	s.through = max(s.through, d.Through)
	if d.CurrentAt.After(s.currentAt) && d.Through >= s.through {
		s.currentAt = d.CurrentAt
	}
	if len(changed) > 0 {
		s.pruneTombstones()
	}
	return changed
}

// Since returns what a daemon lacks that knows every change through a revision.
func (s *Cache) Since(revision uint64) Delta {
	d := Delta{Kind: s.kind, Through: s.through, CurrentAt: s.currentAt, Whole: revision == 0 || revision < s.prunedThrough}
	for _, it := range s.items {
		if d.Whole && !it.Removed || !d.Whole && it.Revision > revision {
			d.Items = append(d.Items, it)
		}
	}
	slices.SortFunc(d.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// dropMissing removes what a whole list does not name. What was changed after
// that list was made stays.
func (s *Cache) removeUnlisted(d Delta) []Item {
	listed := map[string]bool{}
	for _, it := range d.Items {
		listed[it.Name] = true
	}
	var removed []Item
	for name, it := range s.items {
		if it.Removed || listed[name] || it.Revision > d.Through {
			continue
		}
		it = Item{Name: name, Revision: d.Through, Removed: true}
		s.items[name], s.seen[name] = it, it.Revision
		removed = append(removed, it)
	}
	return removed
}

func (s *Cache) pruneTombstones() {
	var tombstones []Item
	for _, it := range s.items {
		if it.Removed {
			tombstones = append(tombstones, it)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, it := range tombstones[:len(tombstones)-maxTombstones/2] {
		delete(s.items, it.Name)
		delete(s.seen, it.Name)
		s.prunedThrough = max(s.prunedThrough, it.Revision)
	}
}

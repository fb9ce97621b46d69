package grant

import (
	"encoding/json"
	"slices"
	"sort"
)

// Change is what differs between two tables of one epoch: a large service has
// hundreds of ranges, of which a move changes two, and tables go to every daemon.
type Change struct {
	// Base is the sequence of the table that the change is to be made to.
	BaseSeq uint64 `json:"base"`
	// Table holds the changed ranges only; fences are left out, since requests do
	// not need them.
	Table
}

// Since returns what changed since an older table; false means that the whole
// table is needed.
func (t Table) ChangeSince(old Table) (Change, bool) {
	if t.Epoch != old.Epoch || t.Leader != old.Leader || len(t.Services) != len(old.Services) {
		return Change{}, false
	}
	c := Change{BaseSeq: old.Seq, Table: t}
	c.Services = nil
	for i, s := range t.Services {
		if s.Service != old.Services[i].Service {
			return Change{}, false
		}
		if ranges := changedRanges(s.Ranges, old.Services[i].Ranges); len(ranges) > 0 {
			c.Services = append(c.Services, ServiceRanges{Service: s.Service, Ranges: ranges})
		}
	}
	return c, true
}

// changed lists the ranges that are not among the old ones, fences apart.
func changedRanges(current, old []Range) []Range {
	var out []Range
	for _, r := range current {
		i := sort.Search(len(old), func(i int) bool { return old[i].From >= r.From })
		if i < len(old) {
			o := old[i]
			o.Fence = r.Fence
			if o == r {
				continue
			}
		}
		r.Fence = 0
		out = append(out, r)
	}
	return out
}

// With makes a change to a table; false means that it was made for another one.
func (t Table) WithChange(c Change) (Table, bool) {
	if t.Epoch != c.Epoch || t.Seq != c.BaseSeq || t.Leader != c.Leader {
		return t, false
	}
	out := Table{Epoch: c.Epoch, Seq: c.Seq, Leader: c.Leader, Services: slices.Clone(t.Services)}
	for _, s := range c.Services {
		i := slices.IndexFunc(out.Services, func(o ServiceRanges) bool { return o.Service == s.Service })
		if i < 0 {
			return t, false
		}
		out.Services[i].Ranges = replaceOverlapping(out.Services[i].Ranges, s.Ranges)
	}
	return out, true
}

// overlaid puts ranges in the place of all that they overlap with.
func replaceOverlapping(old, changed []Range) []Range {
	out := slices.Clone(changed)
	for _, o := range old {
		i := sort.Search(len(changed), func(i int) bool { return changed[i].To >= o.From })
		if i == len(changed) || changed[i].From > o.To {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Range) int { return a.From - b.From })
	return out
}

// Marshal writes a change.
func (c Change) Marshal() ([]byte, error) { return json.Marshal(c) }

// UnmarshalChange reads a change.
func UnmarshalChange(data []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(data, &c)
	return c, err
}

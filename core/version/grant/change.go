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
	Base uint64 `json:"base"`
	// Table holds the changed ranges only; fences are left out, since requests do
	// not need them.
	Table
}

// Since returns what changed since an older table; false means that the whole
// table is needed.
func (t Table) Since(old Table) (Change, bool) {
	if t.Epoch != old.Epoch || t.Leader != old.Leader || len(t.Shares) != len(old.Shares) {
		return Change{}, false
	}
	c := Change{Base: old.Seq, Table: t}
	c.Shares = nil
	for i, s := range t.Shares {
		if s.Service != old.Shares[i].Service {
			return Change{}, false
		}
		if ranges := changed(s.Ranges, old.Shares[i].Ranges); len(ranges) > 0 {
			c.Shares = append(c.Shares, Share{Service: s.Service, Ranges: ranges})
		}
	}
	return c, true
}

// changed lists the ranges that are not among the old ones, fences apart.
func changed(now, old []Range) []Range {
	var out []Range
	for _, r := range now {
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
func (t Table) With(c Change) (Table, bool) {
	if t.Epoch != c.Epoch || t.Seq != c.Base || t.Leader != c.Leader {
		return t, false
	}
	out := Table{Epoch: c.Epoch, Seq: c.Seq, Leader: c.Leader, Shares: slices.Clone(t.Shares)}
	for _, s := range c.Shares {
		i := slices.IndexFunc(out.Shares, func(o Share) bool { return o.Service == s.Service })
		if i < 0 {
			return t, false
		}
		out.Shares[i].Ranges = overlaid(out.Shares[i].Ranges, s.Ranges)
	}
	return out, true
}

// overlaid puts ranges in the place of all that they overlap with.
func overlaid(old, changed []Range) []Range {
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

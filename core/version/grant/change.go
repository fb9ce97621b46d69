package grant

import (
	"encoding/json"
	"slices"
	"sort"
)

// Change is the difference between two tables of one epoch. It saves traffic: a large service
// has hundreds of ranges, a move changes two of them, and every daemon gets every table.
type Change struct {
	// BaseSeq is the sequence number of the table to which the change applies.
	BaseSeq uint64 `json:"base"`
	// Table holds only the changed ranges, without their fences, which daemons do not need to
	// route requests.
	Table
}

// ChangeSince returns the change from an older table to t; false means that the whole table is
// needed.
func (t Table) ChangeSince(old Table) (Change, bool) {
	if t.Epoch != old.Epoch || t.Leader != old.Leader || len(t.Services) != len(old.Services) {
		return Change{}, false
	}
	c := Change{BaseSeq: old.Seq, Table: t}
	c.Services, c.Witnesses, c.Earlier = nil, nil, nil // only the stored table needs them
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

// changedRanges returns the current ranges that differ from the old ones in more than the fence.
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

// WithChange returns the table with a change applied; false means that the change was made for
// another table.
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

// replaceOverlapping returns the old ranges with the changed ones in place of all that they
// overlap.
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

// Marshal returns the wire form.
func (c Change) Marshal() ([]byte, error) { return json.Marshal(c) }

// UnmarshalChange decodes the wire form of a change.
func UnmarshalChange(data []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(data, &c)
	return c, err
}

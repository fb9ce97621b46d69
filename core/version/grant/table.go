package grant

import (
	"encoding/json"
	"sort"
)

// LastKey is the highest key; keys are numbered from 0.
const LastKey = 65535

// Holder identifies one instance of a backend server, that is, one run of its process. The zero
// Holder means that there is none.
type Holder struct {
	Server string `json:"server"`
	// StartMillis is when the instance started, in Unix milliseconds. It distinguishes the
	// instances of a server.
	StartMillis int64 `json:"born"`
	// Address is stored for the case that the server is no longer listed: it still has to
	// release its ranges, and a later instance at that address may have accepted a grant
	// meant for this one.
	Address string `json:"address"`
}

// Range is an interval of keys that are granted together.
type Range struct {
	// From and To are both inclusive.
	From int `json:"from"`
	To   int `json:"to"`
	// Holder holds the range, or may hold it.
	Holder Holder `json:"holder"`
	// Next gets the range once Holder is known to have released it.
	Next Holder `json:"next"`
	// Fence is the fence of the last grant to Holder.
	Fence uint64 `json:"fence"`
	// Pending is set until Holder confirms the grant.
	Pending bool `json:"pending,omitempty"`
}

// IsOpen reports whether requests may be sent to the holder.
func (r Range) IsOpen() bool { return r.Holder.Server != "" && r.Next.Server == "" && !r.Pending }

// Contains reports whether a key lies in the range.
func (r Range) Contains(key int) bool { return r.From <= key && key <= r.To }

// ServiceRanges is the assignment of one service's keys, in ascending order and without gaps.
type ServiceRanges struct {
	Service string  `json:"service"`
	Ranges  []Range `json:"ranges"`
}

// Leader is the daemon that grants ranges.
type Leader struct {
	Daemon string `json:"daemon"`
	// Incarnation distinguishes the runs of the daemon's process.
	Incarnation uint64 `json:"incarnation"`
}

// Table is the assignment of the keys of all services.
type Table struct {
	Epoch  uint64 `json:"epoch"`
	Seq    uint64 `json:"seq"`
	Leader Leader `json:"leader"`
	// Witnesses bound the term of Leader. Only the stored table has them; there are none if the
	// leader does not depend on any.
	Witnesses []Witness `json:"witnesses,omitempty"`
	// Earlier are the terms before that of Leader that may not have ended. Only the stored table
	// has them.
	Earlier  []Term          `json:"earlier,omitempty"`
	Services []ServiceRanges `json:"shares"`
}

// Newer reports whether t replaces o.
func (t Table) Newer(o Table) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch > o.Epoch
	}
	return t.Seq > o.Seq
}

// RangeOf returns the range that contains a key; false if there is none.
func (t Table) RangeOf(service string, key int) (Range, bool) {
	for i := range t.Services {
		if t.Services[i].Service != service {
			continue
		}
		ranges := t.Services[i].Ranges
		n := sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
		if n < len(ranges) && ranges[n].Contains(key) {
			return ranges[n], true
		}
		return Range{}, false
	}
	return Range{}, false
}

// WithCompletedMoves returns the stored table t with those moves completed that its leader
// published as completed. The leader stores a completion late, since it can be determined
// again. A successor that starts from the stored table alone would close ranges whose new
// holder has confirmed them. This cannot hide a later move: the leader stores the intent of a
// move before it does anything else for it, so t would contain that intent.
func (t Table) WithCompletedMoves(published Table) Table {
	if published.Epoch != t.Epoch || published.Seq <= t.Seq {
		return t
	}
	services := make([]ServiceRanges, len(t.Services))
	for i, s := range t.Services {
		services[i] = ServiceRanges{Service: s.Service, Ranges: make([]Range, len(s.Ranges))}
		for j, r := range s.Ranges {
			p, ok := published.RangeOf(s.Service, r.From)
			completed := r.Next.Server != "" && p.Holder == r.Next || r.Pending && p.Holder == r.Holder
			if ok && p.From == r.From && p.To == r.To && p.IsOpen() && completed {
				r = p
			}
			services[i].Ranges[j] = r
		}
	}
	t.Services = services
	return t
}

// Marshal returns the stored form.
func (t Table) Marshal() ([]byte, error) { return json.Marshal(t) }

// UnmarshalHeader decodes the stored form without the ranges, which are most of it.
func UnmarshalHeader(data []byte) (Table, error) {
	var header struct {
		Epoch     uint64    `json:"epoch"`
		Seq       uint64    `json:"seq"`
		Leader    Leader    `json:"leader"`
		Witnesses []Witness `json:"witnesses"`
		Earlier   []Term    `json:"earlier"`
	}
	err := json.Unmarshal(data, &header)
	return Table{Epoch: header.Epoch, Seq: header.Seq, Leader: header.Leader, Witnesses: header.Witnesses, Earlier: header.Earlier}, err
}

// Unmarshal decodes the stored form.
func Unmarshal(data []byte) (Table, error) {
	var t Table
	err := json.Unmarshal(data, &t)
	return t, err
}

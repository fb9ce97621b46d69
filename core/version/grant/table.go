package grant

import (
	"encoding/json"
	"sort"
)

// LastKey is the highest key; keys are numbered from 0.
const LastKey = 65535

// Holder is one life of a backend server. The zero Holder is nobody.
type Holder struct {
	Server      string `json:"server"`
	StartMillis int64  `json:"born"`
	// Address is kept for when the server is no longer listed: it still has to
	// release, and another life there may have taken a grant meant for this one.
	Address string `json:"address"`
}

// Range is a stretch of keys that are granted together.
type Range struct {
	// From and To are both inclusive.
	From int `json:"from"`
	To   int `json:"to"`
	// Holder has the keys, or may have them.
	Holder Holder `json:"holder"`
	// Next is to get them once Holder is known to have let go.
	Next Holder `json:"next"`
	// Fence is that of the last grant to Holder.
	Fence uint64 `json:"fence"`
	// Pending means that Holder has not confirmed the grant yet.
	Pending bool `json:"pending,omitempty"`
}

// Open tells whether requests may be sent to the holder.
func (r Range) IsOpen() bool { return r.Holder.Server != "" && r.Next.Server == "" && !r.Pending }

// Has tells whether a key lies in the range.
func (r Range) Contains(key int) bool { return r.From <= key && key <= r.To }

// Share is the division of one service's keys, in order and without gaps.
type ServiceRanges struct {
	Service string  `json:"service"`
	Ranges  []Range `json:"ranges"`
}

// Leader is the daemon that gives grants.
type Leader struct {
	Daemon string `json:"daemon"`
	// Incarnation tells the daemon's lives apart.
	Incarnation uint64 `json:"incarnation"`
}

// Table is the division of the keys of all services.
type Table struct {
	Epoch    uint64          `json:"epoch"`
	Seq      uint64          `json:"seq"`
	Leader   Leader          `json:"leader"`
	Services []ServiceRanges `json:"shares"`
}

// Newer tells whether t replaces o.
func (t Table) Newer(o Table) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch > o.Epoch
	}
	return t.Seq > o.Seq
}

// Owner finds the range of a key.
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

// WithHeld returns the stored table with the moves completed that its own leader
// published as completed. The leader stores completions late, since they can be
// made out again; a successor that built on the stored form alone would close
// ranges that are held. A later move cannot be hidden by this: its intent would
// have been stored first, and this would not be the stored table.
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

// Marshal gives the stored form.
func (t Table) Marshal() ([]byte, error) { return json.Marshal(t) }

// UnmarshalHead reads all of the stored form but the shares, which are most of it.
func UnmarshalHeader(data []byte) (Table, error) {
	var header struct {
		Epoch  uint64 `json:"epoch"`
		Seq    uint64 `json:"seq"`
		Leader Leader `json:"leader"`
	}
	err := json.Unmarshal(data, &header)
	return Table{Epoch: header.Epoch, Seq: header.Seq, Leader: header.Leader}, err
}

// Unmarshal reads the stored form.
func Unmarshal(data []byte) (Table, error) {
	var t Table
	err := json.Unmarshal(data, &t)
	return t, err
}

package shard

import (
	"encoding/json"
	"maps"
	"slices"
)

// Homes says which data centre is the home of each shard. It is one platform
// object; treat a value as immutable.
type Homes struct {
	// DataCentres are the names that the rows index.
	DataCentres []string `json:"dataCentres"`
	// Rows hold, for each service, the home of each shard.
	Rows map[string][]int `json:"rows"`
	// Sources hold, for each service, where the ledger of a shard was kept
	// before it came to its home; an index into Ledgers, or None.
	Sources map[string][]int `json:"sources"`
	// Was holds, for each service, the epoch that a shard had there.
	Was map[string][]uint64 `json:"was"`
	// Moved counts, for each service, how often a shard has changed its home.
	Moved map[string][]uint64 `json:"moved"`
	// Ledgers are the places that Sources index.
	Ledgers []Ledger `json:"ledgers"`
	// Floors hold, for each data centre, the leader's epoch that last wrote. A
	// leader below its floor has been replaced and must not write: its move,
	// delayed since before the replacement, would give away shards that the new
	// leader has assigned again.
	Floors map[string]uint64 `json:"floors"`
	// Writer is the token of the write that made this version.
	Writer string `json:"writer"`
}

// Ledger names where the ids of a shard were kept: the ledger of one server
// under one fencing token.
type Ledger struct {
	DataCentre string `json:"dataCentre"`
	Server     string `json:"server"`
	Token      uint64 `json:"token"`
}

// UnmarshalHomes reads the stored form; empty data is an empty value.
func UnmarshalHomes(data []byte) (Homes, error) {
	var h Homes
	if len(data) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(data, &h); err != nil {
		return h, &Error{Op: "unmarshal homes", Kind: Malformed, Err: err}
	}
	return h, nil
}

// Marshal gives the stored form.
func (h Homes) Marshal() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic(err) // only strings and numbers: cannot happen
	}
	return data
}

// Home returns the home of a shard, or "" when it has none yet.
func (h Homes) Home(service string, s uint32) string {
	row := h.Rows[service]
	if int(s) >= len(row) || row[s] < 0 {
		return ""
	}
	return h.DataCentres[row[s]]
}

// Source returns where the ledger of a shard was kept before it came home, and
// its epoch there; the zero Ledger when there was none.
func (h Homes) Source(service string, s uint32) (l Ledger, was uint64) {
	row := h.Sources[service]
	if int(s) >= len(row) || row[s] < 0 {
		return Ledger{}, 0
	}
	return h.Ledgers[row[s]], h.Was[service][s]
}

// Moves returns how often a shard has changed its home.
func (h Homes) Moves(service string, s uint32) uint64 {
	if row := h.Moved[service]; int(s) < len(row) {
		return row[s]
	}
	return 0
}

// Index returns a data centre's place in DataCentres, or None.
func (h Homes) Index(dataCentre string) int { return slices.Index(h.DataCentres, dataCentre) }

// Clone copies all that With methods and planners change.
func (h Homes) Clone() Homes {
	h.DataCentres = slices.Clone(h.DataCentres)
	h.Rows = cloneRows(h.Rows)
	h.Sources = cloneRows(h.Sources)
	h.Was = cloneRows(h.Was)
	h.Moved = cloneRows(h.Moved)
	h.Ledgers = slices.Clone(h.Ledgers)
	if h.Floors = maps.Clone(h.Floors); h.Floors == nil {
		h.Floors = map[string]uint64{}
	}
	return h
}

// WithDataCentres adds the data centres that it does not know yet.
func (h Homes) WithDataCentres(names []string) Homes {
	h = h.Clone()
	for _, n := range names {
		if h.Index(n) == None {
			h.DataCentres = append(h.DataCentres, n)
		}
	}
	return h
}

// WithService adds rows for a service that has none.
func (h Homes) WithService(service string, row []int) Homes {
	h = h.Clone()
	h.Rows[service] = row
	h.Sources[service] = slices.Repeat([]int{None}, len(row))
	h.Was[service] = make([]uint64, len(row))
	h.Moved[service] = make([]uint64, len(row))
	return h
}

// WithHome moves one shard; from names where its ledger was kept, and was the
// epoch that it had there.
func (h Homes) WithHome(service string, s uint32, dataCentre int, from Ledger, was uint64) Homes {
	h = h.Clone()
	h.Rows[service][s] = dataCentre
	h.Was[service][s] = was
	h.Moved[service][s]++
	at := slices.Index(h.Ledgers, from)
	if at < 0 {
		at = len(h.Ledgers)
		h.Ledgers = append(h.Ledgers, from)
	}
	h.Sources[service][s] = at
	return h
}

// WithFloor raises a data centre's floor.
func (h Homes) WithFloor(dataCentre string, epoch uint64) Homes {
	h = h.Clone()
	h.Floors[dataCentre] = max(h.Floors[dataCentre], epoch)
	return h
}

// Compact drops the ledgers that no shard names any more.
func (h Homes) Compact() Homes {
	h = h.Clone()
	moved := make(map[int]int)
	var kept []Ledger
	for _, row := range h.Sources {
		for s, at := range row {
			if at < 0 {
				continue
			}
			to, ok := moved[at]
			if !ok {
				to = len(kept)
				kept = append(kept, h.Ledgers[at])
				moved[at] = to
			}
			row[s] = to
		}
	}
	h.Ledgers = kept
	return h
}

func cloneRows[T any](rows map[string][]T) map[string][]T {
	out := make(map[string][]T, len(rows))
	for k, v := range rows {
		out[k] = slices.Clone(v)
	}
	return out
}

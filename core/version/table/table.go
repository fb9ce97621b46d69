package table

import (
	"encoding/json"
	"maps"
	"slices"

	"catkinstep/core/version/shard"
)

// counterBits is how many bits of an epoch count assignments of one data
// centre; the bits above hold the version of the homes it builds on.
const counterBits = 32

// Table is the assignments of one data centre. A value that was published is
// immutable; a leader changes a Clone.
type Table struct {
	DataCentre string `json:"dataCentre"`
	// Epoch counts the leaders of the data centre.
	Epoch uint64 `json:"epoch"`
	// Freed counts how often releases that were not needed were given back.
	// Epoch and Freed are the term that releases are bound to.
	Freed uint64 `json:"freed"`
	// Leader is the daemon that may write this table.
	Leader Daemon `json:"leader"`
	// Daemons are the known daemons of the data centre.
	Daemons []Daemon `json:"daemons"`
	// Counter is the last fencing token or assignment number given out.
	Counter uint64 `json:"counter"`
	// HomesSeen is the highest version of the homes that epochs build on.
	HomesSeen uint64 `json:"homesSeen"`
	// Dispatches hold, by backend server, who sends to it.
	Dispatches map[string]Dispatch `json:"dispatches"`
	// Rows hold, by service, the owners of its shards.
	Rows map[string]Row `json:"rows"`
	// Writer is the token of the write that made this version.
	Writer string `json:"writer"`
}

// Daemon is one run of a daemon: its address and the incarnation of its
// process. A daemon that restarted at the same address is another one, since
// it has lost its ledger.
type Daemon struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

// Dispatch says which daemon sends to a server.
type Dispatch struct {
	Daemon Daemon `json:"daemon"`
	// Backup holds a copy of the dispatcher's ledger.
	Backup Daemon `json:"backup"`
	// Token is the fencing token that goes with the server's orders.
	Token uint64 `json:"token"`
	// Before is the token of the dispatcher before, whose ledger must be taken
	// over; zero when there was none.
	Before uint64 `json:"before"`
}

// Row is the owners of one service's shards.
type Row struct {
	// Servers are the addresses that Owner indexes.
	Servers []string `json:"servers"`
	// Owner holds each shard's server, or shard.None.
	Owner []int `json:"owner"`
	// Epoch holds the epoch of each shard's assignment.
	Epoch []uint64 `json:"epoch"`
	// Source holds where each shard's ledger was before; index or None.
	Source []int `json:"source"`
	// Was holds the epoch that each shard had at its source.
	Was []uint64 `json:"was"`
	// Moved is how often each shard had changed its home when it was assigned.
	Moved []uint64 `json:"moved"`
	// Leaving marks shards that are being given to another home. Nobody here
	// may own them again until a write of the homes has settled it.
	Leaving []bool `json:"leaving"`
	// Ledgers are the places that Source indexes.
	Ledgers []shard.Ledger `json:"ledgers"`
}

// Unmarshal reads the stored form; empty data is an empty table.
func Unmarshal(data []byte) (Table, error) {
	var t Table
	if len(data) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return t, &Error{Op: "unmarshal", Kind: Malformed, Err: err}
	}
	return t, nil
}

// Marshal gives the stored form.
func (t Table) Marshal() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // only strings and numbers: cannot happen
	}
	return data
}

// Clone copies the table so that the copy may be changed.
func (t Table) Clone() Table {
	t.Daemons = slices.Clone(t.Daemons)
	if t.Dispatches = maps.Clone(t.Dispatches); t.Dispatches == nil {
		t.Dispatches = map[string]Dispatch{}
	}
	rows := make(map[string]Row, len(t.Rows))
	for k, r := range t.Rows {
		r.Servers = slices.Clone(r.Servers)
		r.Owner = slices.Clone(r.Owner)
		r.Epoch = slices.Clone(r.Epoch)
		r.Source = slices.Clone(r.Source)
		r.Was = slices.Clone(r.Was)
		r.Moved = slices.Clone(r.Moved)
		r.Leaving = slices.Clone(r.Leaving)
		r.Ledgers = slices.Clone(r.Ledgers)
		rows[k] = r
	}
	t.Rows = rows
	return t
}

// Owner returns the server that owns a shard.
func (t Table) Owner(service string, s uint32) (string, bool) {
	r, ok := t.Rows[service]
	if !ok || int(s) >= len(r.Owner) || r.Owner[s] < 0 {
		return "", false
	}
	return r.Servers[r.Owner[s]], true
}

// LedgerSource says where the ledger of a shard must be taken from, by the
// numbers of the shard's assignment and of its server's dispatcher: whichever
// happened last names the place. was is the epoch that the shard had there: a
// copy of an earlier time, before the shard went away and came back, must not
// be taken for complete. The zero Ledger means there never was one.
func (t Table) LedgerSource(service string, s uint32) (l shard.Ledger, was uint64) {
	r := t.Rows[service]
	server, ok := t.Owner(service, s)
	if !ok {
		return shard.Ledger{}, 0
	}
	d := t.Dispatches[server]
	if r.Epoch[s]&(1<<counterBits-1) < d.Token {
		if d.Before == 0 {
			return shard.Ledger{}, 0
		}
		return shard.Ledger{DataCentre: t.DataCentre, Server: server, Token: d.Before}, r.Epoch[s]
	}
	if r.Source[s] < 0 {
		return shard.Ledger{}, 0
	}
	return r.Ledgers[r.Source[s]], r.Was[s]
}

// Term is what a release is bound to. It never comes back once it has changed,
// and every write is conditional on a version, so that a dispatcher which has
// seen another term knows that no write can build on what it released.
type Term struct{ Epoch, Freed uint64 }

// Term returns the table's term.
func (t Table) Term() Term { return Term{t.Epoch, t.Freed} }

// ServiceOf returns the service of a server that has or had shards here, also
// when the site no longer names it.
func (t Table) ServiceOf(server string) string {
	for _, name := range slices.Sorted(maps.Keys(t.Rows)) {
		if slices.Contains(t.Rows[name].Servers, server) {
			return name
		}
	}
	return ""
}

// OwnerEpoch returns the epoch of a shard if a server owns it.
func (t Table) OwnerEpoch(service string, s uint32, server string) (epoch uint64, ok bool) {
	if owner, have := t.Owner(service, s); !have || owner != server {
		return 0, false
	}
	return t.Rows[service].Epoch[s], true
}

// Knows tells whether the table lists a daemon.
func (t Table) Knows(d Daemon) bool { return slices.Contains(t.Daemons, d) }

// SetDispatch gives a server to a dispatcher under a new fencing token.
func (t *Table) SetDispatch(server string, d, backup Daemon) {
	t.Counter++
	t.Dispatches[server] = Dispatch{Daemon: d, Backup: backup, Token: t.Counter, Before: t.Dispatches[server].Token}
}

// EnsureRow makes room for a service's shards and servers.
func (t *Table) EnsureRow(service string, shards int, servers []string) {
	r, ok := t.Rows[service]
	if !ok {
		r = Row{
			Owner:   slices.Repeat([]int{shard.None}, shards),
			Epoch:   make([]uint64, shards),
			Source:  slices.Repeat([]int{shard.None}, shards),
			Was:     make([]uint64, shards),
			Moved:   make([]uint64, shards),
			Leaving: make([]bool, shards),
		}
	}
	for _, s := range servers {
		if !slices.Contains(r.Servers, s) {
			r.Servers = append(r.Servers, s)
		}
	}
	t.Rows[service] = r
}

// Assign makes a server the owner of a shard under a new epoch. The caller
// must know that the owner before has stopped.
func (t *Table) Assign(service string, s uint32, server int, from shard.Ledger, was uint64, homes shard.Homes, version uint64) {
	r := t.Rows[service]
	t.Counter++
	t.HomesSeen = max(t.HomesSeen, version)
	r.Moved[s] = homes.Moves(service, s)
	r.Owner[s] = server
	r.Epoch[s] = t.HomesSeen<<counterBits | t.Counter
	r.setSource(s, from, was)
	t.Rows[service] = r
}

// Leave takes a shard from its owner, to be given to another home; from names
// the ledger that holds its ids, and was its epoch there.
func (t *Table) Leave(service string, s uint32, from shard.Ledger, was uint64) {
	r := t.Rows[service]
	r.Owner[s] = shard.None
	r.Leaving[s] = true
	r.setSource(s, from, was)
	t.Rows[service] = r
}

// LastLedger names the ledger that holds a shard's ids now, and the epoch that
// the shard has there: that of its owner's dispatcher or, without an owner, the
// one it was left with.
func (t Table) LastLedger(service string, s uint32) (l shard.Ledger, was uint64) {
	r := t.Rows[service]
	if server, ok := t.Owner(service, s); ok {
		return shard.Ledger{DataCentre: t.DataCentre, Server: server, Token: t.Dispatches[server].Token}, r.Epoch[s]
	}
	if int(s) < len(r.Source) && r.Source[s] >= 0 {
		return r.Ledgers[r.Source[s]], r.Was[s]
	}
	return shard.Ledger{}, 0
}

// Compact drops ledgers that no shard names, which else would grow by one with
// every move.
func (t *Table) Compact() {
	for name, r := range t.Rows {
		moved := map[int]int{}
		var kept []shard.Ledger
		for s, at := range r.Source {
			if at < 0 {
				continue
			}
			to, ok := moved[at]
			if !ok {
				to = len(kept)
				kept = append(kept, r.Ledgers[at])
				moved[at] = to
			}
			r.Source[s] = to
		}
		r.Ledgers = kept
		t.Rows[name] = r
	}
}

func (r *Row) setSource(s uint32, from shard.Ledger, was uint64) {
	r.Source[s] = shard.None
	r.Was[s] = was
	if from == (shard.Ledger{}) {
		return
	}
	r.Source[s] = slices.Index(r.Ledgers, from)
	if r.Source[s] < 0 {
		r.Source[s] = len(r.Ledgers)
		r.Ledgers = append(r.Ledgers, from)
	}
}

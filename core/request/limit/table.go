package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPerSecond is the least rate at which requests are sent to a server, however little it
	// takes: without a response nobody would learn that its need is over.
	minPerSecond = 0.25
	// minChange is the relative change of a limit from which other daemons are sent it at once.
	minChange = 0.1
	// endedRetention is how long it is remembered that a limit has ended. Other daemons may still
	// send what they knew before.
	endedRetention = time.Minute
)

// Limit is how many requests a second an instance of a server takes from all daemons together.
type Limit struct {
	Server      string
	StartMillis int64
	// PerSecond is 0 if the server names no limit any more.
	PerSecond float64
	// ObservedAt is when the response arrived that says so.
	ObservedAt time.Time
}

// Stands reports whether the server names a limit.
func (l Limit) Stands() bool { return l.PerSecond > 0 }

// Normalise returns the rate to keep to for a number that a server named, and false if the number
// makes no sense.
func Normalise(named float64) (perSecond float64, ok bool) {
	if math.IsNaN(named) || math.IsInf(named, 0) || named < 0 {
		return 0, false
	}
	return max(minPerSecond, named), true
}

// Table holds the limits that one daemon knows. It is not safe for concurrent use.
type Table struct {
	entries map[string]entry // by server
	digest  uint64
}

type entry struct {
	Limit
	changedAt time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: map[string]entry{}} }

// Merge adds what a daemon found in a response, unless something newer is known. It reports
// whether the limit began, ended or changed by more than a little.
func (t *Table) Merge(now time.Time, l Limit) (changed bool) {
	old, known := t.entries[l.Server]
	if !known && !l.Stands() || known && !isNewer(l, old.Limit) {
		return false
	}
	next := entry{Limit: l, changedAt: old.changedAt}
	if changed = hasChanged(old.Limit, l); changed {
		next.changedAt = now
	}
	t.put(next)
	return changed
}

// isNewer reports whether what is found in one response is newer than what is known. Clocks of
// servers only order the instances of one server.
func isNewer(l, old Limit) bool {
	if l.StartMillis != old.StartMillis {
		return l.StartMillis > old.StartMillis
	}
	return l.ObservedAt.After(old.ObservedAt)
}

func hasChanged(old, l Limit) bool {
	if old.Stands() != l.Stands() || l.Stands() && old.StartMillis != l.StartMillis {
		return true
	}
	return math.Abs(l.PerSecond-old.PerSecond) > minChange*old.PerSecond
}

func (t *Table) put(e entry) {
	t.remove(e.Server)
	t.entries[e.Server] = e
	t.digest ^= digestOf(e.Limit)
}

func (t *Table) remove(server string) {
	if old, ok := t.entries[server]; ok {
		t.digest ^= digestOf(old.Limit)
		delete(t.entries, server)
	}
}

// digestOf hashes which instance has a limit. How high it is changes often, and is not hashed.
func digestOf(l Limit) uint64 {
	if !l.Stands() {
		return 0
	}
	return xxhash.Sum64String(l.Server) ^ uint64(l.StartMillis)
}

// Find returns the limit of a server instance, if it stands.
func (t *Table) Find(server string, startMillis int64) (Limit, bool) {
	e, ok := t.entries[server]
	return e.Limit, ok && e.Stands() && e.StartMillis == startMillis
}

// Digest is the same for two daemons that know limits of the same servers.
func (t *Table) Digest() uint64 { return t.digest }

// Changed returns up to n limits that changed since a time, the latest changes first.
func (t *Table) Changed(since time.Time, n int) []Limit {
	var changed []entry
	for _, e := range t.entries {
		if !e.changedAt.Before(since) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b entry) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.Server, b.Server))
	})
	var out []Limit
	for _, e := range changed[:min(n, len(changed))] {
		out = append(out, e.Limit)
	}
	return out
}

// Sample returns up to n limits that stand or have ended, chosen at random.
func (t *Table) Sample(n int) []Limit {
	var out []Limit
	for _, e := range t.entries { // in random order
		if len(out) == n {
			break
		}
		out = append(out, e.Limit)
	}
	return out
}

// PerSecond returns the limits that stand, by server.
func (t *Table) PerSecond() map[string]float64 {
	out := map[string]float64{}
	for server, e := range t.entries {
		if e.Stands() {
			out[server] = e.PerSecond
		}
	}
	return out
}

// Standing returns the number of servers whose limits stand.
func (t *Table) Standing() int {
	n := 0
	for _, e := range t.entries {
		if e.Stands() {
			n++
		}
	}
	return n
}

// Prune removes the limits of servers that are gone, and those that ended long ago.
func (t *Table) Prune(now time.Time, exists func(server string) bool) {
	for server, e := range t.entries {
		if !exists(server) || !e.Stands() && now.Sub(e.changedAt) > endedRetention {
			t.remove(server)
		}
	}
}

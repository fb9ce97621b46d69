package notice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"catkinstep/core/version/fleet"
)

const (
	// returnSpread is the share of a rest over which the hosts' first requests after it are spread,
	// and maxReturnSpread bounds it. A full server asks many hosts for rest at the same moment, and
	// all of their load would come back at another one.
	returnSpread    = 0.2
	maxReturnSpread = time.Second
	// leavingTTL is how long a server counts as leaving whose entry does not say when it started: its
	// next instance looks the same.
	leavingTTL = time.Minute
	// endedRetention is how long it is remembered that a server left that is no longer listed. Its entry
	// may come back for a while.
	endedRetention = 10 * time.Minute
)

// Status is what is known of one server instance.
type Status struct {
	// RestUntil is until when the instance wants no requests from this host; it may be past.
	RestUntil time.Time
	Leaving   bool
}

// Rests reports whether the instance wants no requests now.
func (s Status) Rests(now time.Time) bool { return now.Before(s.RestUntil) }

// Change is what was new in a notice.
type Change struct {
	// Rests is set if a rest began or became longer, and RestUntil is its end.
	Rests     bool
	RestUntil time.Time
	// Leaves is set if it was not known that the instance is leaving.
	Leaves bool
}

// Leaving says that an instance of a server is leaving.
type Leaving struct {
	Server      string
	StartMillis int64
	// SaidAt is when it said so, to any host.
	SaidAt time.Time
}

// record is what one instance announced.
type record struct {
	address     string
	startMillis int64
	// connOpenedAt is when the connection was opened on which it said so.
	connOpenedAt time.Time
	restUntil    time.Time
	leaving      bool
	saidAt       time.Time
}

// concerns reports whether a record is of the instance that an entry describes. Until the entry of a new
// instance arrives, it is taken for the one before, at the same address. Its responses come over
// connections that were opened after its start.
func (r record) concerns(s fleet.Server) bool {
	if r.startMillis == s.StartMillis {
		return true
	}
	return r.startMillis < s.StartMillis && r.address == s.Address && r.connOpenedAt.UnixMilli() >= s.StartMillis
}

// covers reports whether a record makes another one needless.
func (r record) covers(other record) bool {
	return r.startMillis == other.startMillis && r.address == other.address && !r.connOpenedAt.Before(other.connOpenedAt) &&
		!r.restUntil.Before(other.restUntil) && (r.leaving || !other.leaving)
}

// Table holds the notices of all servers that one host knows.
type Table struct {
	random  *rand.Rand
	records map[string][]record // by server
}

// NewTable returns an empty Table. The seed should differ between hosts.
func NewTable(seed uint64) *Table {
	return &Table{random: rand.New(rand.NewPCG(seed, 59)), records: map[string][]record{}}
}

// Len returns the number of servers of which anything is known.
func (t *Table) Len() int { return len(t.records) }

// Add records what an instance announced in a response that has just arrived, on a connection that was
// opened at connOpenedAt.
func (t *Table) Add(now time.Time, s fleet.Server, connOpenedAt time.Time, n Notice) Change {
	if n.IsEmpty() {
		return Change{}
	}
	before := t.Status(now, s)
	next := record{address: s.Address, startMillis: s.StartMillis, connOpenedAt: connOpenedAt, leaving: n.Leaving, saidAt: now}
	if n.Rest > 0 {
		spread := min(returnSpread*n.Rest.Seconds(), maxReturnSpread.Seconds()) * t.random.Float64()
		next.restUntil = now.Add(n.Rest + time.Duration(spread*float64(time.Second)))
	}
	t.add(s.ID, next)
	after := t.Status(now, s)
	return Change{Rests: after.RestUntil.After(before.RestUntil), RestUntil: after.RestUntil, Leaves: after.Leaving && !before.Leaving}
}

// AddLeaving records that an instance said to another host that it is leaving. It reports whether that
// was not known.
func (t *Table) AddLeaving(now time.Time, l Leaving) (added bool) {
	next := record{startMillis: l.StartMillis, leaving: true, saidAt: l.SaidAt}
	if !next.isLeaving(now) || t.Status(now, fleet.Server{ID: l.Server, StartMillis: l.StartMillis}).Leaving {
		return false
	}
	t.add(l.Server, next)
	return true
}

func (t *Table) add(server string, next record) {
	records := t.records[server]
	for i, old := range records {
		if old.covers(next) {
			records[i].saidAt = later(old.saidAt, next.saidAt)
			return
		}
	}
	t.records[server] = append(slices.DeleteFunc(records, next.covers), next)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isLeaving reports whether the record says that its instance is leaving.
func (r record) isLeaving(now time.Time) bool {
	return r.leaving && (r.startMillis != 0 || now.Sub(r.saidAt) < leavingTTL)
}

// Status returns what is known of a server instance.
func (t *Table) Status(now time.Time, s fleet.Server) Status {
	var out Status
	for _, r := range t.records[s.ID] {
		if !r.concerns(s) {
			continue
		}
		out.RestUntil = later(out.RestUntil, r.restUntil)
		out.Leaving = out.Leaving || r.isLeaving(now)
	}
	return out
}

// Leaving returns the listed instances that are leaving, ordered by server.
func (t *Table) Leaving(now time.Time, f *fleet.Fleet) []Leaving {
	var out []Leaving
	for server, records := range t.records {
		s, ok := f.Find(server)
		if !ok || !t.Status(now, s).Leaving {
			continue
		}
		l := Leaving{Server: server, StartMillis: s.StartMillis}
		for _, r := range records {
			if r.concerns(s) && r.isLeaving(now) {
				l.SaidAt = later(l.SaidAt, r.saidAt)
			}
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Leaving) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Prune forgets rests that are over, and instances that ended long ago.
func (t *Table) Prune(now time.Time, f *fleet.Fleet) {
	for server, records := range t.records {
		listed, isListed := f.Find(server)
		records = slices.DeleteFunc(records, func(r record) bool {
			if isListed && r.concerns(listed) && r.isLeaving(now) {
				return false
			}
			return !now.Before(r.restUntil) && (!r.isLeaving(now) || now.Sub(r.saidAt) > endedRetention)
		})
		t.records[server] = records
		if len(records) == 0 {
			delete(t.records, server)
		}
	}
}

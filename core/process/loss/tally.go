package loss

import (
	"cmp"
	"slices"
	"time"
)

// By is what lost requests are sorted by.
type By int

// Orders of a Tally.
const (
	ByCause By = iota
	ByRoute
	ByTime
	ByServer
	ByKeys
	orders
)

// Row is one line of a table: how many requests were lost of what, and their most
// frequent cause.
type Row struct {
	Of    string
	Lost  int
	Cause string
	// OfCause is how many of them had that cause.
	OfCause int
}

// causes counts lost requests by cause.
type causes map[string]int

// Tally counts lost requests.
type Tally struct {
	window time.Duration
	counts [orders]map[string]causes
}

// New returns an empty Tally that tells windows of time apart.
func New(window time.Duration) *Tally {
	t := &Tally{window: window}
	for i := range t.counts {
		t.counts[i] = map[string]causes{}
	}
	return t
}

// Add counts a lost request.
func (t *Tally) Add(l Line) {
	of := [orders]string{
		ByCause: l.cause(), ByRoute: l.Route, ByTime: l.Time.UTC().Truncate(t.window).Format("15:04:05.0"), ByServer: l.Server, ByKeys: l.keys(),
	}
	for by, name := range of {
		if name == "" {
			continue // the line does not tell
		}
		if t.counts[by][name] == nil {
			t.counts[by][name] = causes{}
		}
		t.counts[by][name][l.cause()]++
	}
}

// Rows lists the counts, those of times in their order, all others the largest
// first.
func (t *Tally) Rows(by By) []Row {
	var out []Row
	for name, c := range t.counts[by] {
		out = append(out, c.row(name))
	}
	slices.SortFunc(out, func(a, b Row) int {
		if by == ByTime {
			return cmp.Compare(a.Of, b.Of)
		}
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Of, b.Of))
	})
	return out
}

func (c causes) row(of string) Row {
	r := Row{Of: of}
	for cause, n := range c {
		r.Lost += n
		if n > r.OfCause || n == r.OfCause && cause < r.Cause {
			r.Cause, r.OfCause = cause, n
		}
	}
	return r
}

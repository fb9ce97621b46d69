package loss

import (
	"cmp"
	"slices"
	"time"
)

// Dimension is what lost requests are grouped by.
type Dimension int

// Dimensions of a Tally.
const (
	ByCause Dimension = iota
	ByRoute
	ByTime
	ByServer
	ByKeys
	dimensionCount
)

// Row is the number of lost requests of one group, such as one route, and their most
// frequent cause.
type Row struct {
	Group    string
	Lost     int
	TopCause string
	// TopCauseCount is the number of lost requests with that cause.
	TopCauseCount int
}

// causeCounts maps a cause to its number of lost requests.
type causeCounts map[string]int

// Tally counts lost requests by dimension, group and cause.
type Tally struct {
	interval time.Duration
	counts   [dimensionCount]map[string]causeCounts
}

// New returns an empty Tally that groups times into intervals of the given length.
func New(interval time.Duration) *Tally {
	t := &Tally{interval: interval}
	for i := range t.counts {
		t.counts[i] = map[string]causeCounts{}
	}
	return t
}

// Add counts a lost request.
func (t *Tally) Add(e Entry) {
	groups := [dimensionCount]string{
		ByCause: e.cause(), ByRoute: e.Route, ByTime: e.Time.UTC().Truncate(t.interval).Format("15:04:05.0"), ByServer: e.Server, ByKeys: e.keyRange(),
	}
	for dimension, name := range groups {
		if name == "" {
			continue // the entry does not have this dimension
		}
		if t.counts[dimension][name] == nil {
			t.counts[dimension][name] = causeCounts{}
		}
		t.counts[dimension][name][e.cause()]++
	}
}

// Rows returns the groups of a dimension: times in chronological order, all others with
// the largest count first.
func (t *Tally) Rows(dimension Dimension) []Row {
	var rows []Row
	for name, c := range t.counts[dimension] {
		rows = append(rows, c.row(name))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if dimension == ByTime {
			return cmp.Compare(a.Group, b.Group)
		}
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Group, b.Group))
	})
	return rows
}

func (c causeCounts) row(group string) Row {
	r := Row{Group: group}
	for cause, n := range c {
		r.Lost += n
		if n > r.TopCauseCount || n == r.TopCauseCount && cause < r.TopCause {
			r.TopCause, r.TopCauseCount = cause, n
		}
	}
	return r
}

package fair

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// window is the time over which requests are averaged.
	window = 4 * time.Second
	// refreshInterval is the time between two updates of which workspaces are heavy. An update
	// looks at all workspaces of the last seconds.
	refreshInterval = 250 * time.Millisecond
	// overloadShare is the share of refused requests from which servers count as overloaded.
	overloadShare = 0.05
	// heavyShare is the share of a daemon's requests from which a workspace may be heavy. One that
	// sends less cannot push out the others.
	heavyShare = 0.1
	// heavyFactor is how many times the mean of the other workspaces, by weight, a heavy one asks for.
	heavyFactor = 2.0
	// minCount is the count below which a workspace is forgotten.
	minCount = 0.05
)

// Meter counts the requests that a daemon receives, by workspace. It is not safe for concurrent use.
type Meter struct {
	demands     map[string]demand
	refused     float64
	heavy       map[string]bool
	refreshedAt time.Time
}

// demand is the requests of a workspace in the last window, and its weight.
type demand struct{ requests, weight float64 }

// NewMeter returns a Meter without any counts.
func NewMeter() *Meter { return &Meter{demands: map[string]demand{}} }

// Record counts a request of a workspace, and reports whether other workspaces than before are
// heavy now. Workspaces should be served in proportion to their weights, which are positive.
func (m *Meter) Record(now time.Time, workspace string, weight float64) (heavyChanged bool) {
	heavyChanged = m.refresh(now)
	m.demands[workspace] = demand{requests: m.demands[workspace].requests + 1, weight: weight}
	return heavyChanged
}

// RecordRefusal counts a request that was refused because servers were busy.
func (m *Meter) RecordRefusal() { m.refused++ }

// IsHeavy reports whether requests of a workspace should be refused before those of others.
func (m *Meter) IsHeavy(workspace string) bool { return m.heavy[workspace] }

// Heavy returns the names of the heavy workspaces in alphabetical order. There are fewer than
// 1/heavyShare of them.
func (m *Meter) Heavy() []string { return slices.Sorted(maps.Keys(m.heavy)) }

// refresh ages all counts and determines the heavy workspaces, if that is due. It reports whether
// they have changed.
func (m *Meter) refresh(now time.Time) bool {
	elapsed := now.Sub(m.refreshedAt)
	if elapsed < refreshInterval {
		return false
	}
	m.refreshedAt = now
	total := m.age(math.Exp(-elapsed.Seconds() / window.Seconds()))
	before := m.heavy
	m.heavy = map[string]bool{}
	if m.refused >= overloadShare*total.requests {
		for name, d := range m.demands {
			if d.isHeavy(total) {
				m.heavy[name] = true
			}
		}
	}
	return !maps.Equal(before, m.heavy)
}

// age multiplies all counts by a factor, forgets the smallest, and returns the sum of the others.
func (m *Meter) age(factor float64) (total demand) {
	m.refused *= factor
	for name, d := range m.demands {
		d.requests *= factor
		if d.requests < minCount {
			delete(m.demands, name)
			continue
		}
		m.demands[name] = d
		total.requests += d.requests
		total.weight += d.weight
	}
	return total
}

// isHeavy reports whether a workspace is heavy, given the sum of all. One that is alone is not.
func (d demand) isHeavy(total demand) bool {
	othersRequests, othersWeight := total.requests-d.requests, total.weight-d.weight
	return othersWeight > 0 && d.requests > heavyShare*total.requests && d.requests/d.weight > heavyFactor*othersRequests/othersWeight
}

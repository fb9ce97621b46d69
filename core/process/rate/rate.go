package rate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// averagingTime is the time constant of the average rates. With two requests a second
	// at a server, the counts of less than ten seconds are mostly random variation.
	averagingTime = 12 * time.Second
	// significantDeviations is by how many standard deviations the counts of the last two
	// windows must differ from the average rate to override it.
	significantDeviations = 2.0
	// stepDeviations is by how many standard deviations the counts of the last two windows must
	// differ from a bucket's average rate for the average to start again. Otherwise the average
	// of a bucket that becomes hot stays far below its rate for a dozen seconds, so that too slow a
	// server seems to suffice. At five deviations, random variation of all buckets seldom exceeds it.
	stepDeviations = 5.0
)

// Load is the load of one service.
type Load struct {
	Service string
	// BusySlots is how many slots of a server of typical speed each bucket keeps busy.
	BusySlots []float64
	// ServiceTime is the mean time that a request occupies a slot of a server of typical speed.
	ServiceTime time.Duration
	// LatencyTarget is the mean latency target of the requests.
	LatencyTarget time.Duration
}

// Meter counts the requests of all services by bucket.
type Meter struct {
	buckets     int
	services    map[string]*counts
	windowStart time.Time
}

// counts holds the counts of one service. The slices are indexed by bucket.
type counts struct {
	current, previous                    []float64 // requests in this window and the one before
	average                              []float64 // requests a second
	ages                                 []int     // windows in the average
	requests                             float64
	totalServiceTime, totalLatencyTarget time.Duration // of all requests
}

// New returns a Meter for services with a number of buckets.
func New(buckets int) *Meter {
	return &Meter{buckets: buckets, services: map[string]*counts{}}
}

// Add counts requests for a bucket, with the sums of their service times and latency targets.
func (m *Meter) Add(service string, bucket, requests int, totalServiceTime, totalLatencyTarget time.Duration) {
	if bucket < 0 || bucket >= m.buckets {
		return
	}
	c := m.services[service]
	if c == nil {
		c = &counts{current: make([]float64, m.buckets), previous: make([]float64, m.buckets), average: make([]float64, m.buckets), ages: make([]int, m.buckets)}
		m.services[service] = c
	}
	c.current[bucket] += float64(requests)
	c.requests += float64(requests)
	c.totalServiceTime += totalServiceTime
	c.totalLatencyTarget += totalLatencyTarget
}

// WindowStart returns the time at which the current window began.
func (m *Meter) WindowStart() time.Time { return m.windowStart }

// CloseWindow closes the current window and returns the load of each service. The first call
// only starts a window: it drops the counts before it, since their time span is unknown.
func (m *Meter) CloseWindow(now time.Time) []Load {
	window := now.Sub(m.windowStart)
	first := m.windowStart.IsZero()
	m.windowStart = now
	var out []Load
	for name, c := range m.services {
		if first || window <= 0 {
			clear(c.current)
			continue
		}
		out = append(out, c.closeWindow(name, window))
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (c *counts) closeWindow(service string, window time.Duration) Load {
	out := Load{Service: service, BusySlots: make([]float64, len(c.current))}
	if c.requests > 0 {
		out.ServiceTime = time.Duration(float64(c.totalServiceTime) / c.requests)
		out.LatencyTarget = time.Duration(float64(c.totalLatencyTarget) / c.requests)
	}
	decay := 1 - math.Exp(-float64(window)/float64(averagingTime))
	for i, n := range c.current {
		if c.isStep(i, window) {
			c.ages[i] = 0
		}
		c.ages[i]++
		// The first windows have equal weights. Averaged with an initial rate of zero, they
		// would show only a fraction of the load for many seconds.
		c.average[i] += max(decay, 1/float64(c.ages[i])) * (n/window.Seconds() - c.average[i])
	}
	est := newEstimator(c, window.Seconds())
	est.fill(out.BusySlots, 0, len(c.current), est.averageSums[len(c.current)])
	for i := range out.BusySlots {
		out.BusySlots[i] *= out.ServiceTime.Seconds()
	}
	c.previous, c.current = c.current, c.previous
	clear(c.current)
	return out
}

// isStep reports whether the counts of the last two windows show that the rate of a bucket is no
// longer its average rate.
func (c *counts) isStep(bucket int, window time.Duration) bool {
	recent, expected := c.current[bucket]+c.previous[bucket], c.average[bucket]*2*window.Seconds()
	return math.Abs(recent-expected) > stepDeviations*math.Sqrt(max(recent, expected))
}

package rate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lasting is the time over which lasting rates are averaged: with two requests a
	// second at a server, less than ten seconds are mostly chance.
	lasting = 12 * time.Second
	// chance is how many standard deviations the last two windows must differ by
	// before they count for more than the lasting rate.
	chance = 2.0
)

// Load is what one service gets.
type Load struct {
	Service string
	// Slots is how many slots of a server of usual speed each bucket keeps busy.
	Slots []float64
	// Each is the slot time of one request.
	Each time.Duration
	// Aim is within what time requests should be answered, on the average.
	Aim time.Duration
}

// Meter counts the requests of all services.
type Meter struct {
	buckets  int
	services map[string]*counts
	since    time.Time
}

// counts are one service's, by bucket.
type counts struct {
	now, last []float64 // requests in this window and in the one before
	slow      []float64 // requests a second
	windows   int
	requests  float64
	work, aim time.Duration // of all requests
}

// New returns a Meter that has counted nothing.
func New(buckets int) *Meter {
	return &Meter{buckets: buckets, services: map[string]*counts{}}
}

// Add counts requests for a bucket, with their work and their aims in all.
func (m *Meter) Add(service string, bucket, requests int, work, aim time.Duration) {
	if bucket < 0 || bucket >= m.buckets {
		return
	}
	c := m.services[service]
	if c == nil {
		c = &counts{now: make([]float64, m.buckets), last: make([]float64, m.buckets), slow: make([]float64, m.buckets)}
		m.services[service] = c
	}
	c.now[bucket] += float64(requests)
	c.requests += float64(requests)
	c.work += work
	c.aim += aim
}

// Since is when the present window began.
func (m *Meter) Since() time.Time { return m.since }

// Roll closes a window and returns each service's load. What was counted before
// the first window began counts for nothing: nobody knows for how long.
func (m *Meter) Roll(now time.Time) []Load {
	took := now.Sub(m.since)
	first := m.since.IsZero()
	m.since = now
	var out []Load
	for name, c := range m.services {
		if first || took <= 0 {
			clear(c.now)
			continue
		}
		out = append(out, c.roll(name, took))
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (c *counts) roll(service string, took time.Duration) Load {
	out := Load{Service: service, Slots: make([]float64, len(c.now))}
	if c.requests > 0 {
		out.Each = time.Duration(float64(c.work) / c.requests)
		out.Aim = time.Duration(float64(c.aim) / c.requests)
	}
	c.windows++
	// The first windows count alike: averaged with a rate of nought they would show
	// a fraction of the load for many seconds.
	weight := max(1-math.Exp(-float64(took)/float64(lasting)), 1/float64(c.windows))
	for i, n := range c.now {
		c.slow[i] += weight * (n/took.Seconds() - c.slow[i])
	}
	e := newEstimate(c, took.Seconds())
	e.fill(out.Slots, 0, len(c.now), e.slow[len(c.now)])
	for i := range out.Slots {
		out.Slots[i] *= out.Each.Seconds()
	}
	c.last, c.now = c.now, c.last
	clear(c.now)
	return out
}

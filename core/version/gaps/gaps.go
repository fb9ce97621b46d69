package gaps

import (
	"slices"
	"time"

	"catkinstep/core/version/grant"
)

const (
	// remembered is how many closures of a service an estimate rests on.
	maxSamples = 64
	// releaseGuess is taken for a planned move before the first was seen, and
	// lostGuess for a holder that is lost: most of a grant.
	defaultReleaseTime = 500 * time.Millisecond
	defaultLostTime    = 3 * time.Second
	// sure is the part of the closures that end within Estimate.Surely.
	upperQuantile = 0.9
	// outlasting is how much longer a range is taken to stay closed that has been
	// closed for longer than any before it, as a part of that time.
	overrunFactor = 0.5
)

// Estimate is how much longer a range stays closed.
type Estimate struct {
	// Likely is exceeded as often as not, Surely by one closure in ten.
	Median, P90 time.Duration
}

// kind sorts closures: what is known of one service's holders that live, or of
// those that were lost.
type sampleGroup struct {
	service    string
	holderLost bool
}

// start names a range by its first key.
type rangeStart struct {
	service string
	from    int
}

type closure struct {
	closedAt   time.Time
	holderLost bool
}

// Meter holds what was seen. The zero Meter is not usable.
type Estimator struct {
	closed    map[rangeStart]closure
	durations map[sampleGroup][]time.Duration // the last ones, the newest last
}

// New returns a Meter that has seen nothing.
func New() *Estimator {
	return &Estimator{closed: map[rangeStart]closure{}, durations: map[sampleGroup][]time.Duration{}}
}

// Observe notes which ranges of a table are closed, and how long those took that
// have opened. lives tells whether a holder is still listed.
func (m *Estimator) Observe(now time.Time, t grant.Table, isListed func(grant.Holder) bool) {
	for at, c := range m.closed {
		g, ok := t.RangeOf(at.service, at.from)
		if ok && !g.IsOpen() {
			continue
		}
		if ok {
			m.add(sampleGroup{service: at.service, holderLost: c.holderLost}, now.Sub(c.closedAt))
		}
		delete(m.closed, at)
	}
	for _, s := range t.Services {
		for _, g := range s.Ranges {
			at := rangeStart{service: s.Service, from: g.From}
			if _, known := m.closed[at]; known || g.IsOpen() || g.Holder.Server == "" {
				continue
			}
			m.closed[at] = closure{closedAt: now, holderLost: !isListed(g.Holder)}
		}
	}
}

func (m *Estimator) add(k sampleGroup, duration time.Duration) {
	m.durations[k] = append(m.durations[k], duration)
	m.durations[k] = m.durations[k][max(0, len(m.durations[k])-maxSamples):]
}

// Opens estimates when the range with a key opens. One that is still open in the
// table, although its holder must not be used, is taken to close now.
func (m *Estimator) EstimateOpening(now time.Time, service string, g grant.Range, holderListed bool) Estimate {
	k := sampleGroup{service: service, holderLost: !holderListed}
	elapsed := time.Duration(0)
	if c, ok := m.closed[rangeStart{service: service, from: g.From}]; ok {
		elapsed, k.holderLost = now.Sub(c.closedAt), c.holderLost
	}
	return m.remaining(k, elapsed)
}

// rest is how much longer closures lasted that lasted as long as this one has.
func (m *Estimator) remaining(k sampleGroup, elapsed time.Duration) Estimate {
	var remainders []time.Duration
	for _, duration := range m.durations[k] {
		if duration > elapsed {
			remainders = append(remainders, duration-elapsed)
		}
	}
	if len(remainders) > 0 {
		slices.Sort(remainders)
		return Estimate{Median: remainders[len(remainders)/2], P90: remainders[int(upperQuantile*float64(len(remainders)))]}
	}
	expected := defaultReleaseTime
	if k.holderLost {
		expected = defaultLostTime
	}
	remaining := max(expected-elapsed, time.Duration(overrunFactor*float64(elapsed)))
	return Estimate{Median: remaining, P90: 2 * remaining}
}

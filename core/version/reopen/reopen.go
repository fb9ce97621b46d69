package reopen

import (
	"slices"
	"time"

	"catkinstep/core/version/grant"
)

const (
	// maxSamples is how many closed periods an estimate is based on at most.
	maxSamples = 64
	// The default times are the expected lengths of closed periods until some have been
	// observed: defaultReleaseTime for holders that are alive, and defaultLostTime for lost
	// ones, which is most of the time for which a grant is valid.
	defaultReleaseTime = 500 * time.Millisecond
	defaultLostTime    = 3 * time.Second
	// upperQuantile is the fraction of closed periods that end within Estimate.P90.
	upperQuantile = 0.9
	// overrunFactor applies to a closed period that is longer than any before. It is the
	// expected remaining time as a fraction of the time that the range has been closed so far.
	overrunFactor = 0.5
)

// Estimate is how much longer a range stays closed.
type Estimate struct {
	// Median is exceeded by half of the closed periods, P90 by one in ten.
	Median, P90 time.Duration
}

// sampleGroup identifies closed periods that are estimated together: those of one service whose
// holder was lost, or those whose holder was alive.
type sampleGroup struct {
	service    string
	holderLost bool
}

// rangeStart identifies a range by its first key.
type rangeStart struct {
	service string
	from    int
}

type closedPeriod struct {
	closedAt   time.Time
	holderLost bool
}

// Estimator records how long ranges stay closed. Create it with New; the zero Estimator is not usable.
type Estimator struct {
	closed    map[rangeStart]closedPeriod
	unusable  map[grant.Holder]time.Time      // listed servers that must not be used, and since when
	durations map[sampleGroup][]time.Duration // up to maxSamples, the newest last
}

// New returns an Estimator that has observed nothing.
func New() *Estimator {
	return &Estimator{closed: map[rangeStart]closedPeriod{}, unusable: map[grant.Holder]time.Time{}, durations: map[sampleGroup][]time.Duration{}}
}

// Observe records which ranges of a table are closed, and the closed periods of those that have
// opened. isAlive reports whether a holder is still listed.
func (e *Estimator) Observe(now time.Time, t grant.Table, isAlive func(grant.Holder) bool) {
	for start, c := range e.closed {
		r, ok := t.RangeOf(start.service, start.from)
		if ok && !r.IsOpen() {
			continue
		}
		if ok {
			e.add(sampleGroup{service: start.service, holderLost: c.holderLost}, now.Sub(c.closedAt))
		}
		delete(e.closed, start)
	}
	for _, s := range t.Services {
		for _, r := range s.Ranges {
			start := rangeStart{service: s.Service, from: r.From}
			if _, known := e.closed[start]; known || r.IsOpen() || r.Holder.Server == "" {
				continue
			}
			e.closed[start] = closedPeriod{closedAt: now, holderLost: !isAlive(r.Holder)}
		}
	}
}

func (e *Estimator) add(group sampleGroup, duration time.Duration) {
	e.durations[group] = append(e.durations[group], duration)
	e.durations[group] = e.durations[group][max(0, len(e.durations[group])-maxSamples):]
}

// EstimateReopening estimates how long it takes until a range opens again. A range that is still
// open in the table, although its holder must not be used, counts as closed since ObserveUnusable named the holder: it
// cannot be moved while nobody reaches the store.
// holderAlive says whether the holder of such a range is alive. For a range that Observe has found
// closed it has no effect, since Observe recorded whether the holder was alive at that time.
func (e *Estimator) EstimateReopening(now time.Time, service string, r grant.Range, holderAlive bool) Estimate {
	group := sampleGroup{service: service, holderLost: !holderAlive}
	elapsed := time.Duration(0)
	if c, ok := e.closed[rangeStart{service: service, from: r.From}]; ok {
		elapsed, group.holderLost = now.Sub(c.closedAt), c.holderLost
	} else if since, unusable := e.unusable[r.Holder]; unusable {
		elapsed = now.Sub(since)
	}
	return e.remaining(group, elapsed)
}

// ObserveUnusable records which listed servers must not be used, of which one may still hold open ranges.
func (e *Estimator) ObserveUnusable(now time.Time, servers []grant.Holder) {
	unusable := make(map[grant.Holder]time.Time, len(servers))
	for _, h := range servers {
		since, known := e.unusable[h]
		if !known {
			since = now
		}
		unusable[h] = since
	}
	e.unusable = unusable
}

// remaining estimates how much longer a closed period lasts, based on the earlier ones that
// lasted longer than this one has so far. If there are none, it uses the default times and
// overrunFactor.
func (e *Estimator) remaining(group sampleGroup, elapsed time.Duration) Estimate {
	var remainders []time.Duration
	for _, duration := range e.durations[group] {
		if duration > elapsed {
			remainders = append(remainders, duration-elapsed)
		}
	}
	if len(remainders) > 0 {
		slices.Sort(remainders)
		return Estimate{Median: remainders[len(remainders)/2], P90: remainders[int(upperQuantile*float64(len(remainders)))]}
	}
	expected := defaultReleaseTime
	if group.holderLost {
		expected = defaultLostTime
	}
	remaining := max(expected-elapsed, time.Duration(overrunFactor*float64(elapsed)))
	return Estimate{Median: remaining, P90: 2 * remaining}
}

package gaps

import (
	"slices"
	"time"

	"catkinstep/core/version/grant"
)

const (
	// remembered is how many closures of a service an estimate rests on.
	remembered = 64
	// releaseGuess is taken for a planned move before the first was seen, and
	// lostGuess for a holder that is lost: most of a grant.
	releaseGuess = 500 * time.Millisecond
	lostGuess    = 3 * time.Second
	// sure is the part of the closures that end within Estimate.Surely.
	sure = 0.9
	// outlasting is how much longer a range is taken to stay closed that has been
	// closed for longer than any before it, as a part of that time.
	outlasting = 0.5
)

// Estimate is how much longer a range stays closed.
type Estimate struct {
	// Likely is exceeded as often as not, Surely by one closure in ten.
	Likely, Surely time.Duration
}

// kind sorts closures: what is known of one service's holders that live, or of
// those that were lost.
type kind struct {
	service string
	lost    bool
}

// start names a range by its first key.
type start struct {
	service string
	from    int
}

type closure struct {
	since time.Time
	lost  bool
}

// Meter holds what was seen. The zero Meter is not usable.
type Meter struct {
	closed map[start]closure
	took   map[kind][]time.Duration // the last ones, the newest last
}

// New returns a Meter that has seen nothing.
func New() *Meter {
	return &Meter{closed: map[start]closure{}, took: map[kind][]time.Duration{}}
}

// Observe notes which ranges of a table are closed, and how long those took that
// have opened. lives tells whether a holder is still listed.
func (m *Meter) Observe(now time.Time, t grant.Table, lives func(grant.Holder) bool) {
	for at, c := range m.closed {
		g, ok := t.Owner(at.service, at.from)
		if ok && !g.Open() {
			continue
		}
		if ok {
			m.add(kind{service: at.service, lost: c.lost}, now.Sub(c.since))
		}
		delete(m.closed, at)
	}
	for _, s := range t.Shares {
		for _, g := range s.Ranges {
			at := start{service: s.Service, from: g.From}
			if _, known := m.closed[at]; known || g.Open() || g.Holder.Server == "" {
				continue
			}
			m.closed[at] = closure{since: now, lost: !lives(g.Holder)}
		}
	}
}

func (m *Meter) add(k kind, took time.Duration) {
	m.took[k] = append(m.took[k], took)
	m.took[k] = m.took[k][max(0, len(m.took[k])-remembered):]
}

// Opens estimates when the range with a key opens. One that is still open in the
// table, although its holder must not be used, is taken to close now.
func (m *Meter) Opens(now time.Time, service string, g grant.Range, holderLives bool) Estimate {
	k := kind{service: service, lost: !holderLives}
	elapsed := time.Duration(0)
	if c, ok := m.closed[start{service: service, from: g.From}]; ok {
		elapsed, k.lost = now.Sub(c.since), c.lost
	}
	return m.rest(k, elapsed)
}

// rest is how much longer closures lasted that lasted as long as this one has.
func (m *Meter) rest(k kind, elapsed time.Duration) Estimate {
	var longer []time.Duration
	for _, took := range m.took[k] {
		if took > elapsed {
			longer = append(longer, took-elapsed)
		}
	}
	if len(longer) > 0 {
		slices.Sort(longer)
		return Estimate{Likely: longer[len(longer)/2], Surely: longer[int(sure*float64(len(longer)))]}
	}
	guess := releaseGuess
	if k.lost {
		guess = lostGuess
	}
	rest := max(guess-elapsed, time.Duration(outlasting*float64(elapsed)))
	return Estimate{Likely: rest, Surely: 2 * rest}
}

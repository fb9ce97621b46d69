package rate

import "math"

// estimate works out the present rates from the lasting ones and from what the last
// two windows counted. A stretch of neighbouring buckets is judged as a whole before
// its halves are: when a few hundred neighbouring keys become hot, no bucket's own
// count of a second says more than chance could, while that of all of them does.
type estimate struct {
	recent, slow []float64 // sums of the buckets before each
	took         float64   // seconds of the two windows
}

func newEstimate(c *counts, window float64) estimate {
	e := estimate{recent: make([]float64, len(c.now)+1), slow: make([]float64, len(c.now)+1), took: 2 * window}
	for i := range c.now {
		e.recent[i+1] = e.recent[i] + c.now[i] + c.last[i]
		e.slow[i+1] = e.slow[i] + c.slow[i]
	}
	return e
}

// fill sets the rates of the buckets of a stretch, which are expected to be so many
// requests a second in all.
func (e estimate) fill(out []float64, from, to int, expected float64) {
	recent := e.recent[to] - e.recent[from]
	rate := within(expected, recent, e.took)
	if to-from == 1 {
		out[from] = rate
		return
	}
	middle := (from + to) / 2
	first := e.firstHalf(from, middle, to, rate)
	e.fill(out, from, middle, first)
	e.fill(out, middle, to, rate-first)
}

// firstHalf is what the first half of a stretch gets of its rate. What goes beyond the
// lasting rates falls where more requests than usual came of late.
func (e estimate) firstHalf(from, middle, to int, rate float64) float64 {
	first, firstMore := e.usual(from, middle)
	second, secondMore := e.usual(middle, to)
	beyond := rate - first - second
	switch {
	case beyond <= 0:
		return rate * first / max(first+second, math.SmallestNonzeroFloat64)
	case firstMore+secondMore > 0:
		return first + beyond*firstMore/(firstMore+secondMore)
	}
	return first + beyond/2
}

// usual is the lasting rate of a stretch, and how much more came of late.
func (e estimate) usual(from, to int) (rate, more float64) {
	rate = e.slow[to] - e.slow[from]
	return rate, max(0, (e.recent[to]-e.recent[from])/e.took-rate)
}

// within is an expected rate, unless a count shows that it is another now.
func within(expected, count, took float64) float64 {
	spread := chance * math.Sqrt(count)
	return max((count-spread)/took, min((count+spread+chance)/took, expected))
}

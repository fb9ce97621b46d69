package rate

import "math"

// estimator computes the current rates from the average rates and the counts of the last two
// windows. It tests a range of neighbouring buckets as a whole before its halves. When a few
// hundred neighbouring keys become hot, the count of each single bucket stays within random
// variation, but the count of all of them together does not.
type estimator struct {
	recentSums, averageSums []float64 // sums over the buckets before each index
	seconds                 float64   // length of the two windows
}

func newEstimator(c *counts, windowSeconds float64) estimator {
	e := estimator{recentSums: make([]float64, len(c.current)+1), averageSums: make([]float64, len(c.current)+1), seconds: 2 * windowSeconds}
	for i := range c.current {
		e.recentSums[i+1] = e.recentSums[i] + c.current[i] + c.previous[i]
		e.averageSums[i+1] = e.averageSums[i] + c.average[i]
	}
	return e
}

// fill sets the rates of the buckets in the range [from, to), whose total is expected to be the
// given rate.
func (e estimator) fill(out []float64, from, to int, expected float64) {
	recent := e.recentSums[to] - e.recentSums[from]
	rate := clampToCount(expected, recent, e.seconds)
	if to-from == 1 {
		out[from] = rate
		return
	}
	middle := (from + to) / 2
	first := e.firstHalfRate(from, middle, to, rate)
	e.fill(out, from, middle, first)
	e.fill(out, middle, to, rate-first)
}

// firstHalfRate returns the part of a range's rate that belongs to the first half of the range.
// A rate up to the range's average is split in proportion to the average rates of the halves.
// What exceeds the average is split in proportion to how far the recent rate of each half exceeds
// its own average, or evenly if neither does.
func (e estimator) firstHalfRate(from, middle, to int, rate float64) float64 {
	first, firstExcess := e.averageAndExcess(from, middle)
	second, secondExcess := e.averageAndExcess(middle, to)
	surplus := rate - first - second
	switch {
	case surplus <= 0:
		return rate * first / max(first+second, math.SmallestNonzeroFloat64)
	case firstExcess+secondExcess > 0:
		return first + surplus*firstExcess/(firstExcess+secondExcess)
	}
	return first + surplus/2
}

// averageAndExcess returns the average rate of a range, and how far its recent rate exceeds it.
func (e estimator) averageAndExcess(from, to int) (rate, excess float64) {
	rate = e.averageSums[to] - e.averageSums[from]
	return rate, max(0, (e.recentSums[to]-e.recentSums[from])/e.seconds-rate)
}

// clampToCount limits an expected rate to the range of rates that a recent count makes plausible.
func clampToCount(expected, count, seconds float64) float64 {
	margin := significantDeviations * math.Sqrt(count)
	return max((count-margin)/seconds, min((count+margin+significantDeviations)/seconds, expected))
}

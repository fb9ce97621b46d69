package spread

import (
	"math"
	"time"
)

const (
	// latestSlowdownTimeConstant is the time constant with which the latest reported slowdown
	// loses weight: the load of other processes on the same host changes a few times a second.
	latestSlowdownTimeConstant = 200 * time.Millisecond
	// minLongTermWeight is the minimum weight of one report in the long-term slowdown.
	minLongTermWeight = 0.05
)

// slowdownEstimate estimates a server's slowdown from its reports: their long-term mean and the
// latest value. A server that shares its host may be slow for short periods, so the latest
// value counts for a moment before the estimate returns to the mean.
type slowdownEstimate struct {
	longTerm float64
	latest   float64
	latestAt time.Time
	reports  int
}

// known reports whether the server has ever reported its slowdown.
func (r *slowdownEstimate) known() bool { return r.reports > 0 }

// add updates the estimate with a reported slowdown.
func (r *slowdownEstimate) add(now time.Time, slowdown float64) {
	r.reports++
	r.longTerm += max(minLongTermWeight, 1/float64(r.reports)) * (slowdown - r.longTerm)
	r.latest, r.latestAt = slowdown, now
}

// expected returns the slowdown of a request that begins now.
func (r *slowdownEstimate) expected(now time.Time) float64 {
	weight := math.Exp(-float64(now.Sub(r.latestAt)) / float64(latestSlowdownTimeConstant))
	return r.longTerm + weight*(r.latest-r.longTerm)
}

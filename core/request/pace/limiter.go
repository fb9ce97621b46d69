package pace

import (
	"math"
	"time"
)

const (
	// minLimit and maxLimit bound how many requests of heavy connections run at a time; it is startLimit first.
	minLimit, startLimit, maxLimit = 4, 64, 1024
	// doublingTime is the time without refusals in which the limit doubles.
	doublingTime = 3 * time.Second
	// reductionInterval is the shortest time between two reductions: refusals that follow have the same cause.
	reductionInterval = 50 * time.Millisecond
	reduction         = 0.5
	// maxGrowthTime is longer than the limit takes from the lowest to the highest.
	maxGrowthTime = 10 * doublingTime
)

// Limiter limits the requests of heavy connections that run at a time. It is not safe for concurrent use.
type Limiter struct {
	base      float64 // the limit at reducedAt
	reducedAt time.Time
	running   int
}

// NewLimiter returns a Limiter that starts at a time.
func NewLimiter(now time.Time) *Limiter { return &Limiter{base: startLimit, reducedAt: now} }

// Start begins a request of a heavy connection unless too many are running.
func (l *Limiter) Start(now time.Time) bool {
	if l.running >= int(l.Limit(now)) {
		return false
	}
	l.running++
	return true
}

// End ends a request that Start began.
func (l *Limiter) End() { l.running-- }

// RecordRefusal lowers the limit, since a request of any connection was refused. It does so only while requests
// of heavy connections run: they are the reason then, or at least the ones that can wait.
func (l *Limiter) RecordRefusal(now time.Time) {
	if l.running == 0 || now.Sub(l.reducedAt) < reductionInterval {
		return
	}
	l.base = max(minLimit, min(l.Limit(now), float64(l.running))*reduction)
	l.reducedAt = now
}

// Limit is how many requests of heavy connections may run at a time.
func (l *Limiter) Limit(now time.Time) float64 {
	elapsed := now.Sub(l.reducedAt)
	if elapsed > maxGrowthTime {
		return maxLimit
	}
	return min(maxLimit, l.base*math.Exp2(elapsed.Seconds()/doublingTime.Seconds()))
}

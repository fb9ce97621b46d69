package quota

import (
	"math"
	"time"
)

// meanRate is an exponentially weighted mean of a number of events per second.
type meanRate struct {
	window    time.Duration
	perSecond float64
	updatedAt time.Time
}

func (r *meanRate) add(now time.Time, n int) {
	r.perSecond = r.at(now) + float64(n)/r.window.Seconds()
	r.updatedAt = now
}

// at returns the rate at a later time.
func (r *meanRate) at(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return max(0, r.perSecond*math.Exp(-max(0, now.Sub(r.updatedAt).Seconds())/r.window.Seconds()))
}

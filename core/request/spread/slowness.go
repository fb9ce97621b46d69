package spread

import (
	"math"
	"time"
)

const (
	// noiseFades is how fast a server's report of its present pace loses its weight:
	// what its neighbours on the same host do changes a few times a second.
	noiseFades = 200 * time.Millisecond
	// slownessLearn is the least weight of one report in the lasting pace.
	slownessLearn = 0.05
)

// slowness is how long work takes at a server, over the time at one of usual speed,
// as the server reports it: what can be expected in the long run, and what it
// said last. A server that shares its host is slow by spells, and one that has
// just said so is best left alone for a moment.
type slowness struct {
	lasting float64
	last    float64
	at      time.Time
	reports int
}

// known tells whether the server ever said how fast it is.
func (t *slowness) known() bool { return t.reports > 0 }

// add takes in what the server said.
func (t *slowness) add(now time.Time, pace float64) {
	t.reports++
	t.lasting += max(slownessLearn, 1/float64(t.reports)) * (pace - t.lasting)
	t.last, t.at = pace, now
}

// expected is the pace of work that begins now.
func (t *slowness) expected(now time.Time) float64 {
	fresh := math.Exp(-float64(now.Sub(t.at)) / float64(noiseFades))
	return t.lasting + fresh*(t.last-t.lasting)
}

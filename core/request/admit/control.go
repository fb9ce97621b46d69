package admit

import "time"

const (
	// fullShare is the part of a holder's answers that must tell of a long queue for
	// the holder to count as overloaded.
	fullShare = 0.3
	// fullLasts is how long that counts: queues are emptied within a request or two.
	fullLasts = 2 * time.Second
	// contendedLasts is the same for its queue to be watched, which keeps it short: that
	// must not end the watch at once.
	contendedLasts = 10 * time.Second
	// raise and lower correct what a holder is thought to bear, once a round, when its
	// answers tell that its queue is short or long in spite of a limit.
	raise = 1.25
	lower = 0.95
	// leastCorrection and mostCorrection bound the correction.
	leastCorrection = 0.7
	mostCorrection  = 16.0
)

// Control tells which holders are overloaded, and what they bear. What is known of
// the work of requests and of a holder's speed may be wrong: limits by that alone would
// refuse callers for ever that an idle holder could answer, since who is refused
// teaches nothing. So a holder is limited only while its own answers tell of a long
// queue, and what it bears is corrected by them.
type Control struct {
	holders map[string]*reports
}

// reports are what answers of a holder reported since the last round, and what was made of
// them.
type reports struct {
	answers, full int
	correction    float64
	fullAt        time.Time
	limited       bool
}

// NewControl returns a Control that has heard nothing.
func NewControl() *Control { return &Control{holders: map[string]*reports{}} }

// Report adds answers of a holder, and how many of them reported a long queue.
func (c *Control) Report(holder string, answers, full int) {
	r := c.holders[holder]
	if r == nil {
		r = &reports{correction: 1}
		c.holders[holder] = r
	}
	r.answers += answers
	r.full += full
}

// Round draws the conclusions from what was reported since the last one.
func (c *Control) Round(now time.Time) {
	for holder, r := range c.holders {
		r.conclude(now)
		if !r.limited && r.correction == 1 && now.Sub(r.fullAt) > contendedLasts {
			delete(c.holders, holder)
		}
	}
}

func (r *reports) conclude(now time.Time) {
	if r.answers == 0 {
		return
	}
	full := float64(r.full) >= fullShare*float64(r.answers)
	switch {
	case full:
		r.fullAt = now
		r.correction = max(leastCorrection, r.correction*lower)
	case r.limited:
		r.correction = min(mostCorrection, r.correction*raise)
	default:
		r.correction = 1
	}
	r.answers, r.full = 0, 0
}

// Contended tells whether a holder was overloaded lately, so that its queue should be
// watched by one that sees all of it.
func (c *Control) Contended(now time.Time, holder string) bool {
	r := c.holders[holder]
	return r != nil && !r.fullAt.IsZero() && now.Sub(r.fullAt) < contendedLasts
}

// Capacity is the load up to which a holder may be sent requests, of the one that it is
// thought to bear and the one that it is offered; false means without a limit.
func (c *Control) Capacity(now time.Time, holder string, thought, offered float64) (float64, bool) {
	r := c.holders[holder]
	if r == nil {
		return 0, false
	}
	capacity := thought * r.correction
	r.limited = offered > capacity && (r.limited || now.Sub(r.fullAt) < fullLasts)
	return capacity, r.limited
}

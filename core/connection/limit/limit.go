package limit

import "time"

const (
	// climbAfter is how many answers a server gives at one step before the next.
	climbAfter = 16
	// climbTime is the least time at one step.
	climbTime = 200 * time.Millisecond
	// slower and faster move the estimate of an answer's time by each answer, so
	// that it follows the median. A mean would do badly: one answer of a second,
	// at a server that has just started, makes all that wait look too late, and
	// what is refused brings no answer to learn better from.
	slower = 1.15
	faster = 0.87
	// firstGuess bounds what the first answer alone is taken for.
	firstGuess = 50 * time.Millisecond
)

// Limit is how much one server bears now.
type Limit struct {
	slots   int
	allowed int
	answers int
	since   time.Time
	latency time.Duration
}

// New returns the limit of a server that has just started.
func New(slots int) Limit { return Limit{slots: slots, allowed: 1} }

// Allowed returns how many orders may run at once.
func (l Limit) Allowed() int { return l.allowed }

// Share returns the allowed part of the slots, from above 0 to 1.
func (l Limit) Share() float64 { return float64(l.allowed) / float64(l.slots) }

// Latency returns the usual time of an answer; zero before the first.
func (l Limit) Latency() time.Duration { return l.latency }

// WithSlots follows a change of the configuration.
func (l Limit) WithSlots(slots int) Limit {
	l.slots = slots
	l.allowed = max(1, min(l.allowed, slots))
	return l
}

// WithAnswer climbs a step after enough answers.
func (l Limit) WithAnswer(now time.Time, latency time.Duration) Limit {
	switch {
	case l.latency == 0:
		l.latency = max(time.Microsecond, min(latency, firstGuess))
	case latency > l.latency:
		l.latency = time.Duration(slower * float64(l.latency))
	default:
		l.latency = max(time.Microsecond, time.Duration(faster*float64(l.latency)))
	}
	if l.since.IsZero() {
		l.since = now
	}
	l.answers++
	if l.allowed < l.slots && l.answers >= climbAfter && now.Sub(l.since) >= climbTime {
		l.allowed++
		l.answers, l.since = 0, now
	}
	return l
}

// WithShed begins at one again. Its dispatcher is the only one that sends to a
// server, so a server that sheds within its limit has turned cold, whatever
// its own report says; half measures would make it shed once more.
func (l Limit) WithShed(now time.Time) Limit {
	l.allowed, l.answers, l.since = 1, 0, now
	return l
}

// WithRestart begins at one for a new process of the server.
func (l Limit) WithRestart(now time.Time) Limit { return l.WithShed(now) }

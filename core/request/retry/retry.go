package retry

import "time"

// Attempt is what is known after an attempt of a request failed.
type Attempt struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// NotRun means that this attempt surely did not run.
	NotRun bool
	// MaybeRan means that an earlier attempt may have run.
	MaybeRan bool
	// Made is how many attempts there were, Most how many there may be.
	Made, Most int
	// Left is what remains of the caller's time, Least what an answer takes.
	Left, Least time.Duration
}

// Again tells whether the request may be sent once more, the shared budget
// apart. A request that is not idempotent is sent again only if no attempt can
// have run: a second run would charge its caller twice. An attempt that cannot
// end in time would hold a slot for nothing.
func (a Attempt) Again() bool {
	safe := a.Idempotent || a.NotRun && !a.MaybeRan
	return safe && a.Made < max(1, a.Most) && a.Left > a.Least
}

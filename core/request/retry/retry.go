package retry

import "time"

// unsentMost bounds the attempts of one request that reach nobody: each may take as
// long as a connection is waited for.
const unsentMost = 3

// Attempt is what is known after an attempt of a request failed.
type Attempt struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// NotRun means that this attempt surely did not run.
	NotRun bool
	// MaybeRan means that an earlier attempt may have run.
	MaybeRan bool
	// Arrived is how many attempts may have reached a server, Most how many may.
	Arrived, Most int
	// Unsent is how many attempts surely reached none.
	Unsent int
	// Crashes means that too many servers were lost while they ran the same request.
	Crashes bool
	// Left is what remains of the caller's time, Least what an answer takes.
	Left, Least time.Duration
}

// Again tells whether the request may be sent once more, the shared budget
// apart. A request that is not idempotent is sent again only if no attempt can
// have run: a second run would charge its caller twice. An attempt that cannot
// end in time would hold a slot for nothing, and one that crashes servers would take
// the next one down.
func (a Attempt) Again() bool {
	safe := a.Idempotent || a.NotRun && !a.MaybeRan
	return safe && !a.Crashes && a.Arrived < max(1, a.Most) && a.Unsent < unsentMost && a.Left > a.Least
}

// Repeats tells whether another attempt would be a repeat for the servers, which the
// shared budget bounds. One whose forerunners reached nobody is no more load than the
// request itself: paid for, it would use up a daemon's share while servers are lost.
func (a Attempt) Repeats() bool { return a.Arrived > 0 }

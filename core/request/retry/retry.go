package retry

import "time"

// maxUnsent limits the attempts of one request that reach no server. Each of them may take as
// long as the connection timeout.
const maxUnsent = 3

// State is what is known of a request after an attempt has failed.
type State struct {
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// NotRun means that the failed attempt certainly did not run.
	NotRun bool
	// MaybeRan means that an earlier attempt may have run.
	MaybeRan bool
	// Arrived is how many attempts may have reached a server, and MaxAttempts is how many
	// are allowed to.
	Arrived, MaxAttempts int
	// Unsent is how many attempts certainly reached no server.
	Unsent int
	// CrashSuspect means that too many servers were lost while they ran the same request.
	CrashSuspect bool
	// TimeLeft is the time until the caller's deadline, and MinLatency is the least time that
	// an answer takes.
	TimeLeft, MinLatency time.Duration
}

// Retryable reports whether the request may be sent again, regardless of the shared budget. A
// request that is not idempotent is sent again only if no attempt can have run, because a second
// run would charge its caller twice. An attempt that cannot end in time would occupy a slot for
// nothing, and a request that crashes servers would crash the next one.
func (s State) Retryable() bool {
	safe := s.Idempotent || s.NotRun && !s.MaybeRan
	return safe && !s.CrashSuspect && s.Arrived < max(1, s.MaxAttempts) && s.Unsent < maxUnsent && s.TimeLeft > s.MinLatency
}

// UsesBudget reports whether another attempt counts against the shared budget. If no earlier
// attempt reached a server, the next one adds no load beyond the request itself, and counting it
// would use up a daemon's budget while servers are lost.
func (s State) UsesBudget() bool { return s.Arrived > 0 }

package retry

import "time"

// maxUnsentAttempts limits the attempts of one request that reach no server. Each of them may
// take as long as the connection timeout.
const maxUnsentAttempts = 3

// State is what is known of a request after an attempt has failed.
type State struct {
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// NotRun means that the failed attempt certainly did not run.
	NotRun bool
	// MaybeRan means that at least one attempt, the failed one included, may have run.
	MaybeRan bool
	// SentAttempts is the number of attempts that may have reached a server, several of them
	// possibly the same one. MaxAttempts is the limit for it; 0 counts as 1.
	SentAttempts, MaxAttempts int
	// UnsentAttempts is the number of attempts that certainly reached no server.
	UnsentAttempts int
	// CrashSuspect means that too many servers were lost while the same request may have been
	// running there.
	CrashSuspect bool
	// TimeLeft is the time until the caller's deadline, and MinLatency is the shortest time in
	// which a server can respond.
	TimeLeft, MinLatency time.Duration
}

// Retryable reports whether the request may be sent again, regardless of the retry budget. A
// request that is not idempotent is sent again only if no attempt can have run, because a second
// run would repeat its effect. No attempt is made that cannot end in time, since it would occupy
// a slot for nothing. A request that seems to crash servers is not sent to another one.
func (s State) Retryable() bool {
	safe := s.Idempotent || s.NotRun && !s.MaybeRan
	return safe && !s.CrashSuspect && s.SentAttempts < max(1, s.MaxAttempts) && s.UnsentAttempts < maxUnsentAttempts && s.TimeLeft > s.MinLatency
}

// UsesBudget reports whether another attempt counts against the daemon's retry budget. If no
// earlier attempt reached a server, the next one puts no more load on the servers than the request
// itself. Counting it would use up the budget whenever servers are lost.
func (s State) UsesBudget() bool { return s.SentAttempts > 0 }

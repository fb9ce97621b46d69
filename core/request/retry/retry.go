package retry

import (
	"time"

	"catkinstep/core/connection/wire"
)

// Step is what may follow an attempt.
type Step int

// Steps after an attempt.
const (
	// Stop means that the attempt's outcome goes to the caller.
	Stop Step = iota
	// Again means that the request may be sent again when the assignments have
	// changed: it met a server or daemon that was being replaced.
	Again
	// Elsewhere means that another server may be tried at once.
	Elsewhere
)

// Codes of refusals that come from assignments on the move. The entry waits
// for news and tries again, within the caller's deadline.
const (
	Moving        = "moving"
	NotMine       = "notMine"
	Held          = "held"
	Out           = "out"
	NotReady      = "notReady"
	LeaseOver     = "leaseOver"
	Fenced        = "fenced"
	LedgerPending = "ledgerPending"
	ServerDown    = "serverDown"
	Unreachable   = "dispatcherUnreachable"
)

// Codes of refusals that come from the server or its dispatcher.
const (
	Shed          = "shed"
	QueueFull     = "queueFull"
	TooLate       = "tooLate"
	NotSent       = "notSent"
	BackupSilent  = "backupSilent"
	CrashSuspect  = "crashesServers"
	LedgerLost    = "ledgerLost"
	LedgerFull    = "ledgerFull"
	OutcomeLost   = "outcomeUnknown"
	RetryBudget   = "retryBudgetSpent"
	DeadlineOver  = "deadlineExceeded"
	UnknownRoute  = "unknownService"
	MissingKey    = "missingKey"
	BadRequest    = "badRequest"
	TooLarge      = "tooLarge"
	Stopping      = "stopping"
	HeldTooLong   = "noOwner"
	AnswerCrossed = "answerMismatch"
)

// Next says what may follow an attempt. Only a request that surely did not run,
// or that may run twice, is ever sent again.
func Next(a *wire.Answer, idempotent bool) Step {
	switch a.Outcome {
	case wire.Outcome_OUTCOME_ANSWERED:
		return Stop
	case wire.Outcome_OUTCOME_UNKNOWN:
		if idempotent && a.Code != CrashSuspect {
			return Elsewhere
		}
		return Stop
	default:
	}
	switch a.Code {
	case Moving, NotMine, Held, Out, NotReady, LeaseOver, Fenced, LedgerPending, ServerDown, Unreachable, BackupSilent:
		return Again
	case Shed, QueueFull, NotSent:
		return Elsewhere
	}
	return Stop
}

// Final is what a caller is told in the end. An attempt that was refused says
// nothing of the others: earlier ones of this entry that may have run, or
// earlier tries of the caller with the same id. Only when there can have been
// none, or the ledger of ids was asked, is "not run" true of the request.
func Final(a *wire.Answer, fresh, maybeRan bool) *wire.Answer {
	if a.Outcome != wire.Outcome_OUTCOME_NOT_RUN || !maybeRan && (fresh || a.Judged) {
		return a
	}
	return &wire.Answer{
		Outcome: wire.Outcome_OUTCOME_UNKNOWN, Code: a.Code, Server: a.Server, DataCentre: a.DataCentre,
		Reason:           "this try was refused, an earlier one may have run: " + a.Reason,
		RetryAfterMillis: a.RetryAfterMillis, Waiting: a.Waiting,
	}
}

// Backoff is the wait before the nth try again; jitter in [0,1) spreads callers.
func Backoff(n int, jitter float64) time.Duration {
	d := 5 * time.Millisecond << min(n, 4)
	return d/2 + time.Duration(jitter*float64(d))
}

// Budget bounds extra attempts to a share of the requests, so that a general
// slowness is not made worse by everybody trying twice.
type Budget struct {
	share  float64
	tokens float64
	most   float64
}

// NewBudget returns a Budget of a share of the requests, with room for a burst.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, tokens: float64(burst), most: float64(burst)}
}

// SetShare follows a change of the configuration.
func (b *Budget) SetShare(share float64) { b.share = share }

// SetBurst follows a change of the number of daemons that share the burst.
func (b *Budget) SetBurst(burst float64) {
	b.most = burst
	b.tokens = min(b.tokens, burst)
}

// Request earns the share of one request.
func (b *Budget) Request() { b.tokens = min(b.most, b.tokens+max(0, b.share)) }

// Take spends one extra attempt, if there is one to spend.
func (b *Budget) Take() bool {
	if b.tokens < 1 || b.share < 0 {
		return false
	}
	b.tokens--
	return true
}

package boot

import (
	"slices"
	"time"

	"catkinstep/core/version/object"
)

const (
	// bootTimeout is how long after the daemon's start requests may wait at most. If the lists
	// have not been read by then, the store is probably unreachable, and further waiting is of
	// little use.
	bootTimeout = 700 * time.Millisecond
	// maxWaitShare is the share of the caller's timeout that a request may wait. The
	// rest is left for running the request.
	maxWaitShare = 0.3
)

// Boot is the phase from a daemon's start until it has read the lists that serving
// requests needs. It is immutable.
type Boot struct {
	startedAt time.Time
	pending   []object.Kind
}

// New returns the Boot of a daemon that starts now and has read no list.
func New(now time.Time) Boot {
	return Boot{startedAt: now, pending: []object.Kind{object.Config, object.Servers, object.Tables}}
}

// WithLoaded returns the Boot after the list of a kind has been read for the first time.
func (b Boot) WithLoaded(kind object.Kind) Boot {
	b.pending = slices.DeleteFunc(slices.Clone(b.pending), func(k object.Kind) bool { return k == kind })
	return b
}

// Done reports whether requests no longer wait: all lists are read, or bootTimeout has
// passed.
func (b Boot) Done(now time.Time) bool { return len(b.pending) == 0 || b.remaining(now) <= 0 }

// MaxWait returns how long a request may wait for the lists. A callerTimeout of 0 means
// that the caller did not set one.
func (b Boot) MaxWait(now time.Time, callerTimeout time.Duration) time.Duration {
	if b.Done(now) {
		return 0
	}
	if callerTimeout > 0 {
		return min(b.remaining(now), time.Duration(maxWaitShare*float64(callerTimeout)))
	}
	return b.remaining(now)
}

func (b Boot) remaining(now time.Time) time.Duration { return b.startedAt.Add(bootTimeout).Sub(now) }

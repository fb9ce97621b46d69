package boot

import (
	"slices"
	"time"

	"catkinstep/core/version/news"
)

const (
	// longest is how long after a start requests wait at most. Lists that are not there
	// by then are likely not to come soon: the store is away.
	longest = 700 * time.Millisecond
	// share is the part of a caller's time that may be spent waiting: the rest must do
	// for the answer.
	share = 0.3
)

// Boot is the time from a daemon's start until it knows what requests need. It is
// immutable.
type Boot struct {
	began   time.Time
	missing []news.Kind
}

// New returns the Boot of a daemon that starts now and knows nothing.
func New(now time.Time) Boot {
	return Boot{began: now, missing: []news.Kind{news.Config, news.Servers, news.Tables}}
}

// WithKnown returns the Boot after the first list of a kind was read.
func (b Boot) WithKnown(kind news.Kind) Boot {
	b.missing = slices.DeleteFunc(slices.Clone(b.missing), func(k news.Kind) bool { return k == kind })
	return b
}

// Over tells whether requests need not wait any more.
func (b Boot) Over(now time.Time) bool { return len(b.missing) == 0 || b.left(now) <= 0 }

// Wait is how long a request may wait whose caller waits for so long; 0 patience means
// that it did not say.
func (b Boot) Wait(now time.Time, patience time.Duration) time.Duration {
	if b.Over(now) {
		return 0
	}
	if patience > 0 {
		return min(b.left(now), time.Duration(share*float64(patience)))
	}
	return b.left(now)
}

func (b Boot) left(now time.Time) time.Duration { return b.began.Add(longest).Sub(now) }

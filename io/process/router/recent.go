package router

import "time"

const (
	// passOnFor is how long news is passed on to the other daemons, with all gossip.
	passOnFor = 1500 * time.Millisecond
	// passOnMost bounds the news of one kind that is passed on at once.
	passOnMost = 32
)

// recent holds what was found in the last moments and is passed on with all gossip. Who
// hears of it does the same once, so that it reaches daemons which the finder cannot.
type recent[T any] struct{ items []dated[T] }

type dated[T any] struct {
	at   time.Time
	what T
}

// add takes in something new; false means that too much was found lately to pass it on.
func (r *recent[T]) add(now time.Time, what T) bool {
	if len(r.items) >= passOnMost {
		return false
	}
	r.items = append(r.items, dated[T]{at: now, what: what})
	return true
}

// list returns what is still to be passed on.
func (r *recent[T]) list(now time.Time) []T {
	left := r.items[:0]
	var out []T
	for _, v := range r.items {
		if now.Sub(v.at) < passOnFor {
			left = append(left, v)
			out = append(out, v.what)
		}
	}
	r.items = left
	return out
}

package router

import "time"

const (
	// piggybackDuration is how long a daemon adds an item to its gossip messages.
	piggybackDuration = 1500 * time.Millisecond
	// maxPiggybackItems limits the items of one kind in a gossip message.
	maxPiggybackItems = 32
)

// piggybackBuffer holds recent items, which a daemon adds to all its gossip messages for
// piggybackDuration. A daemon that receives an item for the first time adds it to its own buffer,
// so that the item also reaches daemons to which its origin has no connection. It ignores an
// item that it has received before.
type piggybackBuffer[T any] struct{ items []timedItem[T] }

type timedItem[T any] struct {
	addedAt time.Time
	value   T
}

// add adds an item, and reports whether there was space for it. If not, it is not gossiped.
func (b *piggybackBuffer[T]) add(now time.Time, value T) bool {
	if len(b.items) >= maxPiggybackItems {
		return false
	}
	b.items = append(b.items, timedItem[T]{addedAt: now, value: value})
	return true
}

// list returns the items that are still to be gossiped, and drops the others.
func (b *piggybackBuffer[T]) list(now time.Time) []T {
	pending := b.items[:0]
	var out []T
	for _, item := range b.items {
		if now.Sub(item.addedAt) < piggybackDuration {
			pending = append(pending, item)
			out = append(out, item.value)
		}
	}
	b.items = pending
	return out
}

package router

import (
	"context"
	"time"
)

// inboxSize is the number of messages that can be queued for the control loop.
const inboxSize = 256

// post sends a message to the control loop. It returns false if the router is stopping.
func (r *Router) post(m any) bool {
	select {
	case r.inbox <- m:
		return true
	case <-r.tomb.Dying():
		return false
	}
}

// tryPost sends a message to the control loop unless its queue is full. It suits news that comes again.
func (r *Router) tryPost(m any) {
	select {
	case r.inbox <- m:
	default:
	}
}

// ask sends a message to the control loop and waits for the reply, or until the loop closes
// reply. It returns false if the context ends first or the router stops: a message may be queued
// after the loop has read its last one, and nobody answers it then.
func ask[T any](ctx context.Context, r *Router, m any, reply <-chan T) (T, bool) {
	var none T
	if !r.post(m) {
		return none, false
	}
	select {
	case answer := <-reply:
		return answer, true
	case <-ctx.Done():
	case <-r.tomb.Dying():
	}
	return none, false
}

// loop handles the messages one after the other until the router stops.
func (r *Router) loop() error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case m := <-r.inbox:
			r.control.update(r.now(), m)
		case <-t.C:
			r.control.update(r.now(), tickMsg{})
		}
	}
}

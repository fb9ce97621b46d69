// Package route is what traffic reads: one immutable snapshot of the
// configuration and the assignments, as the daemon knew them at one moment.
// The goroutine that owns the control state publishes a new one at each
// change; requests read it without a lock.
//
// # Usage
//
//	r := current.Load()
//	target, err := r.Owner("workshop", shard)   // the server and its dispatcher
//	err = r.MaySend(now, "127.0.0.9:9000", "workshop", shard, owned)
//
// Errors are of type *Error; their Kind says why an order was not run.
package route

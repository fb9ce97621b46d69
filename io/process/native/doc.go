// Package native is the product's own interface to a daemon: its site file and
// tables as objects of the platform's API, what callers and backend servers of
// its own kind speak, and the daemon that "catkinstep serve" runs.
//
// The users' platform has an adapter of its own elsewhere; both drive the same
// router. docs/SERVERS.md and docs/ERRORS.md describe the wire.
//
// # Usage
//
//	d, err := native.Start(prefs, native.WithLogger(logger))
//	err = d.Stop(ctx) // as planned: no request is cut
//
// Errors are of type *Error.
package native

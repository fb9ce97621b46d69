// Package native implements the product's own interface: the store, which keeps the site and
// the tables of key ranges as objects of the platform's API, the HTTP protocol of callers and
// backend servers, and the daemon that "catkinstep serve" runs.
//
// The users' platform has a separate adapter, package bridge; both use the same router.
// docs/SERVERS.md and docs/ERRORS.md describe the protocol.
//
// # Usage
//
//	d, err := native.Start(prefs, native.WithLogger(logger))
//	err = d.Stop(ctx) // graceful: requests that have been read are answered
//
// Errors are of type *Error.
package native

// Package router implements a daemon. It accepts callers' requests and forwards each to a
// backend server that may run it. It keeps the configuration, the servers and the holders
// of keys up to date by reading the platform's object store and by gossip with the other daemons.
//
// In this package, a response comes from a server, and a reply goes to a caller or to
// another daemon.
//
// One goroutine owns the control state (control.go). Requests read an immutable snapshot
// (snapshot.go). The packages under core make the decisions and this package executes them.
//
// # Usage
//
//	r := router.New(settings, store, protocol, router.WithLogger(logger))
//	err := r.Run(ctx) // serves until the context ends, then finishes running requests
package router

// Package router is one daemon: it takes callers' requests, sends each to the
// backend server that may run it, and keeps what it knows of the site by
// reading the platform's store and by talking to the other daemons.
//
// One goroutine owns the control state (control.go); requests read an immutable
// snapshot (snap.go). Decisions are made by packages under core; this package
// carries them out.
//
// # Usage
//
//	r, err := router.New(settings, store, protocol, router.WithLogger(logger))
//	err = r.Run(ctx) // until the context ends; then it stops without cutting
package router

// Package node runs one daemon: it carries out what the core decides and feeds
// back what comes of it. One goroutine owns the control state; each backend
// server that the daemon dispatches to has a queue under a lock of its own;
// requests read the present snapshot through an atomic pointer.
//
// # Usage
//
//	n, err := node.Start(prefs, node.WithLogger(log))
//	...
//	err = n.Stop(ctx) // hands over, finishes what runs, then ends
//
// Errors are of type *Error and name the address that could not be opened.
package node

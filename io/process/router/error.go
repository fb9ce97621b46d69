package router

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	Address Kind = "address" // an address cannot be listened on
	Stopped Kind = "stopped" // the HTTP server for health checks or metrics ended unexpectedly
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("router: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

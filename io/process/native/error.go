package native

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	ListenFailed Kind = "address" // the daemon cannot listen at an address
	StopTimeout  Kind = "stopped" // the daemon did not stop in time
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("daemon: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

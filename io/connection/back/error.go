package back

import (
	"errors"
	"fmt"
)

// Kind sorts the errors of this package.
type Kind string

// Kinds of errors.
const (
	NotRun  Kind = "notRun"  // the server said so, or nothing was written
	Gone    Kind = "gone"    // the address refuses connections
	Unsure  Kind = "unsure"  // written, and no whole answer came
	Crossed Kind = "crossed" // the answer carries another request's id
	Fenced  Kind = "fenced"  // the server took a higher token
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Code is the refusal's code, one of those in core/request/retry.
	Code string
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("server: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// As returns the error as one of this package, if it is.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

package table

import "fmt"

// Kind sorts the errors of this package.
type Kind string

// Malformed is a stored object that cannot be read.
const Malformed Kind = "malformed"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("table: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

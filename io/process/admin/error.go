package admin

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	Conflict       Kind = "conflict"    // another change was made first
	Invalid        Kind = "invalid"     // the change is not valid
	OutcomeUnknown Kind = "unsure"      // it is unknown whether the change took effect
	Unreachable    Kind = "unreachable" // the platform or the daemon does not answer
	Denied         Kind = "denied"      // the token is missing or wrong
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether an error is an *Error of a kind.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

package mesh

import (
	"errors"
	"fmt"
)

// Kind sorts the errors of this package.
type Kind string

// Kinds of errors.
const (
	Refused Kind = "refused"
	NotSent Kind = "notSent"
	Unsure  Kind = "unsure"
	Remote  Kind = "remote" // the other daemon said no
	Local   Kind = "local"  // the listener could not be opened
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("mesh: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is tells whether an error is of this package and of a kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

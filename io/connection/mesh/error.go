package mesh

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	ConnectionRefused Kind = "refused" // the address refused the connection
	NotSent           Kind = "notSent" // no byte of the call was sent, for a reason other than a refused connection
	OutcomeUnknown    Kind = "unsure"  // the call may have arrived, and there is no reply that can be read
	Remote            Kind = "remote"  // the other daemon did not carry the call out, and says why
	ListenerFailed    Kind = "local"   // the listener could not be opened, or failed
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("mesh: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether an error is an *Error of a kind.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

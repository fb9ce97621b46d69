package link

import (
	"errors"
	"fmt"
	"syscall"
)

// Kind sorts the errors of this package.
type Kind string

// Kinds of errors.
const (
	Refused Kind = "refused" // the address refuses connections
	NotSent Kind = "notSent" // no byte of the request was written
	NoWay   Kind = "noWay"   // no connection could be made in time
	Unsure  Kind = "unsure"  // written, and no answer came
	Cut     Kind = "cut"     // the answer broke off or is no HTTP
	Late    Kind = "late"    // written, and the time was over before an answer
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Kept means that the connection had been kept from an earlier request.
	Kept bool
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("link: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// ResetNew tells whether a server reset a connection that was new, as full ones do. A
// kept one it may just have forgotten.
func ResetNew(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Kept && errors.Is(err, syscall.ECONNRESET)
}

// NotRun tells whether an error proves that the request did not run.
func NotRun(err error) bool {
	k := KindOf(err)
	return k == Refused || k == NotSent || k == NoWay
}

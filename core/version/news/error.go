package news

import "fmt"

// ErrKind sorts the errors of this package.
type ErrKind string

// Kinds of errors of a store of objects.
const (
	Forgotten   ErrKind = "forgotten"   // the changes since a revision are no longer known
	Conflict    ErrKind = "conflict"    // the object is not at the expected revision
	Missing     ErrKind = "missing"     // there is no such object
	Busy        ErrKind = "busy"        // refused, nothing was done
	Unsure      ErrKind = "unsure"      // no answer: it may have been done, or may yet be
	Unreachable ErrKind = "unreachable" // nothing was sent
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("store: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

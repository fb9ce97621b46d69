package site

import "fmt"

// Kind sorts the errors of this package.
type Kind string

// Kinds of errors.
const (
	Malformed Kind = "malformed" // the text is no site file
	Invalid   Kind = "invalid"   // the file says something that cannot be
	Unknown   Kind = "unknown"   // a name that the site does not have
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("site: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

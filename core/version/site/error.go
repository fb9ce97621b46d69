package site

import "fmt"

// Kind is the kind of an error of this package.
type Kind string

// Kinds of errors.
const (
	Malformed Kind = "malformed" // the text is not a site file
	Invalid   Kind = "invalid"   // the file conflicts with the site
	Unknown   Kind = "unknown"   // the name or address is not known
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

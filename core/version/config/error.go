package config

import "fmt"

// Kind is the kind of an error of this package.
type Kind string

// Kinds of errors.
const (
	UnknownService Kind = "unknownService" // a route leads to a service that is not configured
	BadRoute       Kind = "badRoute"       // a route has no host, no prefix beginning with a slash or no destination
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("config: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

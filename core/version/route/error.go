package route

import "fmt"

// Kind sorts the errors of this package. It is also the stable code that
// callers see in refusals.
type Kind string

// Kinds of errors.
const (
	NotReady       Kind = "notReady"       // no configuration is known yet
	UnknownService Kind = "unknownService" // the site names no such service
	Moving         Kind = "moving"         // the shard has no owner just now
	NotMine        Kind = "notMine"        // another daemon dispatches to the server
	Held           Kind = "held"           // a release was asked for
	Out            Kind = "out"            // the data centre or server is out
	LeaseOver      Kind = "leaseOver"      // the hold has passed without a word from the leader
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("route: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

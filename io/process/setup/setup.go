// Package setup holds what one daemon is started with, in the product's terms,
// whichever file it was read from.
//
// # Usage
//
//	err := s.Check() // names the first field that is missing or wrong
//
// Errors are of type *Error.
package setup

import (
	"fmt"
	"net/netip"
	"time"
)

// Kind sorts the errors of this package.
type Kind string

// Incomplete is a field that is missing or wrong.
const Incomplete Kind = "incomplete"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("setup: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings are what one daemon is started with. Addresses are IP numbers with ports.
type Settings struct {
	// Name tells the daemon apart from others; its host keeps it.
	Name       string
	DataCentre string
	// Strength is the host's share of a processor; 0 where it is not known.
	Strength float64
	// Callers, Ready, Mesh and Metrics are the addresses to listen at; Ready and
	// Metrics may be empty where others serve them.
	Callers string
	Ready   string
	Mesh    string
	Metrics string
	// Seeds are mesh addresses of some daemons; they may be stale.
	Seeds []string
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// ColdFactor and ColdSlack bound what a cold server gets of all daemons in
	// a second: its rate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
	// RetryShare and RetryBurst bound extra attempts over all daemons: a share
	// of the requests plus a number in each window.
	RetryShare float64
	RetryBurst float64
	// HoldMost bounds the time of a grant.
	HoldMost time.Duration
	// BodyMost bounds a request's body, in bytes, where the configuration does not.
	BodyMost int64
}

// Check names the first field that is missing or wrong.
func (s Settings) Check() error {
	if s.Name == "" || s.DataCentre == "" {
		return &Error{Op: "check", Kind: Incomplete, Err: fmt.Errorf("the name %q or the data centre %q is missing", s.Name, s.DataCentre)}
	}
	for _, f := range []struct{ field, value string }{{"callers", s.Callers}, {"mesh", s.Mesh}} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return &Error{Op: "check", Kind: Incomplete, Err: fmt.Errorf("the address for %s: %w", f.field, err)}
		}
	}
	if s.Grace <= 0 || s.HoldMost <= 0 {
		return &Error{Op: "check", Kind: Incomplete, Err: fmt.Errorf("the grace %v or the longest hold %v is not above zero", s.Grace, s.HoldMost)}
	}
	return nil
}

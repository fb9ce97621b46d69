package link

import (
	"errors"
	"fmt"
	"syscall"

	"catkinstep/core/request/proof"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	ConnectionRefused Kind = "refused"  // the address refused the connection
	NotSent           Kind = "notSent"  // no byte of the request was written
	TooLate           Kind = "tooLate"  // the same, since its time to be sent had passed
	Withheld          Kind = "withheld" // the same, since the gate did not let it pass
	ConnectFailed     Kind = "noWay"    // no connection could be established, for another reason
	ConnectionLost    Kind = "unsure"   // the connection broke before the response header was complete
	InvalidResponse   Kind = "cut"      // the response is incomplete, malformed or too large, or belongs to another request
	ContextDone       Kind = "late"     // the context ended before the response was complete
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// ReusedConn means that the connection had served an earlier request.
	ReusedConn bool
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("link: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// LackedMemory reports whether a response was not read since this daemon had no memory for it.
func LackedMemory(err error) bool {
	var noMemory *noMemoryError
	return errors.As(err, &noMemory)
}

// ResetOnNewConn reports whether the server reset a connection on its first request, as
// full servers do. On a reused connection, a reset may only mean that the server has closed
// the idle connection.
func ResetOnNewConn(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.ReusedConn && errors.Is(err, syscall.ECONNRESET)
}

// Ground returns what proves that the server has not run a request and never will, if anything does.
func Ground(resp *Response, err error) proof.Ground {
	switch {
	case err != nil && NotRun(err):
		return proof.Unsent
	case err == nil && resp.Declined:
		return proof.Declined
	}
	return proof.None
}

// NotRun reports whether an error proves that the server did not run the request.
func NotRun(err error) bool {
	k := KindOf(err)
	return k == ConnectionRefused || k == NotSent || k == TooLate || k == Withheld || k == ConnectFailed
}

package http1

import (
	"errors"
	"fmt"
	"io"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	BadStatusLine Kind = "statusLine"
	BadField      Kind = "field"
	BadFraming    Kind = "framing"  // the length of the body is not certain
	TooLarge      Kind = "tooLarge" // the body exceeds a limit
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("http1: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }

// maxQuoted is how many bytes of a response an error quotes.
const maxQuoted = 80

func malformed(kind Kind, what, text string) error {
	return &Error{Op: "read", Kind: kind, Err: fmt.Errorf("%s %q", what, text[:min(len(text), maxQuoted)])}
}

// unexpectedEnd returns the error of a connection that has ended within a response.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

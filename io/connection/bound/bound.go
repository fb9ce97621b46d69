// Package bound limits how many bytes are read from a connection, so that a peer that sends a message
// head without end cannot take all memory of the host.
//
// # Usage
//
//	limited := bound.NewReader(conn)
//	r := bufio.NewReader(limited)
//	limited.SetLimit(64 << 10) // for the head, with what precedes it
//	resp, err := http.ReadResponse(r, req)
//	limited.SetLimit(0)
package bound

import (
	"errors"
	"io"
)

// ErrExceeded is returned by reads beyond the limit.
var ErrExceeded = errors.New("bound: limit of bytes exceeded")

// Reader limits the bytes that are read from another reader. It is not safe for concurrent use.
type Reader struct {
	r         io.Reader
	remaining int
	limited   bool
}

// NewReader returns a Reader without a limit.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// SetLimit limits the bytes that are read from now on. Zero removes the limit.
func (l *Reader) SetLimit(n int) { l.remaining, l.limited = n, n > 0 }

// Read implements io.Reader.
func (l *Reader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrExceeded
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// Package chunk holds the body of a message in several parts, so that a body whose length is not known can
// grow without being copied.
//
// # Usage
//
//	b := chunk.Of([]byte("text"))
//	b = b.With(part)      // part must not be changed from now on
//	_, err := b.WriteTo(w)
//
// Bodies are values; their parts are shared and must not be changed.
package chunk

import (
	"io"
	"net"
	"slices"
)

// Body is a sequence of bytes in parts. The zero value is empty.
type Body struct {
	parts [][]byte
	size  int
}

// Of returns a Body of one part.
func Of(p []byte) Body { return Body{}.With(p) }

// With returns the Body with a further part at its end.
func (b Body) With(p []byte) Body {
	if len(p) == 0 {
		return b
	}
	return Body{parts: append(slices.Clip(b.parts), p), size: b.size + len(p)}
}

// Len is the size in bytes.
func (b Body) Len() int { return b.size }

// Bytes returns the body in one piece, which is a copy if there are several parts.
func (b Body) Bytes() []byte {
	if len(b.parts) == 1 {
		return b.parts[0]
	}
	return slices.Concat(b.parts...)
}

// Buffers returns the parts after a head, for one write to a connection.
func (b Body) Buffers(head []byte) net.Buffers {
	return append(net.Buffers{head}, b.parts...)
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, p := range b.parts {
		n, err := w.Write(p)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

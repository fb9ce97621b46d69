package caller

import "io"

// limitedReader limits how many bytes are read while a request header is parsed.
type limitedReader struct {
	r         io.Reader
	remaining int
	limited   bool
}

// setLimit limits the bytes that are read from now on. Zero removes the limit.
func (l *limitedReader) setLimit(n int) { l.remaining, l.limited = n, n > 0 }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

package caller

import "io"

// meter bounds what is read while a request's head is being parsed.
type meter struct {
	r    io.Reader
	left int
	on   bool
}

// limit bounds the bytes from now on; zero lifts the bound.
func (m *meter) limit(n int) { m.left, m.on = n, n > 0 }

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if !m.on {
		return m.r.Read(p)
	}
	if m.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := m.r.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}

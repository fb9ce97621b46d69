package mesh

import (
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// writeWithin bounds how long a stream's bytes wait to be written.
	writeWithin = 2 * time.Second
	// closeWithin bounds how long a stream waits for the other side's end.
	closeWithin = 5 * time.Second
)

// line is one session and the connection below it.
//
// A session is only ever ended by closing its connection. Where yamux ends a
// session itself, readers of its streams run without a pause until its own
// reader has noticed, and on a host with one processor it may not get to: a
// daemon that stopped kept the processor to itself that way, and never ended.
// With the connection closed first, that reader is the one that ends the rest.
// yamux's own keep-alive would end sessions the other way, so it is off: a call
// that gets no answer in time drops a line on which nothing came meanwhile, and
// the next one opens another.
type line struct {
	*yamux.Session
	conn *heardConn
	kept kept
}

// heardConn notes when bytes last came, and writes the header of a frame together with
// its body, which yamux hands over one after the other: each write costs a call to the
// kernel at both ends.
type heardConn struct {
	net.Conn
	heard atomic.Int64 // nanoseconds since 1970
	// header is that of a frame whose body comes next. Only yamux's writer uses it.
	header []byte
}

// Write implements net.Conn.
func (c *heardConn) Write(p []byte) (int, error) {
	if c.header == nil && announcesBody(p) {
		c.header = slices.Clone(p)
		return len(p), nil
	}
	if c.header == nil {
		return c.Conn.Write(p)
	}
	frame := net.Buffers{c.header, p}
	written, err := frame.WriteTo(c.Conn)
	n := max(0, int(written)-len(c.header))
	c.header = nil
	return n, err
}

// announcesBody tells whether these bytes are the header of a frame of data that is not
// empty: a version and a type of 0, flags, a stream, and the length.
func announcesBody(p []byte) bool {
	const headerSize, lengthAt, dataFrame = 12, 8, 0
	return len(p) == headerSize && p[1] == dataFrame && binary.BigEndian.Uint32(p[lengthAt:]) > 0
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// silentSince tells whether nothing came on the line after a time. A call that
// waits behind a large answer on a narrow link is no reason to drop the line, and
// the answer with it.
func (l *line) silentSince(at time.Time) bool { return l.conn.heard.Load() < at.UnixNano() }

func newLine(nc net.Conn, open func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*line, error) {
	conn := &heardConn{Conn: nc}
	s, err := open(conn, config())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &line{Session: s, conn: conn, kept: newKept()}, nil
}

// Close ends the line and all its streams.
func (l *line) Close() error {
	err := l.conn.Close()
	<-l.CloseChan()
	return err
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeWithin
	c.StreamCloseTimeout = closeWithin
	c.LogOutput = io.Discard
	return c
}

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
	// writeTimeout bounds how long yamux waits to write a frame.
	writeTimeout = 2 * time.Second
	// streamCloseTimeout bounds how long a closed stream waits for the other side to close it.
	streamCloseTimeout = 5 * time.Second
)

// muxConn is a yamux session and its connection.
//
// A session must be ended by closing its connection. If yamux closes the session itself,
// the readers of its streams spin until the session's receive loop has noticed. On a host
// with one processor, that loop may never run: a stopping daemon used all processor time
// this way and never exited. If the connection is closed first, the receive loop is what
// ends the session. The keep-alive of yamux is disabled because it closes the session
// itself. Instead, Mesh.Call drops a connection on which nothing was received during the second
// half of a call without a reply, and the next call opens a new one.
type muxConn struct {
	*yamux.Session
	conn         *frameConn
	sharedStream sharedStream
}

// frameConn records when bytes were last received, and writes the header and the body of a
// frame together. yamux writes them separately, which costs an additional system call at
// both ends.
type frameConn struct {
	net.Conn
	lastReceived atomic.Int64   // Unix time in nanoseconds
	stranger     *strangerQuota // of an accepted connection; nil for others
	// pendingHeader is the header of a frame whose body is written next. It is used only by
	// yamux's send loop.
	pendingHeader []byte
}

// Write implements net.Conn.
func (c *frameConn) Write(p []byte) (int, error) {
	if c.pendingHeader == nil && isDataHeader(p) {
		c.pendingHeader = slices.Clone(p)
		return len(p), nil
	}
	if c.pendingHeader == nil {
		return c.Conn.Write(p)
	}
	frame := net.Buffers{c.pendingHeader, p}
	written, err := frame.WriteTo(c.Conn)
	n := max(0, int(written)-len(c.pendingHeader))
	c.pendingHeader = nil
	return n, err
}

// isDataHeader reports whether p is the header of a data frame with a body. A header
// consists of the version, the type (0 for data), the flags, the stream ID and the length.
func isDataHeader(p []byte) bool {
	const headerSize, lengthOffset, dataFrameType = 12, 8, 0
	return len(p) == headerSize && p[1] == dataFrameType && binary.BigEndian.Uint32(p[lengthOffset:]) > 0
}

// Read implements net.Conn.
func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceived.Store(time.Now().UnixNano())
	}
	if c.stranger != nil && err == nil {
		err = c.stranger.receive(n)
	}
	return n, err
}

// silentSince reports whether nothing was received after t. A connection that still
// receives must not be dropped: a call may only be waiting behind a large reply on a slow
// link, and that reply would be lost too.
func (mc *muxConn) silentSince(t time.Time) bool { return mc.conn.lastReceived.Load() < t.UnixNano() }

// newMuxConn returns a session on a connection. What arrives before the first call is limited if stranger is not
// nil.
func newMuxConn(nc net.Conn, newSession func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error), stranger *strangerQuota) (*muxConn, error) {
	conn := &frameConn{Conn: nc, stranger: stranger}
	yamuxSession, err := newSession(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &muxConn{Session: yamuxSession, conn: conn, sharedStream: newSharedStream()}, nil
}

// Close closes the connection, and thereby the session and all its streams.
func (mc *muxConn) Close() error {
	err := mc.conn.Close()
	<-mc.CloseChan()
	return err
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

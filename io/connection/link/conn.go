package link

import (
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"catkinstep/io/connection/http1"
)

const (
	readBufferSize = 2048
	// maxConnRequests is how many requests a connection carries before it is closed, so that it need not
	// remember the IDs of more.
	maxConnRequests = 512
)

// conn is a connection to a server, with one request at a time.
type conn struct {
	net.Conn
	number        uint64
	r             *http1.Reader
	reusableUntil time.Time
	reused        bool // it served an earlier request
	openedAt      time.Time
	// carriedIDs are the hashes of the IDs of the requests that were sent on it.
	carriedIDs []uint64
}

// connCount is the number of the last connection that was opened.
var connCount atomic.Uint64

func newConn(nc net.Conn, number uint64, now time.Time) *conn {
	return &conn{Conn: nc, number: number, r: http1.NewReader(nc, readBufferSize, maxResponseHead), openedAt: now}
}

var idSeed = maphash.MakeSeed()

// recordID records that a request is sent on the connection.
func (c *conn) recordID(id string) {
	if id != "" {
		c.carriedIDs = append(c.carriedIDs, maphash.String(idSeed, id))
	}
}

// hasCarried reports whether a request with the ID may have been sent on the connection.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carriedIDs, maphash.String(idSeed, id))
}

// isWorn reports whether the connection has carried as many requests as it may.
func (c *conn) isWorn() bool { return len(c.carriedIDs) >= maxConnRequests }

// idleState is what has become of a connection while it was idle.
type idleState int

const (
	idle     idleState = iota
	ended              // the server has closed it
	received           // the server has sent bytes, which belong to no request or to an earlier one
)

// checkIdle returns what has become of an idle connection.
func checkIdle(c *conn) idleState {
	if c.r.Buffered() > 0 {
		return received
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return ended
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return ended
	}
	state := ended
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = idle
		case n > 0:
			state = received
		}
		return true
	})
	if err != nil {
		return ended
	}
	return state
}

// resetConn closes a connection with a reset, so that data not yet sent is discarded and
// cannot reach the server later.
func resetConn(c *conn) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

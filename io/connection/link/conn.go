package link

import (
	"bufio"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"syscall"
	"time"
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
	r             *bufio.Reader
	reusableUntil time.Time
	reused        bool // it served an earlier request
	openedAt      time.Time
	// carriedIDs are the hashes of the IDs of the requests that were sent on it.
	carriedIDs []uint64
}

func newConn(nc net.Conn, now time.Time) *conn {
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBufferSize), openedAt: now}
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

// nothingReceived reports whether the server has neither closed an idle connection nor
// sent bytes on it, which would belong to no request.
func nothingReceived(c *conn) bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// resetConn closes a connection with a reset, so that data not yet sent is discarded and
// cannot reach the server later.
func resetConn(c *conn) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

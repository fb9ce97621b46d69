package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"catkinstep/io/connection/sock"

	"catkinstep/core/connection/names"
)

const (
	// dialTimeout is far above the millisecond that a connection takes; a host
	// without power answers nothing at all.
	dialTimeout = 300 * time.Millisecond
	// keepAtMost is how long an unused connection is kept when the server names
	// no time: below the ten seconds that servers were seen to keep it.
	keepAtMost = 4 * time.Second
	// keepMargin is taken off the time that a server names, since it counts from
	// another moment: a request must not cross its close.
	keepMargin = time.Second
	// userTimeout ends a connection whose bytes are not acknowledged, as after a
	// cut: the system's own retransmissions would go on for minutes.
	userTimeout = 1500 * time.Millisecond
	bufferBytes = 2048
)

// Link is the way to one life of a server. It is safe for concurrent use.
type Link struct {
	address  string
	instance string
	names    names.Names
	most     int

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

type conn struct {
	net.Conn
	r     *bufio.Reader
	until time.Time // when it must no longer be used
	kept  bool      // it has served a request before
}

// New returns a Link to a server's address that keeps so many idle connections.
func New(address, instance string, n names.Names, most int) *Link {
	return &Link{address: address, instance: instance, names: n, most: most}
}

// Close ends the idle connections; those in use end with their requests.
func (l *Link) Close() {
	l.mu.Lock()
	idle := l.idle
	l.idle, l.closed = nil, true
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// take returns a kept connection that is still open and quiet, or a new one.
func (l *Link) take(ctx context.Context, now time.Time, keptOnly bool) (*conn, error) {
	for {
		c := l.pop()
		if c == nil && keptOnly {
			return nil, &Error{Op: "take", Kind: NotSent, Err: errNoneKept}
		}
		if c == nil {
			return l.dial(ctx)
		}
		if now.Before(c.until) && quiet(c) {
			c.kept = true
			return c, nil
		}
		_ = c.Close()
	}
}

var errNoneKept = errors.New("no connection was kept")

func (l *Link) pop() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.idle)
	if n == 0 {
		return nil
	}
	c := l.idle[n-1]
	l.idle = l.idle[:n-1]
	return c
}

func (l *Link) put(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.idle) >= l.most {
		_ = c.Close()
		return
	}
	l.idle = append(l.idle, c)
}

func (l *Link) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{Control: sock.Control(userTimeout), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 2}}
	nc, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		kind := NoWay
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = Refused
		}
		return nil, &Error{Op: "dial", Kind: kind, Err: err}
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, bufferBytes)}, nil
}

// quiet tells whether nothing has come on a kept connection: neither its end
// nor bytes that belong to no request.
func quiet(c *conn) bool {
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
	still := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && still
}

// keepFor reads how long the server keeps the connection after an answer.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	if s, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		return min(keepAtMost, s-keepMargin)
	}
	return keepAtMost
}

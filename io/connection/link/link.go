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
	// DialTimeout bounds the attempt to connect to a host that is down and sends no
	// reply at all. A connection to a host that is up takes about a millisecond.
	DialTimeout = 300 * time.Millisecond
	// maxIdleTime is the longest time for which a connection may be idle and still be reused,
	// even if the server announces a longer idle timeout or none. Servers close idle
	// connections after ten seconds, and a request must not be sent at that moment.
	maxIdleTime = 4 * time.Second
	// idleTimeMargin is subtracted from the idle timeout that a server announces. The
	// server starts its timer at another moment, and a request must not be sent while
	// the server closes the connection.
	idleTimeMargin = time.Second
	// tcpUserTimeout closes a connection whose data is not acknowledged, as in a network
	// partition. By default, the kernel would retransmit for minutes.
	tcpUserTimeout = 1500 * time.Millisecond
	readBufferSize = 2048
)

// Client sends requests to one instance of a server and pools the connections to it. After a
// restart, the server is another instance and needs another Client. Client is safe for
// concurrent use.
type Client struct {
	address      string
	serverID     string
	names        names.Names
	maxIdleConns int
	dialer       Dialer
	gate         Gate

	mu        sync.Mutex
	idleConns []*conn
	closed    bool
}

type conn struct {
	net.Conn
	r             *bufio.Reader
	reusableUntil time.Time
	reused        bool // it served an earlier request
	openedAt      time.Time
}

// Dialer opens connections to servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Option configures a Client.
type Option func(*Client)

// WithDialer replaces the dialer, if it is not nil. Tests use it to simulate faults of the network.
func WithDialer(d Dialer) Option {
	return func(cl *Client) {
		if d != nil {
			cl.dialer = d
		}
	}
}

// New returns a Client for the server instance at an address. It sends serverID in the
// instance header, by which any other server recognises that a request is not meant for it.
// It keeps up to maxIdleConns idle connections.
func New(address, serverID string, n names.Names, maxIdleConns int, opts ...Option) *Client {
	cl := &Client{address: address, serverID: serverID, names: n, maxIdleConns: maxIdleConns, dialer: DefaultDialer, gate: openGate{}}
	for _, o := range opts {
		o(cl)
	}
	return cl
}

// DefaultDialer closes connections to hosts that no longer answer.
var DefaultDialer Dialer = &net.Dialer{Control: sock.Control(tcpUserTimeout), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 2}}

// Close closes the idle connections. Those in use are closed after their requests.
func (cl *Client) Close() {
	cl.mu.Lock()
	cl.closed = true
	cl.mu.Unlock()
	cl.CloseIdle()
}

// CloseIdle closes the idle connections. Later requests open new ones.
func (cl *Client) CloseIdle() {
	cl.mu.Lock()
	idleConns := cl.idleConns
	cl.idleConns = nil
	cl.mu.Unlock()
	for _, c := range idleConns {
		_ = c.Close()
	}
}

// getConn returns an idle connection that is still usable, or else a new one unless
// existingConnOnly is set.
func (cl *Client) getConn(ctx context.Context, now time.Time, existingConnOnly bool) (*conn, error) {
	for {
		c := cl.popIdleConn()
		if c == nil && existingConnOnly {
			return nil, &Error{Op: "take", Kind: NotSent, Err: errNoIdleConn}
		}
		if c == nil {
			return cl.dial(ctx)
		}
		if now.Before(c.reusableUntil) && nothingReceived(c) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

var errNoIdleConn = errors.New("no idle connection")

func (cl *Client) popIdleConn() *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := len(cl.idleConns)
	if n == 0 {
		return nil
	}
	c := cl.idleConns[n-1]
	cl.idleConns = cl.idleConns[:n-1]
	return c
}

func (cl *Client) putIdleConn(c *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed || len(cl.idleConns) >= cl.maxIdleConns {
		_ = c.Close()
		return
	}
	cl.idleConns = append(cl.idleConns, c)
}

func (cl *Client) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	nc, err := cl.dialer.DialContext(ctx, "tcp", cl.address)
	if err != nil {
		kind := ConnectFailed
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = ConnectionRefused
		}
		return nil, &Error{Op: "dial", Kind: kind, Err: err}
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBufferSize), openedAt: time.Now()}, nil
}

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

// allowedIdleTime returns how long the connection may stay idle after a response.
func allowedIdleTime(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	if timeout, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		return min(maxIdleTime, timeout-idleTimeMargin)
	}
	return maxIdleTime
}

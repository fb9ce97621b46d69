package link

import (
	"context"
	"errors"
	"net"
	"slices"
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
	bodies       *BodyBudget

	mu        sync.Mutex
	idleConns []*conn
	closed    bool
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
	cl := &Client{address: address, serverID: serverID, names: n, maxIdleConns: maxIdleConns, dialer: DefaultDialer, gate: openGate{}, bodies: NewBodyBudget(defaultBodyBudget)}
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

// getConn returns an idle connection that is still usable for a request, or else a new one if the request
// may have one.
func (cl *Client) getConn(ctx context.Context, now time.Time, req Request) (*conn, error) {
	for {
		var c *conn
		if !req.ControlCall || req.ExistingConnOnly {
			c = cl.takeIdleConn(req)
		}
		if c == nil && req.ExistingConnOnly {
			return nil, &Error{Op: "take", Kind: NotSent, Err: errNoIdleConn}
		}
		if c == nil {
			return cl.dial(ctx)
		}
		state := checkIdle(c)
		if now.Before(c.reusableUntil) && state == idle {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
		if req.ExistingConnOnly && state == received {
			return nil, &Error{Op: "take", Kind: InvalidResponse, Err: errLateResponse}
		}
	}
}

var (
	errNoIdleConn = errors.New("no idle connection")
	// errLateResponse means that the last call may have been answered only now, and not when an earlier
	// response was taken for its own.
	errLateResponse = errors.New("a response has arrived since the last call on the connection")
)

// takeIdleConn returns the last used one of the idle connections that the request may use, or nil. A
// connection that has carried a request with the same ID is no such one: a server may send the response to
// an earlier try again, late, and only another connection shows that a response belongs to the present try.
func (cl *Client) takeIdleConn(req Request) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for i := len(cl.idleConns) - 1; i >= 0; i-- {
		c := cl.idleConns[i]
		isLater := req.LatestConn > 0 && c.number > req.LatestConn
		if !isLater && !c.hasCarried(req.ID) {
			cl.idleConns = slices.Delete(cl.idleConns, i, i+1)
			return c
		}
	}
	return nil
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
	number := connCount.Add(1) // before it is opened, so that no connection with a lower number leads to a later instance
	nc, err := cl.dialer.DialContext(ctx, "tcp", cl.address)
	if err != nil {
		kind := ConnectFailed
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = ConnectionRefused
		}
		return nil, &Error{Op: "dial", Kind: kind, Err: err}
	}
	return newConn(nc, number, time.Now()), nil
}

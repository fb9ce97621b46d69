// Package guard limits the connections that a listener has accepted, so that those at one address cannot take the
// descriptors that the process needs for others. If there are too many, the one is closed that has been open
// for longest without a request, or else the one that has been open for longest.
//
// # Usage
//
//	l := guard.New(listener, 128)
//	s := &http.Server{Handler: guard.Handler(h), ConnContext: guard.ConnContext}
//	go s.Serve(l)
//
// A protocol other than HTTP calls guard.MarkUsed for a connection once a request has arrived on it. Errors are
// those of the listener; Accept does not return those that pass by themselves.
package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// retryDelay is the delay after a failed accept, for example because there are no free descriptors.
const retryDelay = 20 * time.Millisecond

// Listener accepts a limited number of connections.
type Listener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns map[*Conn]bool
}

// Conn is an accepted connection. Its state is guarded by Listener.mu.
type Conn struct {
	net.Conn
	listener *Listener
	openedAt time.Time
	used     bool // a request has arrived on it
	running  int  // requests that are being handled
}

// New returns a Listener that keeps up to maxConns connections.
func New(l net.Listener, maxConns int) *Listener {
	return &Listener{Listener: l, maxConns: maxConns, conns: map[*Conn]bool{}}
}

// Accept implements net.Listener. It returns an error only if the listener has been closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(retryDelay)
			continue
		}
		c := &Conn{Conn: nc, listener: l, openedAt: time.Now()}
		if l.add(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

// add keeps a connection, in place of another one if need be. It returns false if all others are handling
// requests.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns {
		evicted := l.first()
		if evicted == nil {
			return false
		}
		delete(l.conns, evicted)
		_ = evicted.Conn.Close()
	}
	l.conns[c] = true
	return true
}

// first returns the connection that is closed first in favour of others, or nil. l.mu must be held.
func (l *Listener) first() *Conn {
	var first *Conn
	for c := range l.conns {
		if c.running == 0 && (first == nil || c.isBefore(first)) {
			first = c
		}
	}
	return first
}

// isBefore reports whether the connection is closed before another one.
func (c *Conn) isBefore(other *Conn) bool {
	if c.used != other.used {
		return !c.used
	}
	return c.openedAt.Before(other.openedAt)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// MarkUsed records that a request has arrived on a connection, if that is of a Listener.
func MarkUsed(nc net.Conn) { addRunning(nc, 0) }

func addRunning(nc net.Conn, n int) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.used = true
	c.running += n
}

// Raw returns the connection itself if nc is of a Listener, so that several buffers can be written in one system
// call. It must be closed by closing nc.
func Raw(nc net.Conn) net.Conn {
	if c, ok := nc.(*Conn); ok {
		return c.Conn
	}
	return nc
}

type connKey struct{}

// ConnContext is for the field of that name of http.Server. Handler finds the connection by it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler on whose connections none is closed while h runs.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		addRunning(c, 1)
		defer addRunning(c, -1)
		h.ServeHTTP(w, r)
	})
}

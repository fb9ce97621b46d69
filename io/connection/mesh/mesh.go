package mesh

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"
	"gopkg.in/tomb.v2"

	"catkinstep/core/connection/wire"
	"catkinstep/io/connection/guard"
)

const (
	dialTimeout    = 300 * time.Millisecond
	readBufferSize = 1024
	// streamsPerConn is how many streams are served for each connection that may be accepted, in all.
	streamsPerConn = 4
)

// pastDeadline is a deadline that ends all waiting reads and writes of a stream.
var pastDeadline = time.Unix(1, 0)

// acceptedKeepAlive closes accepted connections whose other end has disappeared, as in a
// network partition or a power failure. This daemon sends no calls on them, so that nothing
// else would notice.
var acceptedKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3}

// Handler returns the reply to a call, or nil if the call needs no reply. It must not use
// the call after it has returned.
type Handler func(ctx context.Context, call *wire.Call) *wire.Reply

// Mesh holds a daemon's connections to and from other daemons.
type Mesh struct {
	tomb     tomb.Tomb
	listener net.Listener
	handler  Handler
	pool     pool[*muxConn]
	bulkPool pool[*muxConn] // of CallBulk

	memory     Memory
	control    *semaphore.Weighted // the memory of large control messages that are being read
	maxStreams int64
	streams    atomic.Int64 // that are being served

	mu       sync.Mutex
	accepted map[*muxConn]bool
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithMemory limits the memory of large messages.
func WithMemory(memory Memory) Option { return func(m *Mesh) { m.memory = memory } }

// Listen returns a Mesh that accepts calls of other daemons at an address.
// It keeps up to maxConns connections of theirs.
func Listen(address string, maxConns int, handler Handler, opts ...Option) (*Mesh, error) {
	c := net.ListenConfig{KeepAliveConfig: acceptedKeepAlive}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: ListenerFailed, Err: err}
	}
	return newMesh(guard.New(l, maxConns), maxConns, handler, opts...), nil
}

// newMesh returns a Mesh that accepts calls of other daemons from a listener.
func newMesh(l net.Listener, maxConns int, handler Handler, opts ...Option) *Mesh {
	m := &Mesh{listener: l, handler: handler, accepted: map[*muxConn]bool{}, memory: unlimited{}, control: semaphore.NewWeighted(controlMemory), maxStreams: int64(streamsPerConn * maxConns)}
	for _, o := range opts {
		o(m)
	}
	m.pool.open, m.bulkPool.open = m.dial, m.dial
	m.tomb.Go(m.accept)
	return m
}

// Call sends a call on a stream of its own and waits for its reply until the context ends.
// Calls do not wait for each other, so Call suits large or slow replies; for short calls that
// are made often, CallShared costs less. If there is no reply and nothing else was received on
// the connection in the second half of the wait, Call drops the connection, and the next call
// opens a new one.
func (m *Mesh) Call(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	startedAt := time.Now()
	mc, err := m.pool.get(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := m.callOn(ctx, mc, call)
	// Bytes from the first half of the wait do not show that the connection still works.
	if isUnanswered(err) && (mc.IsClosed() || mc.silentSince(startedAt.Add(time.Since(startedAt)/2))) {
		m.pool.drop(address, mc)
	}
	return reply, err
}

// isUnanswered reports whether a call ended without any reply.
func isUnanswered(err error) bool { return IsKind(err, NotSent) || IsKind(err, OutcomeUnknown) }

// callOn sends a call on a new stream of a connection, and waits for its reply until the context ends.
func (m *Mesh) callOn(ctx context.Context, mc *muxConn, call *wire.Call) (*wire.Reply, error) {
	message, err := encode(call)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: NotSent, Err: err}
	}
	stream, err := mc.OpenStream()
	if err != nil {
		closeUnlessDone(ctx, mc)
		return nil, &Error{Op: "call", Kind: NotSent, Err: err}
	}
	defer stream.Close() //nolint:errcheck // the reply has been read, or there is none
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(pastDeadline) })
	defer stop()
	if _, err := stream.Write(message); err != nil {
		closeUnlessDone(ctx, mc)
		return nil, &Error{Op: "call", Kind: OutcomeUnknown, Err: err}
	}
	reply := &wire.Reply{}
	if err := m.readReply(ctx, bufio.NewReaderSize(stream, readBufferSize), reply); err != nil {
		return nil, &Error{Op: "call", Kind: OutcomeUnknown, Err: errors.Join(err, ctx.Err())}
	}
	if reply, err = decompress(reply); err != nil {
		return nil, &Error{Op: "decode", Kind: OutcomeUnknown, Err: err}
	}
	if reply.Error != "" {
		return nil, &Error{Op: "call", Kind: Remote, Err: errors.New(reply.Error)}
	}
	return reply, nil
}

// closeUnlessDone closes a connection on which a call failed, unless that is only since its context
// has ended.
func closeUnlessDone(ctx context.Context, mc *muxConn) {
	if ctx.Err() == nil {
		_ = mc.Close()
	}
}

// Close closes the listener and all connections, and waits for the handlers.
func (m *Mesh) Close() error {
	m.tomb.Kill(nil)
	_ = m.listener.Close()
	m.pool.close()
	m.bulkPool.close()
	m.mu.Lock()
	accepted := slices.Collect(maps.Keys(m.accepted))
	m.mu.Unlock()
	for _, mc := range accepted {
		_ = mc.Close()
	}
	return m.tomb.Wait()
}

func (m *Mesh) dial(ctx context.Context, address string) (*muxConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		kind := NotSent
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = ConnectionRefused
		}
		return nil, &Error{Op: "dial", Kind: kind, Err: err}
	}
	mc, err := newMuxConn(nc, yamux.Client, nil)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: NotSent, Err: err}
	}
	return mc, nil
}

func (m *Mesh) accept() error {
	for {
		nc, err := m.listener.Accept()
		if err != nil {
			if !m.tomb.Alive() {
				return nil
			}
			return &Error{Op: "accept", Kind: ListenerFailed, Err: err}
		}
		mc, err := newMuxConn(guard.Raw(nc), yamux.Server, &strangerQuota{memory: m.memory})
		if err != nil {
			_ = nc.Close()
			continue
		}
		if !m.track(mc) {
			_ = mc.Close()
			return nil
		}
		m.tomb.Go(func() error { return m.serveConn(mc, nc) })
	}
}

// track records an accepted connection, so that Close closes it. It returns false if Close may
// already have closed the accepted connections. One that is missed stays open for as long as the
// daemon at the other end lives, and Close does not return.
func (m *Mesh) track(mc *muxConn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.tomb.Alive() {
		return false
	}
	m.accepted[mc] = true
	return true
}

// serveConn handles the calls on an accepted connection. The contexts of the calls are
// cancelled when the connection ends, since nobody waits for the replies then.
func (m *Mesh) serveConn(mc *muxConn, accepted net.Conn) error {
	ctx, cancel := context.WithCancel(m.tomb.Context(context.Background()))
	defer func() {
		cancel()
		m.mu.Lock()
		delete(m.accepted, mc)
		m.mu.Unlock()
		_ = mc.Close()
		_ = accepted.Close()
		mc.conn.stranger.end()
	}()
	for {
		stream, err := mc.AcceptStream()
		if err != nil {
			return nil // the connection was closed by either side
		}
		m.tomb.Go(func() error { return m.serveStream(ctx, accepted, mc.conn.stranger, stream) })
	}
}

func (m *Mesh) serveStream(ctx context.Context, accepted net.Conn, stranger *strangerQuota, stream *yamux.Stream) error {
	defer stream.Close() //nolint:errcheck // the calling daemon sees that the reply is missing
	defer m.streams.Add(-1)
	if m.streams.Add(1) > m.maxStreams {
		return nil
	}
	reader := bufio.NewReaderSize(stream, readBufferSize)
	for {
		call := &wire.Call{}
		err := m.readCall(ctx, stream, reader, call)
		if e, ok := asNoMemory(err); ok {
			return refuseCall(stream, reader, e)
		}
		if err != nil {
			return nil // no more calls, or an incomplete one, which gets no reply
		}
		guard.MarkUsed(accepted)
		stranger.end()
		if isCancellable(call) {
			m.serveCancellable(ctx, stream, reader, call)
			return nil
		}
		reply := m.handler(ctx, call)
		if reply == nil {
			continue
		}
		if err := writeMessage(stream, compress(reply)); err != nil {
			return nil // the calling daemon sees that the reply is missing
		}
	}
}

// refuseCall replies that a call is not handled, since there is no memory for it.
func refuseCall(stream *yamux.Stream, reader *bufio.Reader, e *noMemoryError) error {
	if reply, err := e.discard(reader); err == nil {
		_ = writeMessage(stream, &wire.Reply{Error: reply})
	}
	return nil
}

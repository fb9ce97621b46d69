package mesh

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"catkinstep/core/connection/wire"
)

const (
	dialTimeout = 300 * time.Millisecond
	// maxMessage holds the largest body with its headers, and any object.
	maxMessage = 4 << 20
)

// Handler answers a call. It must not keep the call after it returned.
type Handler func(ctx context.Context, call *wire.Call) *wire.Reply

// Mesh is one daemon's end of all its connections to others.
type Mesh struct {
	tomb     tomb.Tomb
	listener net.Listener
	handler  Handler
	pool     pool[*yamux.Session]

	mu       sync.Mutex
	accepted map[*yamux.Session]bool
}

// Listen opens the address for calls of other daemons.
func Listen(address string, handler Handler) (*Mesh, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: Local, Err: err}
	}
	m := &Mesh{listener: l, handler: handler, accepted: map[*yamux.Session]bool{}}
	m.pool.open = m.dial
	m.tomb.Go(m.accept)
	return m, nil
}

// Call sends a call and waits for its reply until the context ends.
func (m *Mesh) Call(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	session, err := m.pool.get(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		m.pool.drop(address, session)
		return nil, &Error{Op: "call", Kind: NotSent, Err: err}
	}
	defer stream.Close() //nolint:errcheck // the reply is here, or there is none
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := protodelim.MarshalTo(stream, call); err != nil {
		return nil, &Error{Op: "call", Kind: Unsure, Err: err}
	}
	reply := &wire.Reply{}
	if err := read(stream, reply); err != nil {
		if session.IsClosed() {
			m.pool.drop(address, session)
		}
		return nil, &Error{Op: "call", Kind: Unsure, Err: errors.Join(err, ctx.Err())}
	}
	if reply.Error != "" {
		return nil, &Error{Op: "call", Kind: Remote, Err: errors.New(reply.Error)}
	}
	return reply, nil
}

// Close ends all connections and waits for the handlers.
func (m *Mesh) Close() error {
	m.tomb.Kill(nil)
	_ = m.listener.Close()
	m.pool.close()
	m.mu.Lock()
	for s := range m.accepted {
		_ = s.Close()
	}
	m.mu.Unlock()
	return m.tomb.Wait()
}

func (m *Mesh) dial(ctx context.Context, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		kind := NotSent
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = Refused
		}
		return nil, &Error{Op: "dial", Kind: kind, Err: err}
	}
	s, err := yamux.Client(conn, config())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: NotSent, Err: err}
	}
	return s, nil
}

func (m *Mesh) accept() error {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if !m.tomb.Alive() {
				return nil
			}
			return &Error{Op: "accept", Kind: Local, Err: err}
		}
		s, err := yamux.Server(conn, config())
		if err != nil {
			continue
		}
		m.mu.Lock()
		m.accepted[s] = true
		m.mu.Unlock()
		m.tomb.Go(func() error { return m.serve(s) })
	}
}

func (m *Mesh) serve(s *yamux.Session) error {
	defer func() {
		m.mu.Lock()
		delete(m.accepted, s)
		m.mu.Unlock()
		_ = s.Close()
	}()
	for {
		stream, err := s.AcceptStream()
		if err != nil {
			return nil // the other side has gone, or we close
		}
		m.tomb.Go(func() error { return m.answer(stream) })
	}
}

func (m *Mesh) answer(stream *yamux.Stream) error {
	defer stream.Close() //nolint:errcheck // the caller sees a missing reply
	call := &wire.Call{}
	if err := read(stream, call); err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(m.tomb.Context(context.Background()))
	defer cancel()
	go func() {
		// The caller's end closes when it stops waiting; its order should stop too.
		_, _ = io.Copy(io.Discard, stream)
		cancel()
	}()
	_, _ = protodelim.MarshalTo(stream, m.handler(ctx, call))
	return nil
}

func read(r io.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(bufio.NewReaderSize(r, 1024), m)
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = 2 * time.Second
	c.ConnectionWriteTimeout = 2 * time.Second
	c.StreamCloseTimeout = 5 * time.Second
	c.LogOutput = io.Discard
	return c
}

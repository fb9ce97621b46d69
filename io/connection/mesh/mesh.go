package mesh

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
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
	// readAhead is how many bytes of a stream are read at once.
	readAhead = 1024
	// maxMessage holds the largest body with its headers, and any object.
	maxMessage = 4 << 20
)

// past is a deadline that ends what waits on a stream.
var past = time.Unix(1, 0)

// keepAlive ends accepted connections whose other end is gone without a word,
// as after a cut or a loss of power: nobody calls on them that could notice.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3}

// Handler answers a call, or returns nil for one that needs no reply. It must not keep the
// call after it returned.
type Handler func(ctx context.Context, call *wire.Call) *wire.Reply

// Mesh is one daemon's end of all its connections to others.
type Mesh struct {
	tomb     tomb.Tomb
	listener net.Listener
	handler  Handler
	pool     pool[*line]

	mu       sync.Mutex
	accepted map[*line]bool
}

// Listen opens the address for calls of other daemons.
func Listen(address string, handler Handler) (*Mesh, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: Local, Err: err}
	}
	m := &Mesh{listener: l, handler: handler, accepted: map[*line]bool{}}
	m.pool.open = m.dial
	m.tomb.Go(m.accept)
	return m, nil
}

// Call sends a call and waits for its reply until the context ends.
func (m *Mesh) Call(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	began := time.Now()
	l, err := m.pool.get(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := l.OpenStream()
	if err != nil {
		m.pool.drop(address, l)
		return nil, &Error{Op: "call", Kind: NotSent, Err: err}
	}
	defer stream.Close() //nolint:errcheck // the reply is here, or there is none
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(past) })
	defer stop()
	if err := write(stream, call); err != nil {
		m.pool.drop(address, l)
		return nil, &Error{Op: "call", Kind: Unsure, Err: err}
	}
	reply := &wire.Reply{}
	if err := read(bufio.NewReaderSize(stream, readAhead), reply); err != nil {
		if l.IsClosed() || l.silentSince(began.Add(time.Since(began)/2)) {
			m.pool.drop(address, l) // bytes that came early in the wait prove little
		}
		return nil, &Error{Op: "call", Kind: Unsure, Err: errors.Join(err, ctx.Err())}
	}
	if reply, err = unpack(reply); err != nil {
		return nil, &Error{Op: "call", Kind: Remote, Err: err}
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
	accepted := slices.Collect(maps.Keys(m.accepted))
	m.mu.Unlock()
	for _, l := range accepted {
		_ = l.Close()
	}
	return m.tomb.Wait()
}

func (m *Mesh) dial(ctx context.Context, address string) (*line, error) {
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
	l, err := newLine(conn, yamux.Client)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: NotSent, Err: err}
	}
	return l, nil
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
		l, err := newLine(conn, yamux.Server)
		if err != nil {
			continue
		}
		m.mu.Lock()
		m.accepted[l] = true
		m.mu.Unlock()
		m.tomb.Go(func() error { return m.serve(l) })
	}
}

// serve answers the calls of one line. Who drops the line stops waiting: its
// calls' contexts end with it.
func (m *Mesh) serve(l *line) error {
	ctx, cancel := context.WithCancel(m.tomb.Context(context.Background()))
	defer func() {
		cancel()
		m.mu.Lock()
		delete(m.accepted, l)
		m.mu.Unlock()
		_ = l.Close()
	}()
	for {
		stream, err := l.AcceptStream()
		if err != nil {
			return nil // the other side has gone, or we close
		}
		m.tomb.Go(func() error { return m.answer(ctx, stream) })
	}
}

func (m *Mesh) answer(ctx context.Context, stream *yamux.Stream) error {
	defer stream.Close() //nolint:errcheck // the caller sees a missing reply
	calls := bufio.NewReaderSize(stream, readAhead)
	for {
		call := &wire.Call{}
		if err := read(calls, call); err != nil {
			return nil // no more calls, or half a one, which has no answer
		}
		reply := m.handler(ctx, call)
		if reply == nil {
			continue
		}
		if err := write(stream, pack(reply)); err != nil {
			return nil // the caller sees a missing reply
		}
	}
}

func read(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(r, m)
}

// write writes a message and its length at once: each write is a frame of its own.
func write(w io.Writer, m proto.Message) error {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}

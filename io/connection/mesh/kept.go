package mesh

import (
	"bufio"
	"context"
	"errors"

	"github.com/hashicorp/yamux"

	"catkinstep/core/connection/wire"
)

// kept is a stream of a line that is kept open for short calls, one after the other. A
// stream for each call costs several frames more than the call itself.
type kept struct {
	turn   chan struct{} // holds the right to use the rest
	stream *yamux.Stream
	reader *bufio.Reader
}

func newKept() kept { return kept{turn: make(chan struct{}, 1)} }

// Ask sends a short call on a kept stream and waits for its reply until the context ends.
func (m *Mesh) Ask(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	reply := &wire.Reply{}
	if err := m.onKept(ctx, address, call, reply); err != nil {
		return nil, err
	}
	reply, err := unpack(reply)
	if err != nil {
		return nil, &Error{Op: "ask", Kind: Remote, Err: err}
	}
	if reply.Error != "" {
		return nil, &Error{Op: "ask", Kind: Remote, Err: errors.New(reply.Error)}
	}
	return reply, nil
}

// Tell sends a short call that has no reply. Without an error it may be lost all the same.
func (m *Mesh) Tell(ctx context.Context, address string, call *wire.Call) error {
	return m.onKept(ctx, address, call, nil)
}

// onKept sends a call, and reads a reply unless that is nil.
func (m *Mesh) onKept(ctx context.Context, address string, call *wire.Call, reply *wire.Reply) error {
	l, err := m.pool.get(ctx, address)
	if err != nil {
		return err
	}
	k := &l.kept
	select {
	case k.turn <- struct{}{}:
		defer func() { <-k.turn }()
	case <-ctx.Done():
		return &Error{Op: "ask", Kind: NotSent, Err: ctx.Err()}
	}
	if k.stream == nil {
		if k.stream, err = l.OpenStream(); err != nil {
			k.stream = nil
			m.pool.drop(address, l)
			return &Error{Op: "ask", Kind: NotSent, Err: err}
		}
		k.reader = bufio.NewReaderSize(k.stream, readAhead)
	}
	if err := k.exchange(ctx, call, reply); err != nil {
		// A reply that comes later would be taken for the next call's.
		_ = k.stream.Close()
		k.stream = nil
		return &Error{Op: "ask", Kind: Unsure, Err: errors.Join(err, ctx.Err())}
	}
	return nil
}

func (k *kept) exchange(ctx context.Context, call *wire.Call, reply *wire.Reply) error {
	stream := k.stream
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(past) })
	err := write(stream, call)
	if err == nil && reply != nil {
		err = read(k.reader, reply)
	}
	if !stop() && err == nil {
		return ctx.Err() // the stream's deadline has passed
	}
	return err
}

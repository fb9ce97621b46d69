package mesh

import (
	"bufio"
	"context"
	"errors"

	"github.com/hashicorp/yamux"

	"catkinstep/core/connection/wire"
)

// sharedStream is a stream that stays open for short calls, which use it one at a time. A
// new stream for each call would take several frames more than the call itself.
type sharedStream struct {
	semaphore chan struct{} // acquired to use the other fields
	stream    *yamux.Stream
	reader    *bufio.Reader
}

func newSharedStream() sharedStream { return sharedStream{semaphore: make(chan struct{}, 1)} }

// CallShared sends a short call on the shared stream and waits for its reply until the
// context ends. It costs less than Call, but calls to the same daemon run one at a time, each
// after the reply to the previous one. Unlike Call, it does not drop a silent connection.
func (m *Mesh) CallShared(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	reply := &wire.Reply{}
	if err := m.exchangeShared(ctx, address, call, reply); err != nil {
		return nil, err
	}
	reply, err := decompress(reply)
	if err != nil {
		return nil, &Error{Op: "ask", Kind: OutcomeUnknown, Err: err}
	}
	if reply.Error != "" {
		return nil, &Error{Op: "ask", Kind: Remote, Err: errors.New(reply.Error)}
	}
	return reply, nil
}

// Notify sends a short call that has no reply on the shared stream. The call may be lost
// even if no error is returned.
func (m *Mesh) Notify(ctx context.Context, address string, call *wire.Call) error {
	return m.exchangeShared(ctx, address, call, nil)
}

// exchangeShared sends a call on the shared stream. It reads a reply unless reply is nil.
func (m *Mesh) exchangeShared(ctx context.Context, address string, call *wire.Call, reply *wire.Reply) error {
	mc, err := m.pool.get(ctx, address)
	if err != nil {
		return err
	}
	s := &mc.sharedStream
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	case <-ctx.Done():
		return &Error{Op: "ask", Kind: NotSent, Err: ctx.Err()}
	}
	if s.stream == nil {
		if s.stream, err = mc.OpenStream(); err != nil {
			s.stream = nil
			m.pool.drop(address, mc)
			return &Error{Op: "ask", Kind: NotSent, Err: err}
		}
		s.reader = bufio.NewReaderSize(s.stream, readBufferSize)
	}
	if err := m.exchangeOn(ctx, s, call, reply); err != nil {
		// On this stream, a late reply would be taken for the reply to the next call.
		_ = s.stream.Close()
		s.stream = nil
		return &Error{Op: "ask", Kind: OutcomeUnknown, Err: errors.Join(err, ctx.Err())}
	}
	return nil
}

// exchangeOn sends a call on a shared stream that is open.
func (m *Mesh) exchangeOn(ctx context.Context, s *sharedStream, call *wire.Call, reply *wire.Reply) error {
	stream := s.stream
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(pastDeadline) })
	err := writeMessage(stream, call)
	if err == nil && reply != nil {
		err = m.readReply(ctx, s.reader, reply)
	}
	if !stop() && err == nil {
		return ctx.Err() // the stream's deadline has passed
	}
	return err
}

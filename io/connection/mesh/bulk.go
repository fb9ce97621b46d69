package mesh

import (
	"bufio"
	"context"

	"github.com/hashicorp/yamux"

	"catkinstep/core/connection/wire"
)

// CallBulk is like Call, but uses a connection of its own, which only calls of CallBulk share. Large
// messages and long calls do not delay those between the control loops. The connection is kept when
// a call ends without a reply: others, which must not be interrupted, may have long to wait.
func (m *Mesh) CallBulk(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	mc, err := m.bulkPool.get(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := m.callOn(ctx, mc, call)
	if err != nil && mc.IsClosed() {
		m.bulkPool.drop(address, mc)
	}
	return reply, err
}

// DropBulk closes the connection of CallBulk to an address, on which the other end does not answer.
func (m *Mesh) DropBulk(address string) { m.bulkPool.dropAny(address) }

// isCancellable reports whether the handler of a call should stop when its caller does not wait any
// more. It has a stream to itself then.
func isCancellable(call *wire.Call) bool { return call.GetCarry() != nil }

// cancelAtEnd cancels a call when the other end closes its stream.
func cancelAtEnd(cancel context.CancelFunc, reader *bufio.Reader) {
	_, _ = reader.Peek(1) // nothing follows the call: this returns when the stream ends
	cancel()
}

// serveCancellable handles the only call on a stream.
func (m *Mesh) serveCancellable(ctx context.Context, stream *yamux.Stream, reader *bufio.Reader, call *wire.Call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.tomb.Go(func() error { cancelAtEnd(cancel, reader); return nil })
	if reply := m.handler(ctx, call); reply != nil {
		_ = writeMessage(stream, reply) // the calling daemon sees that the reply is missing
	}
}

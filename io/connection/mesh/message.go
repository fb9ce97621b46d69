package mesh

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinstep/core/process/memory"
)

const (
	// MaxMessageSize is the maximum size of a message in bytes. It suffices for the largest
	// response of a server with its header, and for any object.
	MaxMessageSize = 24 << 20
	// controlMessageSize is the size in bytes up to which a message is read without regard to the memory of
	// callers' requests: the control loops' messages must arrive while callers take all of that.
	controlMessageSize = 4 << 20
	// controlMemory is the memory in bytes for such messages of more than smallMessage that are read at a time.
	controlMemory = 8 << 20
	smallMessage  = 16 << 10
	// readTimeout is how long such a message may take to arrive, once its size has.
	readTimeout = 3 * time.Second
)

var errMessageTooLarge = fmt.Errorf("a message exceeds %d bytes", MaxMessageSize)

// noMemoryError means that there is no memory for a message. It has not been read.
type noMemoryError struct{ size int }

// Error implements the error interface.
func (e *noMemoryError) Error() string {
	return fmt.Sprintf("no memory for a message of %d bytes", e.size)
}

// Memory is what large messages are kept in. Reserve takes n bytes if there is room, and Release gives them back. Alloc and AwaitAlloc return a block that is given back once nothing
// refers to it; Alloc returns nil if there is no room, AwaitAlloc waits for it until the context ends.
type Memory interface {
	Reserve(u memory.Use, n int64) bool
	Release(u memory.Use, n int64)
	Alloc(u memory.Use, n int) []byte
	AwaitAlloc(ctx context.Context, u memory.Use, n int) ([]byte, error)
}

// unlimited is a Memory without limits.
type unlimited struct{}

func (unlimited) Reserve(memory.Use, int64) bool   { return true }
func (unlimited) Release(memory.Use, int64)        {}
func (unlimited) Alloc(_ memory.Use, n int) []byte { return make([]byte, n) }
func (unlimited) AwaitAlloc(_ context.Context, _ memory.Use, n int) ([]byte, error) {
	return make([]byte, n), nil
}

// readSize reads the size of the next message.
func readSize(r *bufio.Reader) (int, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, err
	}
	if size > MaxMessageSize {
		return 0, errMessageTooLarge
	}
	return int(size), nil
}

// readInto reads a message into a block of its size.
func readInto(r io.Reader, block []byte, m proto.Message) error {
	if _, err := io.ReadFull(r, block); err != nil {
		return err
	}
	return proto.Unmarshal(block, m)
}

// readReply reads a reply, for which the caller has waited: it waits for memory until the context ends.
func (m *Mesh) readReply(ctx context.Context, r *bufio.Reader, reply proto.Message) error {
	size, err := readSize(r)
	if err != nil {
		return err
	}
	if size <= controlMessageSize {
		return readInto(r, make([]byte, size), reply)
	}
	block, err := m.memory.AwaitAlloc(ctx, memory.Responses, size)
	if err != nil {
		return err
	}
	return readInto(r, block, reply)
}

// deadliner is a connection or a stream.
type deadliner interface{ SetReadDeadline(time.Time) error }

// readCall reads a call of another daemon. It returns a noMemoryError if there is no memory for it.
func (m *Mesh) readCall(ctx context.Context, d deadliner, r *bufio.Reader, call proto.Message) error {
	size, err := readSize(r)
	if err != nil {
		return err
	}
	switch {
	case size <= smallMessage:
		return readInto(r, make([]byte, size), call)
	case size <= controlMessageSize:
		return m.readControl(ctx, d, r, size, call)
	}
	block := m.memory.Alloc(memory.Carried, size)
	if block == nil {
		return &noMemoryError{size: size}
	}
	return readInto(r, block, call)
}

// readControl reads a call that may be one of a control loop.
func (m *Mesh) readControl(ctx context.Context, d deadliner, r *bufio.Reader, size int, call proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := m.control.Acquire(ctx, int64(size)); err != nil {
		return err
	}
	defer m.control.Release(int64(size))
	_ = d.SetReadDeadline(time.Now().Add(readTimeout))
	defer d.SetReadDeadline(time.Time{}) //nolint:errcheck // a stream that is closed reads nothing more
	return readInto(r, make([]byte, size), call)
}

// discard reads a message that there is no memory for, and returns the reply to it.
func (e *noMemoryError) discard(r io.Reader) (reply string, err error) {
	_, err = io.CopyN(io.Discard, r, int64(e.size))
	return e.Error(), err
}

func asNoMemory(err error) (*noMemoryError, bool) {
	var e *noMemoryError
	return e, errors.As(err, &e)
}

// writeMessage writes a length and a message in one write, since each write becomes a frame.
func writeMessage(w io.Writer, m proto.Message) error {
	message, err := encode(m)
	if err != nil {
		return err
	}
	_, err = w.Write(message)
	return err
}

// encode returns a length and a message.
func encode(m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	if size > MaxMessageSize {
		return nil, errMessageTooLarge
	}
	out := binary.AppendUvarint(make([]byte, 0, size+binary.MaxVarintLen32), uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, m)
}

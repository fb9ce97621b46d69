package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"catkinstep/core/process/memory"
)

const (
	// maxResponseBody is the maximum size of a response body in bytes. A response is
	// read completely before any of it is sent to the caller.
	maxResponseBody = 16 << 20
	// smallBody is how many bytes of a body are read without a reservation.
	smallBody = 16 << 10
	// mediumBody is the size in bytes up to which a body of unknown length needs little memory while it is read,
	// and mediumBodies how many such bodies are read at a time.
	mediumBody   = 1 << 20
	mediumBodies = 4
	// mediumShare is the part of a budget's bytes for each further one.
	mediumShare = 4 * mediumBody
	// growthFactor/2 is how many times its size a body may take that grows by copying.
	growthFactor = 3
	// defaultBodyBudget is the BodyBudget of a Client that has no other.
	defaultBodyBudget = 4 * maxResponseBody
)

var errBodyTooLarge = fmt.Errorf("response body exceeds %d bytes", maxResponseBody)

// noMemoryError means that the body of a response was not read, since there was no memory for it in time.
type noMemoryError struct{ err error }

// Error implements the error interface.
func (e *noMemoryError) Error() string { return "no memory for the body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *noMemoryError) Unwrap() error { return e.err }

// Memory is what the large bodies of responses are kept in, from when they are read until nothing refers to
// them.
type Memory interface {
	// AwaitAlloc returns a block of n bytes, and waits for room until the context ends. Hold counts a block
	// that is there already.
	AwaitAlloc(ctx context.Context, u memory.Use, n int) ([]byte, error)
	// AwaitReserve waits for n bytes, which Release gives back.
	AwaitReserve(ctx context.Context, u memory.Use, n int64) error
	Release(u memory.Use, n int64)
	Hold(u memory.Use, block []byte)
}

// unlimited is a Memory without limits.
type unlimited struct{}

func (unlimited) AwaitAlloc(_ context.Context, _ memory.Use, n int) ([]byte, error) {
	return make([]byte, n), nil
}
func (unlimited) AwaitReserve(context.Context, memory.Use, int64) error { return nil }
func (unlimited) Release(memory.Use, int64)                             {}
func (unlimited) Hold(memory.Use, []byte)                               {}

// BodyBudget limits the memory of the large response bodies that are being read. It is safe for
// concurrent use, and may be shared by Clients.
type BodyBudget struct {
	limit  int64
	memory Memory // for the bodies that have been read
	medium *semaphore.Weighted
	bytes  *semaphore.Weighted
	// used are the bytes that are reserved at present, and highest the most that ever were.
	used, highest atomic.Int64
}

// NewBodyBudget returns a BodyBudget of limit bytes, at least that of one body.
func NewBodyBudget(limit int64) *BodyBudget {
	return &BodyBudget{limit: limit, bytes: semaphore.NewWeighted(limit), medium: semaphore.NewWeighted(max(mediumBodies, limit/mediumShare)), memory: unlimited{}}
}

// WithMemory returns a BodyBudget of which nothing is used whose bodies are kept in m.
func (b *BodyBudget) WithMemory(m Memory) *BodyBudget {
	out := NewBodyBudget(b.limit)
	out.memory = m
	return out
}

// WithBodyBudget makes a Client share a budget with others.
func WithBodyBudget(b *BodyBudget) Option { return func(cl *Client) { cl.bodies = b } }

// reserve waits for n bytes until the context ends.
func (b *BodyBudget) reserve(ctx context.Context, n int) error {
	if err := b.bytes.Acquire(ctx, int64(n)); err != nil {
		return &noMemoryError{err: err}
	}
	b.count(n)
	return nil
}

func (b *BodyBudget) release(n int) {
	b.used.Add(-int64(n))
	b.bytes.Release(int64(n))
}

func (b *BodyBudget) count(n int) {
	used := b.used.Add(int64(n))
	for h := b.highest.Load(); used > h && !b.highest.CompareAndSwap(h, used); h = b.highest.Load() {
	}
}

// readBody reads the body of a response.
func (b *BodyBudget) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxResponseBody {
		return nil, errBodyTooLarge
	}
	start, err := io.ReadAll(io.LimitReader(resp.Body, smallBody))
	if err != nil || len(start) < smallBody {
		return start, err
	}
	if resp.ContentLength >= 0 {
		return b.readKnown(ctx, start, resp)
	}
	return b.readUnknown(ctx, start, resp.Body)
}

// readKnown reads the rest of a body of known length. It waits for all of its memory at once, holding
// hardly any, so that bodies do not wait for each other in a circle.
func (b *BodyBudget) readKnown(ctx context.Context, start []byte, resp *http.Response) ([]byte, error) {
	size := int(resp.ContentLength)
	if err := b.reserve(ctx, size); err != nil {
		return nil, err
	}
	defer b.release(size)
	out, err := b.memory.AwaitAlloc(ctx, memory.Responses, size)
	if err != nil {
		return nil, &noMemoryError{err: err}
	}
	_, err = io.ReadFull(resp.Body, out[copy(out, start):])
	return out, err
}

// readUnknown reads the rest of a body of unknown length. It waits for the memory of a medium one first, and
// holding that for the memory of the largest one: those who have that wait for nothing more.
func (b *BodyBudget) readUnknown(ctx context.Context, start []byte, r io.Reader) ([]byte, error) {
	if err := b.medium.Acquire(ctx, 1); err != nil {
		return nil, &noMemoryError{err: err}
	}
	defer b.medium.Release(1)
	body, err := b.readUpTo(ctx, start, r, mediumBody)
	if err != nil || len(body) < mediumBody {
		return body, err
	}
	if err := b.reserve(ctx, growthFactor*maxResponseBody/2); err != nil {
		return nil, err
	}
	defer b.release(growthFactor * maxResponseBody / 2)
	body, err = b.readUpTo(ctx, body, r, maxResponseBody+1)
	if err == nil && len(body) > maxResponseBody {
		return nil, errBodyTooLarge
	}
	return body, err
}

// readUpTo reads on until a body has ended or has size bytes. The body that it returns is counted.
func (b *BodyBudget) readUpTo(ctx context.Context, body []byte, r io.Reader, size int) ([]byte, error) {
	reserved := int64(growthFactor * size / 2)
	if err := b.memory.AwaitReserve(ctx, memory.Responses, reserved); err != nil {
		return nil, &noMemoryError{err: err}
	}
	defer b.memory.Release(memory.Responses, reserved)
	for len(body) < size {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(2*len(body), size))
			copy(grown, body)
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	b.memory.Hold(memory.Responses, body)
	return body, nil
}

package mesh

import (
	"errors"
	"sync"

	"catkinstep/core/process/memory"
)

const (
	// strangerBytes is how many bytes an accepted connection may receive without a reservation before the first
	// call on it has been read. The multiplexer buffers what arrives on each of many streams.
	strangerBytes = 64 << 10
	// strangerStep is the size in bytes of the reservations beyond that, and bufferGrowth how many times what
	// they hold the multiplexer's buffers may be.
	strangerStep = 256 << 10
	bufferGrowth = 2
)

var errStranger = errors.New("no memory for what arrives on a connection without a call")

// strangerQuota limits what is received on an accepted connection before the first call on it has been read.
type strangerQuota struct {
	memory Memory

	mu       sync.Mutex
	ended    bool // a call has been read, or the connection has been closed
	received int64
	reserved int64
}

// receive counts n bytes, and returns an error if there is no memory for them.
func (q *strangerQuota) receive(n int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended {
		return nil
	}
	q.received += int64(n)
	for bufferGrowth*(q.received-strangerBytes) > q.reserved {
		if !q.memory.Reserve(memory.Carried, strangerStep) {
			return errStranger
		}
		q.reserved += strangerStep
	}
	return nil
}

// end lifts the limit and gives the memory back.
func (q *strangerQuota) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended {
		return
	}
	q.ended = true
	q.memory.Release(memory.Carried, q.reserved)
}

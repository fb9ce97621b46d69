// Package heap reserves the memory for requests and responses in a memory.Budget. Large blocks count until the
// garbage collector has found that nothing refers to them, so that a block cannot be given back twice, too
// early, or not at all. If there is no room, garbage is collected first.
//
// # Usage
//
//	m := heap.New(plan)
//	block := m.Alloc(memory.LargeBodies, 256<<10) // nil if there is no room
//	m.Discard(len(block))                         // it will not be used any more
//	if m.Reserve(memory.Requests, n) {
//		defer m.Release(memory.Requests, n)
//	}
//
// Memory is safe for concurrent use. Errors are those of the contexts.
package heap

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"catkinstep/core/process/memory"
)

const (
	// collectInterval is the shortest time between two collections, since each costs processor time.
	collectInterval = 100 * time.Millisecond
	// maxUncollected is the time after which garbage is collected even if no block is known to be discarded:
	// something may have referred to one at the last collection.
	maxUncollected = 500 * time.Millisecond
	// cleanupWait bounds how long the cleanups of collected blocks are awaited.
	cleanupWait = 50 * time.Millisecond
	// trimDelay is the time after large blocks were discarded at which free memory is given back to the
	// operating system, and minTrim how many bytes that have to be.
	trimDelay = time.Second
	minTrim   = 8 << 20
)

// Memory is the memory for the requests and responses of a process.
type Memory struct {
	mu     sync.Mutex
	budget *memory.Budget
	// released is closed and replaced when memory is given back while somebody waits for it.
	released chan struct{}
	waiting  int
	// discarded are the bytes of blocks that are known to be garbage, and untrimmed those since memory was
	// last given back to the operating system.
	discarded, untrimmed int64
	trimmer              *time.Timer
	// onFull is called while somebody waits for memory.
	onFull func()

	collectMu   sync.Mutex // held while garbage is collected
	collectedAt time.Time
}

// New returns a Memory with the limits of a plan.
func New(p memory.Plan) *Memory {
	return &Memory{budget: memory.NewBudget(p), released: make(chan struct{}), onFull: func() {}}
}

// WithOnFull sets a function that is called while somebody waits for memory, and may make room. It must be set
// before the Memory is used.
func (m *Memory) WithOnFull(f func()) *Memory {
	m.onFull = f
	return m
}

// SetLimit limits the heap of the process, so that garbage is collected before the machine has no memory left.
func SetLimit(p memory.Plan) { debug.SetMemoryLimit(p.HeapBytes) }

// Reserve takes n bytes, and reports whether there was room.
func (m *Memory) Reserve(u memory.Use, n int64) bool {
	if m.tryReserve(u, n) {
		return true
	}
	return m.collect() && m.tryReserve(u, n)
}

func (m *Memory) tryReserve(u memory.Use, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Reserve(u, n)
}

// Release gives n bytes back.
func (m *Memory) Release(u memory.Use, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(u, n)
	if u >= memory.LargeBodies {
		m.recordFree(n)
	}
	if m.waiting > 0 {
		close(m.released)
		m.released = make(chan struct{})
	}
}

// Alloc returns a block of n bytes, or nil if there is no room. Its memory is given back once nothing refers to
// the block and garbage has been collected.
func (m *Memory) Alloc(u memory.Use, n int) []byte {
	if !m.Reserve(u, int64(n)) {
		return nil
	}
	return m.block(u, n)
}

// AwaitAlloc is like Alloc, but waits for room until the context ends.
func (m *Memory) AwaitAlloc(ctx context.Context, u memory.Use, n int) ([]byte, error) {
	if err := m.AwaitReserve(ctx, u, int64(n)); err != nil {
		return nil, err
	}
	return m.block(u, n), nil
}

// AwaitReserve is like Reserve, but waits for room until the context ends.
func (m *Memory) AwaitReserve(ctx context.Context, u memory.Use, n int64) error {
	m.addWaiting(1)
	defer m.addWaiting(-1)
	for {
		m.mu.Lock()
		released, ok := m.released, m.budget.Reserve(u, n)
		m.mu.Unlock()
		if ok || m.collect() && m.tryReserve(u, n) {
			return nil
		}
		m.onFull()
		select {
		case <-released:
		case <-time.After(collectInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Memory) addWaiting(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting += n
}

// Hold counts a block that is there already, whether or not there is room. Its memory is given back like that of
// blocks of Alloc.
func (m *Memory) Hold(u memory.Use, block []byte) {
	if len(block) == 0 {
		return
	}
	m.mu.Lock()
	m.budget.Force(u, int64(cap(block)))
	m.mu.Unlock()
	m.releaseWithBlock(u, block)
}

func (m *Memory) block(u memory.Use, n int) []byte {
	block := make([]byte, n)
	m.releaseWithBlock(u, block)
	return block
}

// releaseWithBlock gives the memory of a block back once nothing refers to it.
func (m *Memory) releaseWithBlock(u memory.Use, block []byte) {
	runtime.AddCleanup(&block[0], func(n int64) { m.Release(u, n) }, int64(cap(block)))
}

// Discard records that n bytes of blocks will not be used any more.
func (m *Memory) Discard(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.discarded += int64(n)
	m.recordFree(int64(n))
}

// recordFree records that n bytes may be given back to the operating system. m.mu must be held.
func (m *Memory) recordFree(n int64) {
	m.untrimmed += n
	if m.untrimmed >= minTrim && m.trimmer == nil {
		m.trimmer = time.AfterFunc(trimDelay, m.trim)
	}
}

// trim gives free memory back to the operating system.
func (m *Memory) trim() {
	m.mu.Lock()
	m.trimmer, m.untrimmed = nil, 0
	m.mu.Unlock()
	debug.FreeOSMemory()
}

// collect collects garbage if there may be some, and reports whether it did. Concurrent calls share a
// collection.
func (m *Memory) collect() bool {
	calledAt := time.Now()
	m.collectMu.Lock()
	defer m.collectMu.Unlock()
	if m.collectedAt.After(calledAt) {
		return true
	}
	m.mu.Lock()
	discarded := m.discarded
	m.mu.Unlock()
	if discarded == 0 && calledAt.Sub(m.collectedAt) < maxUncollected {
		return false
	}
	time.Sleep(time.Until(m.collectedAt.Add(collectInterval)))
	m.mu.Lock()
	m.discarded = 0
	m.mu.Unlock()
	awaitCollection()
	m.collectedAt = time.Now()
	return true
}

// awaitCollection collects garbage and waits until cleanups have run.
func awaitCollection() {
	done := make(chan struct{})
	runtime.AddCleanup(&make([]byte, minBlock)[0], func(done chan struct{}) { close(done) }, done)
	runtime.GC()
	select {
	case <-done:
	case <-time.After(cleanupWait):
	}
}

// minBlock is a size of blocks that do not share their memory with other small objects.
const minBlock = 64

// Fits reports whether n bytes could be reserved if nothing else were in use.
func (m *Memory) Fits(u memory.Use, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Fits(u, n)
}

// Usage returns the bytes in use by name of the use, with their sum and the highest sum so far.
func (m *Memory) Usage() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	used, highest := m.budget.Total()
	values := map[string]int64{"used": used, "highest": highest}
	for _, u := range memory.Uses() {
		values[u.String()] = m.budget.Used(u)
	}
	return values
}

package mesh

import (
	"context"
	"sync"
)

// session is what a pool requires of the sessions that it keeps.
type session interface {
	comparable
	IsClosed() bool
	Close() error
}

// pool keeps one open session for each address. Concurrent calls of get share the attempt to
// open it.
type pool[S session] struct {
	open func(ctx context.Context, address string) (S, error)

	mu      sync.Mutex
	entries map[string]*poolEntry[S]
	closed  bool
}

type poolEntry[S session] struct {
	ready chan struct{} // closed once value and err are set
	value S
	err   error
}

// get returns the open session for an address, and opens one if there is none. If the context
// ends before the session is open, get returns an error, and the attempt to open it continues.
func (p *pool[S]) get(ctx context.Context, address string) (S, error) {
	var zero S
	p.mu.Lock()
	if p.entries == nil {
		p.entries = map[string]*poolEntry[S]{}
	}
	e, ok := p.entries[address]
	if ok {
		select {
		case <-e.ready:
			if e.err == nil && !e.value.IsClosed() {
				p.mu.Unlock()
				return e.value, nil
			}
			ok = false
		default:
		}
	}
	if !ok {
		e = &poolEntry[S]{ready: make(chan struct{})}
		p.entries[address] = e
		go p.openEntry(address, e)
	}
	p.mu.Unlock()
	select {
	case <-e.ready:
		return e.value, e.err
	case <-ctx.Done():
		return zero, &Error{Op: "dial", Kind: NotSent, Err: ctx.Err()}
	}
}

// openEntry opens a session. It does not use the context of the first call of get, since
// other calls may be waiting for the session too.
func (p *pool[S]) openEntry(address string, e *poolEntry[S]) {
	e.value, e.err = p.open(context.Background(), address)
	p.mu.Lock()
	closed := p.closed
	close(e.ready) // with the lock held: close either finds the session ready, or leaves it to this function
	p.mu.Unlock()
	if closed && e.err == nil {
		_ = e.value.Close()
	}
}

// drop closes a session, and removes it from the pool if the pool still holds it.
func (p *pool[S]) drop(address string, s S) {
	p.mu.Lock()
	if e, ok := p.entries[address]; ok {
		select {
		case <-e.ready:
			if e.value == s {
				delete(p.entries, address)
			}
		default: // a new session is already being opened
		}
	}
	p.mu.Unlock()
	_ = s.Close()
}

// dropAny drops the open session for an address, if there is one.
func (p *pool[S]) dropAny(address string) {
	p.mu.Lock()
	e, ok := p.entries[address]
	p.mu.Unlock()
	if !ok {
		return
	}
	select {
	case <-e.ready:
		if e.err == nil {
			p.drop(address, e.value)
		}
	default:
	}
}

// close closes all sessions. openEntry closes those that are still being opened.
func (p *pool[S]) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range p.entries {
		select {
		case <-e.ready:
			if e.err == nil {
				_ = e.value.Close()
			}
		default:
		}
	}
}

package mesh

import (
	"context"
	"sync"
)

// session is what a pool keeps open.
type session interface {
	comparable
	IsClosed() bool
	Close() error
}

// pool keeps one open session for each address. Only one caller opens it; the
// others wait for that one.
type pool[S session] struct {
	open func(ctx context.Context, address string) (S, error)

	mu     sync.Mutex
	slots  map[string]*slot[S]
	closed bool
}

type slot[S session] struct {
	ready chan struct{}
	s     S
	err   error
}

func (p *pool[S]) get(ctx context.Context, address string) (S, error) {
	var none S
	p.mu.Lock()
	if p.slots == nil {
		p.slots = map[string]*slot[S]{}
	}
	have, ok := p.slots[address]
	if ok {
		select {
		case <-have.ready:
			if have.err == nil && !have.s.IsClosed() {
				p.mu.Unlock()
				return have.s, nil
			}
			ok = false
		default:
		}
	}
	if !ok {
		have = &slot[S]{ready: make(chan struct{})}
		p.slots[address] = have
		go p.fill(address, have)
	}
	p.mu.Unlock()
	select {
	case <-have.ready:
		return have.s, have.err
	case <-ctx.Done():
		return none, &Error{Op: "dial", Kind: NotSent, Err: ctx.Err()}
	}
}

// fill opens a session on nobody's deadline in particular, since others than
// the first caller wait for it too.
func (p *pool[S]) fill(address string, s *slot[S]) {
	s.s, s.err = p.open(context.Background(), address)
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	close(s.ready)
	if closed && s.err == nil {
		_ = s.s.Close()
	}
}

func (p *pool[S]) drop(address string, s S) {
	p.mu.Lock()
	if have, ok := p.slots[address]; ok {
		select {
		case <-have.ready:
			if have.s == s {
				delete(p.slots, address)
			}
		default: // a new one is being opened already
		}
	}
	p.mu.Unlock()
	_ = s.Close()
}

func (p *pool[S]) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.slots {
		select {
		case <-s.ready:
			if s.err == nil {
				_ = s.s.Close()
			}
		default:
		}
	}
}

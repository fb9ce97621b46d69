package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// countedSession counts how often it was closed.
type countedSession struct{ closes atomic.Int32 }

func (s *countedSession) IsClosed() bool { return s.closes.Load() > 0 }

func (s *countedSession) Close() error {
	s.closes.Add(1)
	return nil
}

// Guards against a session that stays open for ever because it was opened while the pool was closed.
func TestPoolCloseDuringOpen(t *testing.T) {
	Convey("A session that is opened while the pool is closed is closed, each time", t, func() {
		left := 0
		for range 20_000 {
			s := &countedSession{}
			p := pool[*countedSession]{}
			p.open = func(context.Context, string) (*countedSession, error) { return s, nil }
			e := &poolEntry[*countedSession]{ready: make(chan struct{})}
			p.entries = map[string]*poolEntry[*countedSession]{"x": e}
			var wg sync.WaitGroup
			wg.Go(func() { p.openEntry("x", e) })
			wg.Go(p.close)
			wg.Wait()
			if !s.IsClosed() {
				left++
			}
		}
		So(left, ShouldEqual, 0)
	})
}

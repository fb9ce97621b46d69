package misuse

import (
	"context"
	"net"
	"sync"
	"time"
)

// Limits bound what all clients of a context do together, so that they do not take the processor time of
// what they misuse. Zero means no limit.
type Limits struct {
	// ConnsPerSecond, BytesPerSecond and RequestsPerSecond are the connections that are opened, the bytes that
	// are sent, and the requests that are sent ahead.
	ConnsPerSecond, BytesPerSecond, RequestsPerSecond float64
}

type limitsKey struct{}

// limiter is the state of Limits.
type limiter struct{ conns, bytes, requests pacer }

// WithLimits returns a context whose clients keep to limits.
func WithLimits(ctx context.Context, l Limits) context.Context {
	return context.WithValue(ctx, limitsKey{}, &limiter{conns: pacer{perSecond: l.ConnsPerSecond}, bytes: pacer{perSecond: l.BytesPerSecond}, requests: pacer{perSecond: l.RequestsPerSecond}})
}

// limiterOf returns the limiter of a context, one without limits if it has none.
func limiterOf(ctx context.Context) *limiter {
	if l, ok := ctx.Value(limitsKey{}).(*limiter); ok {
		return l
	}
	return &limiter{}
}

// pacer spreads units evenly over time.
type pacer struct {
	perSecond float64
	mu        sync.Mutex
	next      time.Time
}

// take waits for the turn of n units.
func (p *pacer) take(ctx context.Context, n float64) {
	if p.perSecond <= 0 {
		return
	}
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(n / p.perSecond * float64(time.Second)))
	p.mu.Unlock()
	if wait > 0 {
		pause(ctx, wait)
	}
}

// limitedConn writes within the limits of a context.
type limitedConn struct {
	net.Conn
	ctx   context.Context //nolint:containedctx // lives as long as the use of the connection
	bytes *pacer
}

// maxWrite is the size in bytes of the writes of a limitedConn.
const maxWrite = 64 << 10

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		part := p[:min(len(p), maxWrite)]
		c.bytes.take(c.ctx, float64(len(part)))
		var n int
		n, err = c.Conn.Write(part)
		written += n
		p = p[n:]
	}
	return written, err
}

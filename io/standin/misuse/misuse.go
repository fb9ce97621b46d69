// Package misuse plays clients that do not behave: large bodies, requests sent ahead, slow senders and readers,
// and connections without requests. Each client uses one connection after the other until its context ends. All
// clients of a context keep to its Limits, so that what they show is not their own processor time.
//
// # Usage
//
//	client := misuse.Crowd(32, misuse.Connected(misuse.SizedBody("/intake/x", 60e6, 60e6)))
//	client(misuse.WithLimits(ctx, misuse.Limits{BytesPerSecond: 200e6}), "127.0.0.1:8081")
//
// Clients report no errors: that they are refused is what they are for.
package misuse

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Client misuses an address until the context ends.
type Client func(ctx context.Context, address string)

// Use is what a client does with one connection.
type Use func(ctx context.Context, c net.Conn)

const (
	// reconnectPause is the time between two connections of one client.
	reconnectPause = 5 * time.Millisecond
	dialTimeout    = time.Second
)

// Crowd runs n clients beside each other.
func Crowd(n int, client Client) Client {
	return func(ctx context.Context, address string) {
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() { client(ctx, address) })
		}
		wg.Wait()
	}
}

// Connected opens connections one after the other and uses each.
func Connected(use Use) Client {
	return func(ctx context.Context, address string) {
		limits := limiterOf(ctx)
		for ctx.Err() == nil {
			limits.conns.take(ctx, 1)
			c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
			if err == nil {
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				use(ctx, &limitedConn{Conn: c, ctx: ctx, bytes: &limits.bytes})
				stop()
				_ = c.Close()
			}
			pause(ctx, reconnectPause)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

var requestCount atomic.Int64

// Head returns the head of a request with an ID and a key of its own and further lines, each ended by a line
// break.
func Head(method, path, lines string) string {
	id, key := requestCount.Add(1), rand.IntN(65536)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: misuse-%d\r\nDeadline-Ms: 1400\r\nShard-Key: %d\r\nCatkinstep-Key: %d\r\n%s\r\n", method, path, id, key, key, lines)
}

var zeros = make([]byte, 1<<20)

// writeZeros writes n bytes.
func writeZeros(w io.Writer, n int) error {
	for n > 0 {
		k := min(n, len(zeros))
		if _, err := w.Write(zeros[:k]); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

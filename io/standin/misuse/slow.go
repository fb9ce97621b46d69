package misuse

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// slowInterval is the time between two bytes of a slow sender, and readInterval that between two reads of
	// readBytes bytes of a slow reader.
	slowInterval = 500 * time.Millisecond
	readInterval = 200 * time.Millisecond
	readBytes    = 100
	// readerRequests is how many requests a slow reader sends.
	readerRequests = 16
	// claimedStreams is how many streams Claiming opens, and claimedBytes how much it sends on each.
	claimedStreams = 64
	claimedBytes   = 256 << 10
)

// Silent sends nothing and waits until its connection is closed.
func Silent(_ context.Context, c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// Slowly sends a text at once and then the bytes of another one, again and again, one each half second.
func Slowly(first, rest string) Use {
	return func(ctx context.Context, c net.Conn) {
		if _, err := io.WriteString(c, first); err != nil {
			return
		}
		for i := 0; ctx.Err() == nil; i++ {
			pause(ctx, slowInterval)
			if _, err := io.WriteString(c, rest[i%len(rest):i%len(rest)+1]); err != nil {
				return
			}
		}
	}
}

// SlowReader asks for responses and reads a few bytes of them now and then.
func SlowReader(path string) Use {
	return func(ctx context.Context, c net.Conn) {
		for range readerRequests {
			if _, err := io.WriteString(c, Head(http.MethodGet, path, "")); err != nil {
				return
			}
		}
		few := make([]byte, readBytes)
		for ctx.Err() == nil {
			if _, err := c.Read(few); err != nil {
				return
			}
			pause(ctx, readInterval)
		}
	}
}

// Claiming opens many streams as another daemon does, and sends the size of a large message and a part of it on
// each.
func Claiming(_ context.Context, c net.Conn) {
	for id := byte(1); id < 2*claimedStreams; id += 2 {
		open := []byte{0, 1, 0, 1, 0, 0, 0, id, 0, 0, 0, 0}
		data := []byte{0, 0, 0, 0, 0, 0, 0, id, 0, claimedBytes >> 16, 0, 0}
		size := []byte{0x80, 0x80, 0x80, 0x0b} // 23 MB
		if _, err := c.Write(append(append(open, data...), size...)); err != nil || writeZeros(c, claimedBytes-len(size)) != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

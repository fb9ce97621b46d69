package misuse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// replyTimeout is how long a reply is awaited.
	replyTimeout = 5 * time.Second
	// maxCutBody is the largest body in bytes that Cutting begins to send.
	maxCutBody = 4 << 20
)

// SizedBody sends a body of n bytes with its length, of which it sends only the first sent bytes, and reads
// the reply.
func SizedBody(path string, n, sent int) Use {
	return func(_ context.Context, c net.Conn) {
		if _, err := io.WriteString(c, Head(http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\n", n))); err != nil {
			return
		}
		if writeZeros(c, sent) == nil {
			readReply(c)
		}
	}
}

// ChunkedBody sends a body of n bytes in chunks, without end if n is 0, with an extension of each chunk and a
// trailer, which end in line breaks unless they are empty.
func ChunkedBody(path string, n, chunk int, extension, trailer string) Use {
	return func(ctx context.Context, c net.Conn) {
		w := bufio.NewWriterSize(c, 64<<10)
		_, _ = w.WriteString(Head(http.MethodPost, path, "Transfer-Encoding: chunked\r\n"))
		for sent := 0; (n == 0 || sent < n) && ctx.Err() == nil; sent += chunk {
			_, _ = fmt.Fprintf(w, "%x%s\r\n", chunk, extension)
			_, _ = w.Write(zeros[:chunk])
			if _, err := w.WriteString("\r\n"); err != nil {
				return
			}
		}
		_, _ = w.WriteString("0\r\n" + trailer + "\r\n")
		if w.Flush() == nil {
			readReply(c)
		}
	}
}

// readReply reads a reply unless it takes too long.
func readReply(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(replyTimeout))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// Expecting asks for the permission to send a body of n bytes, and sends none.
func Expecting(path string, n int) Use {
	return func(_ context.Context, c net.Conn) {
		_, _ = io.WriteString(c, Head(http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", n)))
		_, _ = io.Copy(io.Discard, c)
	}
}

// Cutting ends its connection at any byte of a body.
func Cutting(path string) Use {
	return func(_ context.Context, c net.Conn) {
		n := 1 + rand.IntN(maxCutBody)
		_, _ = io.WriteString(c, Head(http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\n", n)))
		_ = writeZeros(c, rand.IntN(n))
	}
}

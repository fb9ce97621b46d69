package misuse

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// shortFieldBytes is the size of the fields of a head of ShortFields.
const shortFieldBytes = 15_000

// Ahead returns n clients that send requests one after the other without waiting for replies, which they read
// or leave unread.
func Ahead(n int, request func() string, read bool) Client {
	return Crowd(n, Connected(func(ctx context.Context, c net.Conn) {
		if read {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		for limits := limiterOf(ctx); ctx.Err() == nil; {
			limits.requests.take(ctx, 1)
			if _, err := io.WriteString(c, request()); err != nil {
				return
			}
		}
	}))
}

// Lookup returns requests without a body.
func Lookup(path string) func() string {
	return func() string { return Head(http.MethodGet, path, "") }
}

// WithBody returns requests with a body of n bytes.
func WithBody(path string, n int) func() string {
	body := string(make([]byte, n))
	return func() string { return Head(http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\n", n)) + body }
}

// ShortFields returns requests whose heads are legal in size and consist of very many fields, with one name or
// with distinct ones.
func ShortFields(path string, distinct bool) func() string {
	var lines strings.Builder
	for i := 0; lines.Len() < shortFieldBytes; i++ {
		if !distinct {
			lines.WriteString("a:\r\n")
			continue
		}
		fmt.Fprintf(&lines, "%s:\r\n", fieldName(i))
	}
	return func() string { return Head(http.MethodGet, path, lines.String()) }
}

// fieldName returns a short name that differs for each number.
func fieldName(n int) string {
	const letters = "bcdefghijklmnopqrstuvwxyz"
	name := ""
	for n++; n > 0; n /= len(letters) {
		name += string(letters[n%len(letters)])
	}
	return name
}

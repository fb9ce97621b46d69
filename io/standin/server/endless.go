package server

import (
	"bytes"
	"io"
	"net/http"
)

// writeEndlessHead writes a header field without end in place of a response.
func writeEndlessHead(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close() //nolint:errcheck // nothing more is sent on it
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Junk: ")
	writeEndless(c, []byte("junk"))
}

// writeEndless writes data again and again until the connection is closed, and ends the handler.
func writeEndless(w io.Writer, data []byte) {
	block := bytes.Repeat(data, 1+(64<<10)/len(data))
	for {
		if _, err := w.Write(block); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

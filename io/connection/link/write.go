package link

import (
	"net/http"
	"strconv"
	"strings"
)

// minConcurrentWrite is the size in bytes from which a request body is written
// concurrently with reading the response, since a server may respond before it has
// read the whole body.
const minConcurrentWrite = 16 << 10

// requestWrite is the writing of a request, which may go on while its response is read.
type requestWrite struct {
	done chan struct{}
	err  error // valid once done is closed
}

// startWrite writes a request. It returns before a large body has been written.
func (cl *Client) startWrite(c *conn, req Request) (*requestWrite, error) {
	w, head := &requestWrite{done: make(chan struct{})}, cl.head(req)
	if req.Body.Len() < minConcurrentWrite {
		defer close(w.done)
		if n, err := c.Write(append(head, req.Body.Bytes()...)); err != nil {
			return nil, writeError(n, err)
		}
		return w, nil
	}
	go func() {
		defer close(w.done)
		buffers := req.Body.Buffers(head)
		_, w.err = buffers.WriteTo(c.Conn)
	}()
	return w, nil
}

// await waits until the write has ended, and returns its error. A write ends at the latest with the context of
// its request.
func (w *requestWrite) await() error {
	<-w.done
	return w.err
}

// hasSucceeded reports whether the whole request has been written by now.
func (w *requestWrite) hasSucceeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

func writeError(n int, err error) error {
	if n == 0 {
		return &Error{Op: "write", Kind: NotSent, Err: err}
	}
	return &Error{Op: "write", Kind: ConnectionLost, Err: err}
}

// head returns the request line and the header fields.
func (cl *Client) head(req Request) []byte {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for name, values := range req.Header {
		if name == cl.names.Timeout || name == cl.names.Instance {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !req.ControlCall {
		b.WriteString(cl.names.Timeout + ": " + strconv.FormatInt(max(1, req.TimeLeft.Milliseconds()), 10) + "\r\n")
	}
	b.WriteString(cl.names.Instance + ": " + cl.serverID + "\r\n")
	if req.Body.Len() > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(req.Body.Len()) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

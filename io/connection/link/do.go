package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// maxAnswer bounds an answer's body, in bytes: answers are read whole before
	// a byte of them goes to the caller.
	maxAnswer = 16 << 20
	// writeApart is the body size, in bytes, from which it is written beside the
	// reading, since a server may answer before it has read all of it.
	writeApart = 16 << 10
	// crossedAtMost is how many answers to other requests are skipped on one
	// connection before it is given up.
	crossedAtMost = 3
)

// Request is one request to be written.
type Request struct {
	Method string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Host   string
	// Header goes out as it is, but for the names that the Link sets.
	Header http.Header
	Body   []byte
	// ID must come back with the answer, if the answer has one.
	ID string
	// Left is what remains of the caller's time.
	Left time.Duration
	// Control calls carry no deadline of a caller.
	Control bool
	// KeptOnly sends on a kept connection or not at all, so that the request
	// meets the same life of the server as the one before it.
	KeptOnly bool
}

// Answer is a server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun means that the server says it did not run the request.
	NotRun bool
	// Lost means that it cannot say whether a server before it did.
	Lost bool
	Load *Load
	// Server is the id of the server that was asked.
	Server string
}

// Load is what an answer tells of its server.
type Load struct {
	Running, Waiting, Slots int
	// Bytes is the size of the answer's body.
	Bytes int
	// Pace is how long work takes at the server now, over the usual time; 0 where
	// it does not say.
	Pace float64
}

// Do writes a request once and reads its whole answer. The context's end closes
// the connection, which tells the server to stop.
func (l *Link) Do(ctx context.Context, q Request) (*Answer, error) {
	c, err := l.take(ctx, time.Now(), q.KeptOnly)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a, keep, err := l.exchange(c, q)
	stopped := stop()
	if err != nil {
		discard(c)
		var e *Error
		if errors.As(err, &e) {
			e.Kept = c.kept
		}
		if ctx.Err() != nil && !NotRun(err) {
			return nil, &Error{Op: "do", Kind: Late, Err: context.Cause(ctx)}
		}
		return nil, err
	}
	if keep <= 0 || !stopped || c.r.Buffered() > 0 {
		_ = c.Close()
		return a, nil
	}
	c.until = time.Now().Add(keep)
	l.put(c)
	return a, nil
}

func (l *Link) exchange(c *conn, q Request) (*Answer, time.Duration, error) {
	head := l.head(q)
	var written chan error
	if len(q.Body) < writeApart {
		if n, err := c.Write(append(head, q.Body...)); err != nil {
			return nil, 0, unwritten(n, err)
		}
	} else {
		written = make(chan error, 1)
		go func() {
			bufs := net.Buffers{head, q.Body}
			_, err := bufs.WriteTo(c.Conn)
			written <- err
		}()
	}
	a, keep, err := l.read(c, q)
	if written == nil || err != nil {
		return a, keep, err
	}
	select {
	case werr := <-written:
		if werr != nil {
			keep = 0
		}
	default:
		// The rest of the body is still due there: no other request may follow it.
		keep = 0
	}
	return a, keep, nil
}

func unwritten(n int, err error) error {
	if n == 0 {
		return &Error{Op: "write", Kind: NotSent, Err: err}
	}
	return &Error{Op: "write", Kind: Unsure, Err: err}
}

// read returns the answer to the request, and how long the connection may be
// kept. Answers that bear another id belong to requests that were given up.
func (l *Link) read(c *conn, q Request) (*Answer, time.Duration, error) {
	for range crossedAtMost {
		resp, err := response(c.r, q.Method) //nolint:bodyclose // the connection is kept or closed whole
		if err != nil {
			return nil, 0, broken(err)
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
		if err != nil {
			return nil, 0, &Error{Op: "read", Kind: Cut, Err: err}
		}
		if len(body) > maxAnswer {
			return nil, 0, &Error{Op: "read", Kind: Cut, Err: fmt.Errorf("the answer has over %d bytes", maxAnswer)}
		}
		if id := resp.Header.Get(l.names.ID); id != "" && q.ID != "" && id != q.ID {
			if resp.Close {
				return nil, 0, &Error{Op: "read", Kind: Cut, Err: errors.New("the connection ended with another request's answer")}
			}
			continue
		}
		a := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Server: l.instance}
		a.NotRun = resp.Header.Get(l.names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
		a.Lost = l.names.OutcomeLost != "" && resp.Header.Get(l.names.OutcomeLost) != ""
		if a.Load = parseLoad(resp.Header.Get(l.names.Load)); a.Load != nil {
			a.Load.Bytes = len(body)
		}
		return a, keepFor(resp), nil
	}
	return nil, 0, &Error{Op: "read", Kind: Cut, Err: errors.New("only answers to other requests came")}
}

// response skips interim answers.
func response(r *bufio.Reader, method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

func broken(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Error{Op: "read", Kind: Late, Err: err}
	}
	var op *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) {
		return &Error{Op: "read", Kind: Unsure, Err: err}
	}
	return &Error{Op: "read", Kind: Cut, Err: err}
}

// head writes the request's first lines.
func (l *Link) head(q Request) []byte {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	for name, values := range q.Header {
		if name == l.names.Deadline || name == l.names.Instance {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !q.Control {
		b.WriteString(l.names.Deadline + ": " + strconv.FormatInt(max(1, q.Left.Milliseconds()), 10) + "\r\n")
	}
	b.WriteString(l.names.Instance + ": " + l.instance + "\r\n")
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// discard ends a connection at once, so that bytes still on their way to the
// server are dropped and cannot arrive later.
func discard(c *conn) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// parseLoad reads running, waiting and slots, and the pace in percent where the
// server adds it; nil when there is no such report.
func parseLoad(s string) *Load {
	parts := strings.Split(s, ",")
	if len(parts) < 3 {
		return nil
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	l := &Load{Running: n[0], Waiting: n[1], Slots: n[2]}
	if len(parts) > len(n) {
		if pace, err := strconv.ParseFloat(strings.TrimSpace(parts[len(n)]), 64); err == nil && pace > 0 {
			l.Pace = pace / 100
		}
	}
	return l
}

func keepAliveTimeout(s string) (time.Duration, bool) {
	for _, part := range strings.Split(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}

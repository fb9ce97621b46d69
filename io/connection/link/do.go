package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// maxResponseBody is the maximum size of a response body in bytes. A response is
	// read completely before any of it is sent to the caller.
	maxResponseBody = 16 << 20
	// minConcurrentWrite is the size in bytes from which a request body is written
	// concurrently with reading the response, since a server may respond before it has
	// read the whole body.
	minConcurrentWrite = 16 << 10
	// maxStrayResponses is how many responses to other requests are skipped on a
	// connection before it is closed.
	maxStrayResponses = 3
)

// Request is a request to a server.
type Request struct {
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	// Header is sent unchanged, except for the deadline and instance headers, which the
	// Client sets.
	Header http.Header
	Body   []byte
	// ID is the request ID. A response that has another ID belongs to another request.
	ID string
	// TimeLeft is the time until the caller's deadline. It is sent to the server.
	TimeLeft time.Duration
	// DecidedAt is when the server was chosen; zero for control calls.
	DecidedAt time.Time
	// SendBefore is the time until which the request may be sent, however long it takes to get a
	// connection; zero if it may be sent at any time.
	SendBefore time.Time
	// ControlCall marks a call that the daemon makes on its own behalf, such as a grant. It
	// has no caller's deadline to send.
	ControlCall bool
	// ExistingConnOnly sends the request on an idle connection or not at all, so that it
	// reaches the same instance of the server as the previous request.
	ExistingConnOnly bool
}

// Response is a server's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Declined means that the server states that it did not run the request.
	Declined bool
	// OutcomeLost means that a previous holder of the request's key may have run the request
	// and that its outcome is lost.
	OutcomeLost bool
	// Load is the load that the server reports, or nil.
	Load *Load
	// RateLimited means that the server names a limit, and RateLimit is how many requests a second
	// it takes; NaN if what it says is no number.
	RateLimited bool
	RateLimit   float64
	// Server is the ID of the server that the request was sent to.
	Server string
}

// Load is the load of a server, as reported with a response.
type Load struct {
	Running, Waiting, Slots int
	// Bytes is the size of the response body.
	Bytes int
	// Slowdown is the server's current service time relative to the usual one; 0 if it
	// is not reported.
	Slowdown float64
}

// Do sends a request once and reads the complete response. If the context ends, the
// connection is closed, which tells the server to stop.
func (cl *Client) Do(ctx context.Context, req Request) (*Response, error) {
	if err := cl.checkGate(req); err != nil {
		return nil, err
	}
	c, err := cl.getConn(ctx, time.Now(), req.ExistingConnOnly)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, idleTime, err := cl.roundTrip(c, req)
	stopped := stop()
	if err != nil {
		resetConn(c)
		var e *Error
		if errors.As(err, &e) {
			e.ReusedConn = c.reused
		}
		if ctx.Err() != nil && !NotRun(err) {
			return nil, &Error{Op: "do", Kind: ContextDone, Err: context.Cause(ctx)}
		}
		return nil, err
	}
	if idleTime <= 0 || !stopped || c.r.Buffered() > 0 {
		_ = c.Close()
		return resp, nil
	}
	c.reusableUntil = time.Now().Add(idleTime)
	cl.putIdleConn(c)
	return resp, nil
}

func (cl *Client) roundTrip(c *conn, req Request) (*Response, time.Duration, error) {
	if !req.SendBefore.IsZero() && time.Now().After(req.SendBefore) {
		return nil, 0, &Error{Op: "write", Kind: TooLate, Err: errTooLate}
	}
	if err := cl.checkGate(req); err != nil {
		return nil, 0, err
	}
	head := cl.head(req)
	var writeDone chan error
	if len(req.Body) < minConcurrentWrite {
		if n, err := c.Write(append(head, req.Body...)); err != nil {
			return nil, 0, writeError(n, err)
		}
	} else {
		writeDone = make(chan error, 1)
		go func() {
			buffers := net.Buffers{head, req.Body}
			_, err := buffers.WriteTo(c.Conn)
			writeDone <- err
		}()
	}
	resp, idleTime, err := cl.readResponse(c, req)
	if writeDone == nil || err != nil {
		return resp, idleTime, err
	}
	select {
	case writeErr := <-writeDone:
		if writeErr != nil {
			idleTime = 0
		}
	default:
		// The body is still being written, so that no other request may use the connection.
		idleTime = 0
	}
	return resp, idleTime, nil
}

var errTooLate = errors.New("the connection was not there in time")

func writeError(n int, err error) error {
	if n == 0 {
		return &Error{Op: "write", Kind: NotSent, Err: err}
	}
	return &Error{Op: "write", Kind: ConnectionLost, Err: err}
}

// readResponse returns the response to the request and how long the connection may stay
// idle. It skips responses with another ID, which belong to abandoned requests.
func (cl *Client) readResponse(c *conn, req Request) (*Response, time.Duration, error) {
	for range maxStrayResponses {
		httpResp, err := readFinalResponse(c.r, req.Method) //nolint:bodyclose // the connection is closed or reused as a whole
		if err != nil {
			return nil, 0, readError(err)
		}
		if n := noticeOf(httpResp, cl.names); !n.IsEmpty() {
			cl.gate.Announced(req, c.openedAt, n)
		}
		body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBody+1))
		if err != nil {
			return nil, 0, &Error{Op: "read", Kind: InvalidResponse, Err: err}
		}
		if len(body) > maxResponseBody {
			return nil, 0, &Error{Op: "read", Kind: InvalidResponse, Err: fmt.Errorf("response body exceeds %d bytes", maxResponseBody)}
		}
		if id := httpResp.Header.Get(cl.names.ID); id != "" && req.ID != "" && id != req.ID {
			if httpResp.Close {
				return nil, 0, &Error{Op: "read", Kind: InvalidResponse, Err: errors.New("connection closed after the response to another request")}
			}
			continue
		}
		resp := &Response{Status: httpResp.StatusCode, Header: httpResp.Header, Body: body, Server: cl.serverID}
		resp.Declined = httpResp.Header.Get(cl.names.NotRun) != "" || httpResp.StatusCode == http.StatusMisdirectedRequest
		resp.OutcomeLost = cl.names.OutcomeLost != "" && httpResp.Header.Get(cl.names.OutcomeLost) != ""
		resp.RateLimit, resp.RateLimited = parseRateLimit(httpResp.Header.Get(cl.names.RateLimit))
		if resp.Load = parseLoad(httpResp.Header.Get(cl.names.Load)); resp.Load != nil {
			resp.Load.Bytes = len(body)
		}
		return resp, allowedIdleTime(httpResp), nil
	}
	return nil, 0, &Error{Op: "read", Kind: InvalidResponse, Err: errors.New("received only responses to other requests")}
}

// readFinalResponse reads a response. It skips interim responses, which are 1xx other
// than 101.
func readFinalResponse(r *bufio.Reader, method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

func readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Error{Op: "read", Kind: ContextDone, Err: err}
	}
	var opErr *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opErr) {
		return &Error{Op: "read", Kind: ConnectionLost, Err: err}
	}
	return &Error{Op: "read", Kind: InvalidResponse, Err: err}
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
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// resetConn closes a connection with a reset, so that data not yet sent is discarded and
// cannot reach the server later.
func resetConn(c *conn) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// parseLoad parses the load header: the numbers of running and waiting requests and of
// slots, and optionally the slowdown in percent. It returns nil if the header is malformed.
func parseLoad(header string) *Load {
	parts := strings.Split(header, ",")
	if len(parts) < 3 {
		return nil
	}
	var counts [3]int
	for i := range counts {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 {
			return nil
		}
		counts[i] = v
	}
	l := &Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(parts) > len(counts) {
		if percent, err := strconv.ParseFloat(strings.TrimSpace(parts[len(counts)]), 64); err == nil && percent > 0 {
			l.Slowdown = percent / 100
		}
	}
	return l
}

// parseRateLimit parses the header in which a server names its limit. It returns false if there is
// none.
func parseRateLimit(header string) (perSecond float64, named bool) {
	if header == "" {
		return 0, false
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil {
		return math.NaN(), true
	}
	return perSecond, true
}

func keepAliveTimeout(header string) (time.Duration, bool) {
	for _, part := range strings.Split(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// maxResponseHead is the maximum size in bytes of a response's status line and header fields, with
	// the interim responses before them.
	maxResponseHead = 64 << 10
	// maxStrayResponses is how many responses to other requests are skipped on a
	// connection before it is closed.
	maxStrayResponses = 3
)

// readResponse returns the response to the request and how long the connection may stay
// idle. It skips responses with another ID, which belong to abandoned requests.
func (cl *Client) readResponse(ctx context.Context, c *conn, req Request, w *requestWrite) (*Response, time.Duration, error) {
	for skipped := range maxStrayResponses {
		httpResp, err := c.r.Next(req.Method) //nolint:bodyclose // the connection is closed or reused as a whole
		if err != nil {
			return nil, 0, readError(err)
		}
		if n := noticeOf(httpResp, cl.names); !n.IsEmpty() {
			cl.gate.Announced(req, c.openedAt, n)
		}
		body, err := cl.bodies.readBody(ctx, httpResp)
		if err != nil {
			return nil, 0, bodyError(err)
		}
		if err := checkEnd(httpResp, w); err != nil {
			return nil, 0, bodyError(err)
		}
		idleTime := allowedIdleTime(httpResp)
		origin := cl.attribute(httpResp, req, c.reused || skipped > 0)
		switch origin {
		case ownResponse:
		case lastResponse:
			idleTime = 0
		case strayResponse:
			if httpResp.Close {
				return nil, 0, &Error{Op: "read", Kind: InvalidResponse, Err: errStrayClose}
			}
			continue
		case unknownResponse:
			return nil, 0, &Error{Op: "read", Kind: InvalidResponse, Err: errNoID}
		}
		resp := cl.newResponse(httpResp, body)
		resp.Declined = resp.Declined && origin == ownResponse
		resp.Conn = c.number
		return resp, idleTime, nil
	}
	return nil, 0, &Error{Op: "read", Kind: InvalidResponse, Err: errOnlyStray}
}

var (
	errStrayClose = errors.New("connection closed after the response to another request")
	errOnlyStray  = errors.New("received only responses to other requests")
	// errNoID means that a response may belong to an earlier request on the same connection.
	errNoID = errors.New("a response without an ID on a connection that has served another request")
)

// attribution says to which request a response belongs.
type attribution int

const (
	ownResponse     attribution = iota
	lastResponse                // the request's own, after which the connection must not be used again
	strayResponse               // that of another request
	unknownResponse             // that of this request or of an earlier one
)

// attribute returns to which request a response belongs. isLater is set unless it is the first response on
// its connection, which can only be that of the first request. The connection has not carried another
// request with the same ID.
func (cl *Client) attribute(resp *http.Response, req Request, isLater bool) attribution {
	id := resp.Header.Get(cl.names.ID)
	switch {
	case req.ID == "" && isLater && resp.StatusCode != http.StatusOK:
		return unknownResponse // a refusal, or the second copy of one
	case req.ID == "" || id == req.ID:
		return ownResponse
	case id != "":
		return strayResponse
	case isLater:
		return unknownResponse
	}
	return lastResponse // its second copy could be taken for the response to any later request
}

// newResponse interprets the headers of a response.
func (cl *Client) newResponse(r *http.Response, body []byte) *Response {
	resp := &Response{Status: r.StatusCode, Header: r.Header, Body: body, Server: cl.serverID}
	resp.Declined = r.Header.Get(cl.names.NotRun) != "" && r.StatusCode >= http.StatusBadRequest
	resp.OutcomeLost = cl.names.OutcomeLost != "" && r.Header.Get(cl.names.OutcomeLost) != ""
	resp.RateLimit, resp.RateLimited = parseRateLimit(r.Header.Get(cl.names.RateLimit))
	if resp.Load = parseLoad(r.Header.Get(cl.names.Load)); resp.Load != nil {
		resp.Load.Bytes = len(body)
	}
	return resp
}

// checkEnd returns an error unless it is certain that the server has ended a response. The end of a connection
// is the end of a body without a length only if no reset preceded it, and the system reports a reset once: if
// the write of the request takes that error, the next read finds a plain end. A write that has succeeded has
// taken none.
func checkEnd(resp *http.Response, w *requestWrite) error {
	isDelimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
	if isDelimited {
		return nil
	}
	if err := w.await(); err != nil {
		return fmt.Errorf("the connection broke during the response: %w", err)
	}
	return nil
}

// bodyError returns the error of a response whose body could not be read.
func bodyError(err error) error {
	if LackedMemory(err) {
		return &Error{Op: "read", Kind: ContextDone, Err: err}
	}
	return &Error{Op: "read", Kind: InvalidResponse, Err: err}
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

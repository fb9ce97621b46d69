package caller

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"catkinstep/core/process/memory"
	"catkinstep/io/connection/chunk"
)

// readRequest reads a request with its body. The memory that it has reserved is in the pendingRequest, also if
// it could not be read; the Request then has the head if that could be read.
func (c *conn) readRequest() (*pendingRequest, Request, error) {
	p, l := &pendingRequest{done: make(chan struct{})}, c.server.limits()
	c.setReadTimeout(l.IdleTimeout)
	startedAt := time.Now()
	if _, err := c.reader.Peek(1); err != nil || !c.beginRead() {
		return p, Request{}, errConnEnded
	}
	c.awaited = time.Since(startedAt)
	c.setReadTimeout(l.ReadTimeout)
	h, err := c.readHead(l.MaxHeaderBytes)
	if err != nil {
		return p, Request{}, err
	}
	r, err := h.parse()
	if err != nil {
		return p, Request{}, err
	}
	p.isHead, p.closeAfter = r.Method == http.MethodHead, r.Close
	var waited bool
	if p.claim, waited, err = c.reserveRequest(h.cost()); err != nil {
		return p, Request{Request: r}, err
	}
	if waited {
		c.setReadTimeout(l.ReadTimeout) // the caller did not cause the delay
	}
	body, err := c.readBodyOf(r, l, p)
	return p, Request{Request: r, Body: body, ReadAt: time.Now()}, err
}

// reserveRequest reserves the memory of a request, and reports whether that has taken time. If there is none, a
// request that was sent behind others of its connection waits until they have their replies, and callers that do
// not read theirs make room.
func (c *conn) reserveRequest(cost int64) (reserved claim, waited bool, err error) {
	for c.hasPending() {
		if c.server.memory.Reserve(memory.Ahead, cost) {
			return claim{use: memory.Ahead, request: cost}, waited, nil
		}
		waited = true
		if !c.awaitChange(nil) {
			return claim{}, waited, errConnEnded
		}
	}
	if !c.server.memory.Reserve(memory.Requests, cost) {
		c.server.EvictUnread(time.Now())
		return claim{}, waited, errNoRoom
	}
	return claim{use: memory.Requests, request: cost}, waited, nil
}

// readBodyOf reads the body of a request unless the request is refused before.
func (c *conn) readBodyOf(r *http.Request, l Limits, p *pendingRequest) (chunk.Body, error) {
	if !hasBody(r) {
		return chunk.Body{}, nil
	}
	c.unreadBytes = lingerFactor * l.MaxBodyBytes
	if r.ContentLength > l.MaxBodyBytes || !c.server.memory.Fits(memory.LargeBodies, r.ContentLength) {
		return chunk.Body{}, errBodyTooLarge
	}
	if reply, refused := c.server.checkHead(r); refused {
		return chunk.Body{}, &refusedError{reply: reply}
	}
	if expectsContinue(r) {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return chunk.Body{}, errConnEnded
		}
	}
	src, err := c.bodySource(r)
	if err != nil {
		return chunk.Body{}, err
	}
	g, err := c.readBody(src, r.ContentLength, l.MaxBodyBytes)
	if err == nil {
		c.unreadBytes = 0
	}
	p.claim.small, p.claim.large = g.small, max(0, g.body.Len()-memory.SmallBody)
	return g.body, err
}

var errConnEnded = errors.New("caller: connection ended or is closing")

// refusedError means that a request was refused before its body was read.
type refusedError struct{ reply Reply }

// Error implements the error interface.
func (e *refusedError) Error() string {
	return "caller: refused with status " + strconv.Itoa(e.reply.Status())
}

// handleReadError queues an error reply to a request that could not be read, or cancels
// the pending requests if the connection has ended. The request is nil if its head could not be read.
func (c *conn) handleReadError(r *http.Request, err error) {
	status := statusOf(err)
	var refused *refusedError
	isRefused := errors.As(err, &refused)
	if status == 0 && !isRefused {
		c.cancelRequests()
		return
	}
	if !c.addPending() {
		return
	}
	p := &pendingRequest{done: make(chan struct{}), closeAfter: true}
	if isRefused {
		p.reply = refused.reply
	} else {
		p.reply = c.server.refuseUnread(r, status)
	}
	close(p.done)
	c.enqueue(p)
}

// statusOf returns the status of the reply to a request that could not be read, or 0 if its connection has
// ended.
func statusOf(err error) int {
	var refused *refusedError
	switch {
	case errors.As(err, &refused), errors.Is(err, errConnEnded):
		return 0
	case errors.Is(err, errHeadTooLarge), errors.Is(err, errTooManyFields):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isConnError(err):
		return 0
	}
	return http.StatusBadRequest
}

// isConnError reports whether the network failed, other than by a timeout.
func isConnError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && !opErr.Timeout()
}

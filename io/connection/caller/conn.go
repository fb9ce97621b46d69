package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"catkinstep/io/connection/bound"
)

// conn is a connection of a caller.
type conn struct {
	server *Server
	net.Conn
	limitedReader *bound.Reader
	reader        *bufio.Reader
	ctx           context.Context //nolint:containedctx // lives as long as the connection
	cancel        context.CancelFunc
	queue         chan *pendingRequest

	mu      sync.Mutex
	pending int // requests whose replies have not begun to be sent
	// sending is set while a reply is written. The connection must not be closed
	// then, although no request is pending any more.
	sending bool
	// closing means that no further request is handled.
	closing bool
	// reading is set while a request is read. The connection must not be closed then,
	// although no request is pending yet.
	reading bool
	// openedAt and requestSeen decide whether a shutdown still waits for the first request.
	// requestSeen is set once a request was read or its reading failed.
	openedAt    time.Time
	requestSeen bool
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	reply      Reply
	isHead     bool // a HEAD request, whose reply has no body
	closeAfter bool // the connection is closed after the reply
	done       chan struct{}
}

func newConn(ctx context.Context, cancel context.CancelFunc, s *Server, nc net.Conn) *conn {
	lr := bound.NewReader(nc)
	return &conn{server: s, Conn: nc, limitedReader: lr, reader: bufio.NewReaderSize(lr, 4096), ctx: ctx, cancel: cancel, queue: make(chan *pendingRequest, maxPipelined), openedAt: time.Now()}
}

// readLoop reads requests until the caller disconnects or violates the protocol. It
// continues to read while requests run, so that it detects a disconnect.
func (c *conn) readLoop() {
	defer close(c.queue)
	for {
		r, body, err := c.readRequest()
		if err != nil {
			c.handleReadError(err)
			return
		}
		p := &pendingRequest{done: make(chan struct{}), isHead: r.Method == http.MethodHead, closeAfter: r.Close}
		if !c.addPending() {
			return
		}
		go c.handle(p, Request{Request: r, Body: body, ReadAt: time.Now()})
		c.queue <- p
		if p.closeAfter {
			c.watchDisconnect()
			return
		}
	}
}

// watchDisconnect starts a goroutine that cancels the context if the caller disconnects after
// its last request. An expired read deadline, which lingeringClose sets, is not a disconnect.
func (c *conn) watchDisconnect() {
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		_, err := c.reader.Peek(1)
		if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
}

func (c *conn) handle(p *pendingRequest, r Request) {
	defer close(p.done)
	p.reply = c.server.handler(c.ctx, r)
}

// addPending counts a request as pending, and reports whether it gets a reply. It is called
// for requests that were read, and for those that could not be read and get an error reply.
// During a shutdown, no request is accepted while another is pending on the connection: a
// caller that always pipelines would keep the connection busy until the process ends, and lose
// its last requests.
func (c *conn) addPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.requestSeen = false, true
	if c.closing || c.server.shuttingDown.Load() && c.pending > 0 {
		c.closing = true
		return false
	}
	c.pending++
	c.server.running.Add(1)
	return true
}

// beginRead marks the connection as reading a request. It returns false if the connection
// is closing.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.closing
	return c.reading
}

// readRequest reads a request with its body.
func (c *conn) readRequest() (*http.Request, []byte, error) {
	l := c.server.limits()
	c.setReadTimeout(l.IdleTimeout)
	if _, err := c.reader.Peek(1); err != nil || !c.beginRead() {
		return nil, nil, errConnEnded
	}
	c.setReadTimeout(l.ReadTimeout)
	c.limitedReader.SetLimit(l.MaxHeaderBytes)
	r, err := http.ReadRequest(c.reader)
	c.limitedReader.SetLimit(0) // readBody limits the body
	if err != nil {
		return nil, nil, err
	}
	body, err := c.readBody(r, l)
	return r, body, err
}

// setReadTimeout sets the timeout of the next reads, unless the connection is closing.
func (c *conn) setReadTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		_ = c.SetReadDeadline(time.Now().Add(d))
	}
}

func (c *conn) readBody(r *http.Request, l Limits) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > l.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, errConnEnded
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, l.MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > l.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	return body, nil
}

var (
	errConnEnded    = errors.New("caller: connection ended or is closing")
	errBodyTooLarge = errors.New("caller: request body too large")
)

// handleReadError queues an error reply to a request that could not be read, or cancels
// the pending requests if the connection has ended.
func (c *conn) handleReadError(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errConnEnded):
		c.cancelRequests()
		return
	case errors.Is(err, bound.ErrExceeded):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isConnError(err):
		c.cancelRequests()
		return
	}
	if !c.addPending() {
		return
	}
	c.server.onUnread(status)
	p := &pendingRequest{done: make(chan struct{}), closeAfter: true, reply: newUnread(status)}
	close(p.done)
	c.queue <- p
}

// cancelRequests cancels the running requests of a connection that the caller has closed, that
// failed, or that exceeded the idle timeout. After an idle timeout, normally none is running.
func (c *conn) cancelRequests() {
	c.mu.Lock()
	c.closing, c.reading = true, false
	c.mu.Unlock()
	c.cancel()
}

// writeLoop sends the replies in the order of the requests.
func (c *conn) writeLoop() {
	defer c.server.removeConn(c)
	defer c.Close() //nolint:errcheck // nothing more is sent on it
	defer c.cancel()
	sendFailed := false
	for p := range c.queue {
		<-p.done
		closeAfter := c.beginSend(p)
		if !sendFailed {
			sendFailed = c.send(p, closeAfter) != nil
		}
		c.server.running.Add(-1)
		c.endSend()
		if sendFailed {
			c.cancel()
		}
		if closeAfter {
			c.lingeringClose()
			return
		}
	}
}

// beginSend marks the connection as sending, and reports whether the reply is the last
// on the connection. During a shutdown it is, if no other request is pending.
func (c *conn) beginSend(p *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.sending = true
	if p.closeAfter || c.server.shuttingDown.Load() && c.pending == 0 {
		c.closing = true
		return true
	}
	return false
}

// endSend marks the connection as no longer sending.
func (c *conn) endSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = false
}

// lingeringClose closes the sending side of the connection and discards what the caller still
// sends. Closing the connection with unread data would reset it, and the last reply could
// be lost.
func (c *conn) lingeringClose() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	for range c.queue { // after the last reply, addPending accepts no request
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// lingerTimeout is how long lingeringClose waits for the caller to close the connection after
// the last reply. It is longer than a reply takes to reach any caller.
const lingerTimeout = 300 * time.Millisecond

// closeIfIdle closes the connection unless a request or reply is on it, or its first request
// may still arrive. It reports whether it closed the connection.
func (c *conn) closeIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.sending || c.reading || !c.requestSeen && now.Sub(c.openedAt) < firstRequestWait {
		return false
	}
	c.closing = true
	_ = c.Close()
	return true
}

// isConnError reports whether the network failed, other than by a timeout.
func isConnError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && !opErr.Timeout()
}

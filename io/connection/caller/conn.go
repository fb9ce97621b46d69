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
)

// conn is one caller's connection.
type conn struct {
	server *Server
	net.Conn
	meter  *meter
	r      *bufio.Reader
	ctx    context.Context //nolint:containedctx // lives as long as the connection
	cancel context.CancelFunc
	queue  chan *job

	mu      sync.Mutex
	pending int
	// sending is set while an answer is on its way out: the connection is not
	// idle then although nothing is pending any more, and closing it would cut
	// the answer.
	sending bool
	closing bool // nothing that is read from now on is handled
	// arriving is set while a request is read: closing the connection would cut it
	// although nothing is pending yet.
	arriving bool
	opened   time.Time
	served   bool // a request has come
}

// job is one request on its way to its answer.
type job struct {
	reply Reply
	head  bool // a HEAD request's answer has no body
	last  bool // the connection ends after it
	done  chan struct{}
}

func newConn(ctx context.Context, cancel context.CancelFunc, s *Server, nc net.Conn) *conn {
	m := &meter{r: nc}
	return &conn{server: s, Conn: nc, meter: m, r: bufio.NewReaderSize(m, 4096), ctx: ctx, cancel: cancel, queue: make(chan *job, depth), opened: time.Now()}
}

// read takes requests until the caller is gone or breaks the protocol. It goes
// on reading while requests run, which is how the caller's leaving is seen.
func (c *conn) read() {
	defer close(c.queue)
	for {
		r, body, err := c.request()
		if err != nil {
			c.refuse(err)
			return
		}
		j := &job{done: make(chan struct{}), head: r.Method == http.MethodHead, last: r.Close}
		if !c.admit() {
			return
		}
		go c.handle(j, Request{Request: r, Body: body, Read: time.Now()})
		c.queue <- j
		if j.last {
			c.watch()
			return
		}
	}
}

// watch waits for the caller's end after its last request.
func (c *conn) watch() {
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		_, err := c.r.Peek(1)
		if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
}

func (c *conn) handle(j *job, r Request) {
	defer close(j.done)
	j.reply = c.server.handler(c.ctx, r)
}

// admit counts a request that was read, unless the close was announced. After a
// stop none is taken behind another: a caller that always sends ahead would
// keep the connection busy until the process ends, and lose its last requests.
func (c *conn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriving, c.served = false, true
	if c.closing || c.server.stopping.Load() && c.pending > 0 {
		c.closing = true
		return false
	}
	c.pending++
	c.server.running.Add(1)
	return true
}

// arrives notes that a request begins to come, unless the connection is closed.
func (c *conn) arrives() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriving = !c.closing
	return c.arriving
}

// request reads one whole request.
func (c *conn) request() (*http.Request, []byte, error) {
	l := c.server.limits()
	c.readWithin(l.Idle)
	if _, err := c.r.Peek(1); err != nil || !c.arrives() {
		return nil, nil, errIdle
	}
	c.readWithin(l.Header)
	c.meter.limit(l.HeaderBytes)
	r, err := http.ReadRequest(c.r)
	c.meter.limit(0)
	if err != nil {
		return nil, nil, err
	}
	body, err := c.body(r, l)
	return r, body, err
}

// readWithin bounds the next reads, but for a connection that is closing.
func (c *conn) readWithin(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		_ = c.SetReadDeadline(time.Now().Add(d))
	}
}

func (c *conn) body(r *http.Request, l Limits) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > l.BodyBytes {
		return nil, errBodyTooLarge
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, errIdle
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, l.BodyBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > l.BodyBytes {
		return nil, errBodyTooLarge
	}
	return body, nil
}

var (
	errIdle         = errors.New("caller: the connection ended between requests")
	errHeadTooLarge = errors.New("caller: the request's head is too large")
	errBodyTooLarge = errors.New("caller: the request's body is too large")
)

// refuse answers what could not be read as a request, behind all that were.
func (c *conn) refuse(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errIdle):
		c.left()
		return
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		c.left()
		return
	}
	if !c.admit() {
		return
	}
	j := &job{done: make(chan struct{}), last: true, reply: Reply{Status: status, Header: http.Header{}}}
	close(j.done)
	c.queue <- j
}

// left cancels what runs for a caller that has closed its connection. One that
// was merely idle for too long has nothing running.
func (c *conn) left() {
	c.mu.Lock()
	c.closing, c.arriving = true, false
	c.mu.Unlock()
	c.cancel()
}

// write sends the answers in order.
func (c *conn) write() {
	defer c.server.ended(c)
	defer c.Close() //nolint:errcheck // nothing more is to be said on it
	defer c.cancel()
	broken := false
	for j := range c.queue {
		<-j.done
		last := c.answered(j)
		if !broken {
			broken = c.send(j, last) != nil
		}
		c.server.running.Add(-1)
		c.sent()
		if broken {
			c.cancel()
		}
		if last {
			c.drain()
			return
		}
	}
}

// answered decides whether an answer is the connection's last. After a stop it
// is when no request that was read is behind it.
func (c *conn) answered(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.sending = true
	if j.last || c.server.stopping.Load() && c.pending == 0 {
		c.closing = true
		return true
	}
	return false
}

// sent ends what answered began.
func (c *conn) sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = false
}

// drain lets the last answer reach the caller: closing with unread bytes would
// reset the connection and lose it.
func (c *conn) drain() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	for range c.queue { // empty: no request that was read is behind the last one
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// lingerTime is how long the end of the caller's side is awaited after the last
// answer: longer than an answer takes to any caller.
const lingerTime = 300 * time.Millisecond

func (c *conn) closeIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.sending || c.arriving || !c.served && now.Sub(c.opened) < firstWithin {
		return false
	}
	c.closing = true
	_ = c.Close()
	return true
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"catkinstep/core/process/memory"
	"catkinstep/core/request/pace"
)

// conn is a connection of a caller.
type conn struct {
	server *Server
	net.Conn
	reader *bufio.Reader
	ctx    context.Context //nolint:containedctx // lives as long as the connection
	cancel context.CancelFunc
	queue  chan *pendingRequest
	// unreadBytes is how many bytes may follow of a request whose body was not read.
	unreadBytes int64
	// changed has an element when a reply has begun to be sent, has been sent or has made progress.
	changed chan struct{}
	rate    pace.Rate
	// awaited is for how long the connection was read for the first byte of the last request, and refusals are
	// the requests that were refused since then.
	awaited  time.Duration
	refusals atomic.Int32
	// writing is set once the goroutine that sends replies has been started, with the first request.
	writing bool

	mu      sync.Mutex
	pending int // requests whose replies have not begun to be sent
	// sending is set while a reply is written. A shutdown must not close the connection
	// then, although no request is pending any more.
	sending bool
	// closing means that no further request is handled.
	closing bool
	// reading is set while a request is read. A shutdown must not close the connection then,
	// although no request is pending yet.
	reading bool
	// openedAt and requestSeen decide whether a shutdown still waits for the first request.
	// requestSeen is set once a request was read or its reading failed.
	openedAt    time.Time
	requestSeen bool
	activity
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	reply      Reply
	isHead     bool // a HEAD request, whose reply has no body
	closeAfter bool // the connection is closed after the reply
	done       chan struct{}
	claim      claim
	turn       turn
}

// claim is the memory that a request has reserved until its reply has been sent, in bytes.
type claim struct {
	use            memory.Use // of request: Requests or Ahead
	request, small int64
	// large is the size of its large blocks, which are given back once nothing refers to them.
	large int
}

// largeBytes is the size of a reply's body if it is a large block.
func largeBytes(r Reply) int {
	if len(r.Body()) < minSeparateBody {
		return 0
	}
	return len(r.Body())
}

// release gives the memory of a request back.
func (s *Server) release(c claim) {
	s.memory.Release(c.use, c.request)
	if c.small > 0 {
		s.memory.Release(memory.SmallBodies, c.small)
	}
	if c.large > 0 {
		s.memory.Discard(c.large)
	}
}

func newConn(ctx context.Context, cancel context.CancelFunc, s *Server, nc net.Conn) *conn {
	return &conn{server: s, Conn: nc, reader: bufio.NewReaderSize(nc, readBufferSize), ctx: ctx, cancel: cancel, queue: make(chan *pendingRequest, maxPipelined), changed: make(chan struct{}, 1), openedAt: time.Now()}
}

// readLoop reads requests until the caller disconnects or violates the protocol. It
// continues to read while requests run, so that it detects a disconnect.
func (c *conn) readLoop() {
	defer c.endReading()
	for {
		if !c.awaitRoom() {
			c.cancelRequests()
			return
		}
		p, r, err := c.readRequest()
		if err != nil {
			c.server.release(p.claim)
			c.handleReadError(r.Request, err)
			return
		}
		if !c.awaitTurn(p) {
			c.server.release(p.claim)
			c.cancelRequests()
			return
		}
		if !c.addPending() {
			c.server.turns.end(p.turn)
			c.server.release(p.claim)
			return
		}
		go c.handle(p, r)
		c.enqueue(p)
		if p.closeAfter {
			c.watchDisconnect()
			return
		}
	}
}

// enqueue appends a request to those whose replies are sent one after the other.
func (c *conn) enqueue(p *pendingRequest) {
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
	c.queue <- p
}

// endReading ends the connection once the replies to the requests that were read have been sent.
func (c *conn) endReading() {
	close(c.queue)
	if !c.writing {
		c.end()
	}
}

// end closes the connection.
func (c *conn) end() {
	c.cancel()
	_ = c.Close()
	c.server.removeConn(c)
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
	if p.reply.Refusal() != nil {
		c.refusals.Add(1)
	}
	c.server.turns.finish(time.Now(), p.turn, p.reply)
}

// addPending counts a request as pending, and reports whether it gets a reply. It is called
// for requests that were read, and for those that could not be read and get an error reply.
// During a shutdown, no request is accepted while another is pending on the connection: a
// caller that always pipelines would keep the connection busy until the process ends, and lose
// its last requests.
func (c *conn) addPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.requestSeen, c.completed = false, true, true
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
	c.reading, c.readingSince = !c.closing, time.Now()
	return c.reading
}

// setReadTimeout sets the timeout of the next reads, unless the connection is closing.
func (c *conn) setReadTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		_ = c.SetReadDeadline(time.Now().Add(d))
	}
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
	defer c.end()
	sendFailed := false
	for p := range c.queue {
		<-p.done
		closeAfter := c.beginSend(p)
		if !sendFailed {
			sendFailed = c.send(p, closeAfter) != nil
		}
		p.claim.large += largeBytes(p.reply)
		p.reply = Reply{} // its memory is free once it is not referred to
		c.server.release(p.claim)
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
	defer c.signalChange()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.sending, c.sendingSince = true, time.Now()
	if p.closeAfter || c.server.shuttingDown.Load() && c.pending == 0 {
		c.closing = true
		return true
	}
	return false
}

// endSend marks the connection as no longer sending.
func (c *conn) endSend() {
	defer c.signalChange()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending, c.idleSince = false, time.Now()
}

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

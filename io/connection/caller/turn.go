package caller

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"catkinstep/core/request/pace"
	"catkinstep/io/connection/sock"
)

const (
	// maxAhead is how many requests of all connections run at a time that were sent behind others of their
	// connection. Beyond that they wait until those have their replies.
	maxAhead = 128
	// refusalPause is how long a refused request of a heavy connection keeps others from starting, so that
	// connections that go on without heeding refusals do not take the processor.
	refusalPause = 50 * time.Millisecond
	// turnPollInterval is the interval at which a request that waits looks whether its caller is gone.
	turnPollInterval = 100 * time.Millisecond
	// readPause is after how long without progress of a reply no further request is read on its connection.
	readPause = 200 * time.Millisecond
)

// turn is what a request that runs has taken from the others.
type turn int

const (
	ownTurn   turn = iota // nothing: it is the first of its connection
	aheadTurn             // one of maxAhead
	heavyTurn             // one of those of heavy connections
)

// turns decides which requests start. It is safe for concurrent use.
type turns struct {
	mu      sync.Mutex
	limiter *pace.Limiter
	ahead   int
	waiters []chan struct{} // of the requests that wait, in the order in which they may start
}

func newTurns() *turns { return &turns{limiter: pace.NewLimiter(time.Now())} }

// start begins a request, or returns a channel that is closed when it should try again.
func (t *turns) start(now time.Time, isHeavy, isAhead bool) (turn, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case isHeavy && t.limiter.Start(now):
		return heavyTurn, nil
	case isHeavy:
	case !isAhead:
		return ownTurn, nil
	case t.ahead < maxAhead:
		t.ahead++
		return aheadTurn, nil
	}
	w := make(chan struct{})
	t.waiters = append(t.waiters, w)
	return ownTurn, w
}

// end ends a request that start began.
func (t *turns) end(taken turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch taken {
	case aheadTurn:
		t.ahead--
	case heavyTurn:
		t.limiter.End()
	case ownTurn:
		return
	}
	if len(t.waiters) > 0 {
		close(t.waiters[0])
		t.waiters = t.waiters[1:]
	}
}

// finish ends a request that has its reply. A refused one of a heavy connection ends a little later.
func (t *turns) finish(now time.Time, taken turn, reply Reply) {
	if reply.Refusal() == nil {
		t.end(taken)
		return
	}
	if reply.Status() == http.StatusServiceUnavailable {
		t.mu.Lock()
		t.limiter.RecordRefusal(now)
		t.mu.Unlock()
	}
	if taken == heavyTurn {
		time.AfterFunc(refusalPause, func() { t.end(taken) })
		return
	}
	t.end(taken)
}

// leave removes a request that does not wait any more.
func (t *turns) leave(w chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiters, w); i >= 0 {
		t.waiters = slices.Delete(t.waiters, i, i+1)
	}
}

// awaitTurn waits until a request that has been read may start. It returns false if its caller is gone.
func (c *conn) awaitTurn(p *pendingRequest) bool {
	c.rate = c.rate.WithRequest(time.Now(), c.awaited, int(c.refusals.Swap(0)))
	if c.reader.Buffered() > 0 && sock.IsGone(c.Conn) {
		return false // what it sent ahead would run for nobody
	}
	for {
		now := time.Now()
		taken, wait := c.server.turns.start(now, c.rate.IsHeavy(), c.hasPending())
		if wait == nil {
			p.turn = taken
			return true
		}
		ok := c.awaitChange(wait)
		c.server.turns.leave(wait)
		if !ok {
			return false
		}
	}
}

// awaitRoom waits until the next request may be read: few enough are pending, and the caller reads its replies.
// It returns false if the caller is gone.
func (c *conn) awaitRoom() bool {
	for !c.hasRoom(time.Now()) {
		if !c.awaitChange(nil) {
			return false
		}
	}
	return true
}

// awaitChange waits until something has changed that requests of the connection wait for, and returns false if
// its caller is gone.
func (c *conn) awaitChange(freed <-chan struct{}) bool {
	select {
	case <-freed:
	case <-c.changed:
	case <-time.After(turnPollInterval):
	case <-c.ctx.Done():
		return false
	}
	return !sock.IsGone(c.Conn)
}

func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

func (c *conn) hasRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isUnread := c.sending && now.Sub(c.sendingSince) > readPause
	return c.pending < maxPipelined && !isUnread
}

// signalChange wakes the goroutine that waits in awaitChange.
func (c *conn) signalChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

package caller

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unreadTimeout is how long a reply may be written before its connection counts as one whose caller does
	// not read.
	unreadTimeout = 500 * time.Millisecond
	// evictedPart is the part of the connections that is closed at a time if there are too many, so that not
	// all are looked at for each new one.
	evictedPart = 32
	// evictInterval is the shortest time between two evictions of callers that do not read.
	evictInterval = 100 * time.Millisecond
)

// activity is what decides whether a connection is closed in favour of others. It is guarded by conn.mu.
type activity struct {
	gathering *gathering // the body that is being read
	lingering bool
	// completed is set once a request has been read. sendingSince is when the last part of a reply was sent that
	// is being sent.
	completed                             bool
	readingSince, sendingSince, idleSince time.Time
}

// rank is the order in which connections are closed if there are too many.
type rank int

const (
	rankWithoutRequest rank = iota // no request on it has been read, or its last reply has been sent
	rankReading                    // a request on it is being read, and none runs
	rankUnread                     // its caller does not read the replies
	rankIdle
	rankBusy // it is not closed
)

// candidate is a connection that may be closed in favour of others.
type candidate struct {
	conn  *conn
	rank  rank
	since time.Time
}

// candidate returns how soon the connection is closed in favour of others.
func (c *conn) candidate(now time.Time) candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lingering, !c.completed && c.pending == 0 && !c.sending:
		return candidate{conn: c, rank: rankWithoutRequest, since: c.openedAt}
	case c.sending && now.Sub(c.sendingSince) > unreadTimeout:
		return candidate{conn: c, rank: rankUnread, since: c.sendingSince}
	case c.pending == 0 && !c.sending && c.reading:
		return candidate{conn: c, rank: rankReading, since: c.readingSince}
	case c.pending == 0 && !c.sending:
		return candidate{conn: c, rank: rankIdle, since: c.idleSince}
	}
	return candidate{conn: c, rank: rankBusy}
}

// makeRoom closes connections if there are as many as may be, and reports whether another one may be kept.
func (s *Server) makeRoom(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.maxConns {
		return true
	}
	s.evict(now, rankWithoutRequest, rankIdle)
	return len(s.conns) < s.maxConns
}

// evict closes a part of the connections with the given ranks. s.mu must be held.
func (s *Server) evict(now time.Time, from, to rank) {
	candidates := make([]candidate, 0, len(s.conns))
	for c := range s.conns {
		if k := c.candidate(now); from <= k.rank && k.rank <= to {
			candidates = append(candidates, k)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since))
	})
	for _, k := range candidates[:min(len(candidates), 1+len(s.conns)/evictedPart)] {
		k.conn.evict()
		delete(s.conns, k.conn)
		s.onEvicted()
	}
}

// evict closes the connection in favour of others.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	_ = c.Close()
}

// EvictUnread closes a part of the connections whose callers do not read their replies, since these take the
// memory that others wait for.
func (s *Server) EvictUnread(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.evictedAt) < evictInterval {
		return
	}
	s.evictedAt = now
	s.evict(now, rankUnread, rankUnread)
}

// evictStalled ends the large body that has made no progress for longest, if there is one, and reports whether
// it did. Its memory is free once garbage has been collected.
func (s *Server) evictStalled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stalled *conn
	since := now.Add(-stallTimeout)
	for c := range s.conns {
		if at, ok := c.stalledSince(); ok && at.Before(since) {
			stalled, since = c, at
		}
	}
	if stalled == nil {
		return false
	}
	stalled.evictBody()
	s.memory.Discard(1)
	return true
}

func (c *conn) setGathering(g *gathering) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gathering = g
}

func (c *conn) setLarge(g *gathering) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.large, g.progressAt = true, time.Now()
}

func (c *conn) recordProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gathering != nil && c.gathering.large {
		c.gathering.progressAt = time.Now()
	}
}

// stalledSince returns when the last byte of a large body arrived that is being read.
func (c *conn) stalledSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gathering == nil || !c.gathering.large || c.gathering.evicted {
		return time.Time{}, false
	}
	return c.gathering.progressAt, true
}

// evictBody ends the body that is being read.
func (c *conn) evictBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gathering == nil {
		return
	}
	c.gathering.evicted = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) wasEvicted(g *gathering) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return g.evicted
}

// recordSent records that a part of a reply has been sent.
func (c *conn) recordSent() {
	defer c.signalChange()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendingSince = time.Now()
}

func (c *conn) beginLinger(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering, c.openedAt = true, now
}

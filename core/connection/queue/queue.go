package queue

import (
	"time"

	"catkinstep/core/connection/limit"
	"catkinstep/core/connection/wire"
	"catkinstep/core/request/ledger"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

const (
	// probeEvery is how often the server is offered the token again.
	probeEvery = 150 * time.Millisecond
	// ghostEvery is how often it is asked for orders that may have ended.
	ghostEvery = 10 * time.Millisecond
	// silentAfter is the silence after which the server gets nothing new.
	silentAfter = 500 * time.Millisecond
	// clockMargin covers the difference of two clocks' rates over an order.
	clockMargin = 50 * time.Millisecond
	// pullEvery and pullFor bound the tries to fetch earlier ids, after which
	// they are given up, but for a try every lostEvery.
	pullEvery = 200 * time.Millisecond
	pullFor   = 2 * time.Second
	lostEvery = time.Second
	// copyEvery is how often shards are offered to the backup, with about
	// copyAtOnce ids.
	copyEvery  = 100 * time.Millisecond
	copyAtOnce = 1000
	// maxIDs bounds the memory of one server's book.
	maxIDs = 100000
)

// Suspect tells whether a request must not be run any more; core/request/crash
// has one.
type Suspect interface {
	Refused(now time.Time, fingerprint uint64) bool
}

// Queue is the dispatcher of one backend server.
type Queue struct {
	address  string
	service  site.Service
	bound    int
	route    *route.Route
	suspects Suspect

	token   uint64 // from the table
	backup  table.Daemon
	server  server
	limit   limit.Limit
	waiting []*item
	running map[uint64]*item
	// settling holds, by shard, when orders without an answer are surely over.
	settling map[uint32]time.Time
	idle     time.Time // when the last order without an answer is surely over
	follow   map[string][]*item

	book    *ledger.Book
	copies  map[uint64]*copying
	copied  map[uint32]copyState // what the backup has, by shard
	copyAt  time.Time
	pulls   map[uint64]pull
	pullAt  time.Time
	lostAt  time.Time // when ids that were given up were last asked for
	pullEnd map[uint32]time.Time
	sources map[uint32]source // where ids are still to be fetched from
	nextID  uint64

	// tokens are those the book was kept under without a break; old are books
	// of before a break, kept for the dispatchers that followed.
	tokens map[uint64]bool
	old    []archive
	epochs map[uint32]uint64 // of the shards in the book

	quiet  quieted
	counts map[uint32]uint32
	cmds   []Cmd
}

// server is what is known of the backend server.
type server struct {
	state       wire.ServerState
	granted     uint64 // the token that the server took last
	incarnation uint64
	clock       time.Duration
	clockAt     time.Time
	heard       time.Time
	probed      time.Time
	probing     bool
	// fenced is when orders of earlier dispatchers are surely over; zero while
	// the server has not taken our token.
	fenced time.Time
	// ghosts are orders whose wait has ended without an answer, and which may
	// still take up slots.
	ghosts int
	dead   []uint64 // fingerprints that ran when contact was lost
}

// item is one order.
type item struct {
	seq      uint64
	order    *wire.Order
	deadline time.Time
	arrived  time.Time
	sent     time.Time
	notAfter time.Time
	copying  bool
	logged   bool // its id is in the book
	judged   bool // its id was surely never seen before
	quit     bool // its caller has gone
}

type archive struct {
	tokens map[uint64]bool
	book   *ledger.Book
	at     time.Time
}

// copying is a copy to the backup under way: of one id, or of whole shards.
type copying struct {
	item   *item
	shards []*wire.Shard
}

// copyState is what the backup has of a shard. From copySent on, it may take
// itself to have all ids, so that every later one must reach it first.
type copyState int

const (
	copyNone copyState = iota
	copySent
	copyDone
)

// quieted is the part of a hold that is told to be fulfilled.
type quieted struct {
	number uint64
	all    bool
	shards int
}

// source is where the ids of a shard are, and the epoch that it had there.
type source struct {
	from shard.Ledger
	was  uint64
}

type pull struct {
	from   shard.Ledger
	shards []*wire.Shard // with their epochs there
}

// New returns the dispatcher of a server that has not been reached yet.
func New(address string, suspects Suspect) *Queue {
	return &Queue{
		address:  address,
		suspects: suspects,
		running:  map[uint64]*item{},
		settling: map[uint32]time.Time{},
		follow:   map[string][]*item{},
		copies:   map[uint64]*copying{},
		copied:   map[uint32]copyState{},
		pulls:    map[uint64]pull{},
		pullEnd:  map[uint32]time.Time{},
		sources:  map[uint32]source{},
		counts:   map[uint32]uint32{},
		tokens:   map[uint64]bool{},
		epochs:   map[uint32]uint64{},
	}
}

// Update takes in a message and returns what is to be done.
func (q *Queue) Update(now time.Time, msg Msg) []Cmd {
	q.cmds = nil
	switch msg := msg.(type) {
	case TickMsg:
		q.tick(now)
	case RouteMsg:
		q.adopt(now, msg.Route)
	case SubmitMsg:
		q.submit(now, &item{seq: msg.Seq, order: msg.Order, deadline: msg.Deadline, arrived: now})
	case CancelMsg:
		q.cancel(msg.Seq)
	case AnsweredMsg:
		q.answered(now, msg)
	case NotRunMsg:
		q.notRun(now, msg)
	case UnsureMsg:
		q.unsure(now, msg)
	case GrantedMsg:
		q.grantTaken(now, msg)
	case GrantRefusedMsg:
		q.grantRefused(now, msg)
	case GrantFailedMsg:
		q.grantFailed(now, msg)
	case CopiedMsg:
		q.copyEnded(msg)
	case PulledMsg:
		q.pulled(now, msg)
	}
	if q.route != nil {
		q.dispatch(now)
		q.quieten(now)
	}
	return q.cmds
}

// Report is what the leader wants to know of the server. The loads counted so
// far are handed over with it.
func (q *Queue) Report(now time.Time) *wire.ServerReport {
	r := &wire.ServerReport{Server: q.address, State: q.server.state, Limit: q.limit.Share(), LatencyMicros: q.latency(now).Microseconds(), IdsMissing: q.book != nil && q.book.Missing()}
	for s, n := range q.counts {
		r.Loads = append(r.Loads, &wire.ShardLoad{Shard: s, Orders: n})
	}
	clear(q.counts)
	return r
}

// latency is the usual time of an answer. When two orders have been running for
// longer, the younger of them counts: a server that has just become slow
// answers nothing from which its estimate could learn, and one long order alone
// proves nothing.
func (q *Queue) latency(now time.Time) time.Duration {
	oldest, second := time.Duration(0), time.Duration(0)
	for _, it := range q.running {
		switch age := now.Sub(it.sent); {
		case age > oldest:
			oldest, second = age, oldest
		case age > second:
			second = age
		}
	}
	return max(q.limit.Latency(), second)
}

// Waiting returns how many orders wait, a hint of the load for entries.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns how many orders the server has.
func (q *Queue) Running() int { return len(q.running) }

// Allowed returns how many orders the server may have at once.
func (q *Queue) Allowed() int { return q.limit.Allowed() }

// Token returns the fencing token in use.
func (q *Queue) Token() uint64 { return q.token }

// Idle tells whether nothing waits, runs, or may still run.
func (q *Queue) Idle(now time.Time) bool {
	return len(q.waiting) == 0 && len(q.running) == 0 && !now.Before(q.idle)
}

// Ledger gives the ids of some shards under a token, for the next dispatcher,
// with the shards whose ids are all there.
func (q *Queue) Ledger(now time.Time, token uint64, shards []*wire.Shard) (entries []*wire.LedgerEntry, covered []uint32) {
	book := q.book
	if !q.tokens[token] {
		book = nil
		for _, a := range q.old {
			if a.tokens[token] {
				book = a.book
			}
		}
	}
	if book == nil {
		return nil, nil
	}
	return book.Ledger(now, shards)
}

func (q *Queue) do(c Cmd) { q.cmds = append(q.cmds, c) }

func (q *Queue) id() uint64 {
	q.nextID++
	return q.nextID
}

func (q *Queue) tick(now time.Time) {
	if q.route == nil {
		return
	}
	if s := &q.server; s.state == wire.ServerState_SERVER_STATE_OK && now.Sub(s.heard) > silentAfter {
		s.state = wire.ServerState_SERVER_STATE_SILENT
		q.refuseWaiting(func(*item) bool { return true }, "serverDown", "the backend server is silent")
	}
	q.probe(now)
	q.fetch(now)
	q.copyShards(now)
	for s, until := range q.settling {
		if !now.Before(until) {
			delete(q.settling, s)
		}
	}
	q.refuseWaiting(func(it *item) bool { return !now.Before(it.deadline) }, "deadlineExceeded", "the deadline passed while it waited")
}

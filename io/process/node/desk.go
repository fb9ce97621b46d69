package node

import (
	"context"
	"sync"
	"time"

	"catkinstep/core/connection/queue"
	"catkinstep/core/connection/wire"
	"catkinstep/core/process/daemon"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
	"catkinstep/io/connection/back"
)

const (
	copyTimeout = 500 * time.Millisecond
	pullTimeout = 800 * time.Millisecond
	shareFor    = time.Second
)

// desk carries out the commands of one server's queue.
type desk struct {
	node    *Node
	address string
	client  *back.Client

	mu      sync.Mutex
	queue   *queue.Queue
	nextSeq uint64
	waiters map[uint64]chan *wire.Answer
	aborts  map[uint64]context.CancelFunc
}

func newDesk(n *Node, address string, r *route.Route) *desk {
	connections := 0
	for _, d := range r.Site.DataCentres {
		for _, v := range d.Servers {
			if s, ok := r.Site.Service(v.Service); ok && v.Address == address {
				connections = s.Connections
			}
		}
	}
	return &desk{
		node: n, address: address, client: back.New(address, connections), queue: queue.New(address, n),
		waiters: map[uint64]chan *wire.Answer{}, aborts: map[uint64]context.CancelFunc{},
	}
}

// tell gives the queue a message and carries out what it wants done.
func (d *desk) tell(msg queue.Msg) {
	d.mu.Lock()
	cmds := d.update(msg)
	d.mu.Unlock()
	d.carryOut(cmds)
}

// update runs under the lock. Answers are handed over at once, so that no
// other message can come between a decision and its answer.
func (d *desk) update(msg queue.Msg) []queue.Cmd {
	cmds := d.queue.Update(time.Now(), msg)
	for _, c := range cmds {
		if a, ok := c.(queue.AnswerCmd); ok {
			if w := d.waiters[a.Seq]; w != nil {
				w <- a.Answer
				delete(d.waiters, a.Seq)
			}
		}
	}
	return cmds
}

func (d *desk) carryOut(cmds []queue.Cmd) {
	for _, c := range cmds {
		switch c := c.(type) {
		case queue.SendCmd:
			d.node.do(func(ctx context.Context) { d.send(ctx, c) })
		case queue.AbortCmd:
			d.mu.Lock()
			abort := d.aborts[c.Seq]
			d.mu.Unlock()
			if abort != nil {
				abort()
			}
		case queue.GrantCmd:
			d.node.do(func(ctx context.Context) { d.grant(ctx, c) })
		case queue.CopyCmd:
			d.node.do(func(ctx context.Context) { d.copy(ctx, c) })
		case queue.PullCmd:
			d.node.do(func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, pullTimeout)
				defer cancel()
				entries, covered := d.node.pull(ctx, c.From, c.Shards)
				d.tell(queue.PulledMsg{ID: c.ID, Entries: entries, Covered: covered})
			})
		case queue.QuietCmd:
			d.node.do(func(context.Context) {
				d.node.tell(daemon.QuietMsg(c))
			})
		case queue.LostCmd:
			d.node.do(func(ctx context.Context) { d.node.share(ctx, c) })
		}
	}
}

// submit waits for the outcome of an order.
func (d *desk) submit(ctx context.Context, o *wire.Order, deadline time.Time) *wire.Answer {
	w := make(chan *wire.Answer, 1)
	d.mu.Lock()
	d.nextSeq++
	seq := d.nextSeq
	d.waiters[seq] = w
	cmds := d.update(queue.SubmitMsg{Seq: seq, Order: o, Deadline: deadline})
	d.mu.Unlock()
	d.carryOut(cmds)
	select {
	case a := <-w:
		return a
	case <-ctx.Done():
	}
	d.tell(queue.CancelMsg{Seq: seq})
	d.mu.Lock()
	delete(d.waiters, seq)
	d.mu.Unlock()
	select {
	case a := <-w:
		return a
	default:
	}
	return failed(wire.Outcome_OUTCOME_UNKNOWN, retry.DeadlineOver, "its time was over while the backend server had it")
}

func (d *desk) send(ctx context.Context, c queue.SendCmd) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+50*time.Millisecond)
	defer cancel()
	d.mu.Lock()
	d.aborts[c.Seq] = cancel
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.aborts, c.Seq)
		d.mu.Unlock()
	}()
	d.node.metrics.Add("orders.sent", 1)
	answer, latency, err := d.client.Send(ctx, back.Order{Order: c.Order, Token: c.Token, Incarnation: c.Incarnation, NotAfter: c.NotAfter})
	if err == nil {
		d.node.clear(c.Order.Fingerprint)
		d.tell(queue.AnsweredMsg{Seq: c.Seq, Answer: answer, Latency: latency})
		return
	}
	e, ok := back.As(err)
	switch {
	case ok && (e.Kind == back.NotRun || e.Kind == back.Gone):
		d.node.metrics.Add("orders.notRun."+e.Code, 1)
		d.tell(queue.NotRunMsg{Seq: c.Seq, Code: e.Code, Text: err.Error()})
		if e.Kind == back.Gone {
			d.tell(queue.GrantFailedMsg{Refused: true})
		}
	default:
		code := retry.OutcomeLost
		if ok && e.Code != "" {
			code = e.Code
		}
		d.node.metrics.Add("orders.unknown", 1)
		d.node.log.Debug("order: outcome unknown.", "server", d.address, "id", c.Order.Id, "error", err)
		d.tell(queue.UnsureMsg{Seq: c.Seq, Code: code, Text: err.Error()})
	}
}

func (d *desk) grant(ctx context.Context, c queue.GrantCmd) {
	g, err := d.client.Grant(ctx, c.Token)
	if err == nil {
		d.tell(queue.GrantedMsg{
			Token: c.Token, Incarnation: g.Incarnation, Clock: time.Duration(g.ClockMicros) * time.Microsecond,
			Others: g.Others, Running: g.Running, Leaving: g.Leaving,
		})
		return
	}
	e, ok := back.As(err)
	switch {
	case ok && e.Kind == back.Fenced:
		d.tell(queue.GrantRefusedMsg(c))
	default:
		d.tell(queue.GrantFailedMsg{Refused: ok && e.Kind == back.Gone})
	}
}

func (d *desk) copy(ctx context.Context, c queue.CopyCmd) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, err := d.node.call(ctx, c.To.Address, &wire.Call{Kind: &wire.Call_Copy{Copy: &wire.Copy{
		From: d.node.self.Address, Incarnation: c.To.Incarnation, Server: d.address, Token: c.Token,
		Whole: c.Whole, Entries: c.Entries, Covered: c.Covered,
	}}})
	d.tell(queue.CopiedMsg{ID: c.ID, OK: err == nil})
}

// share tells all known daemons of a request that a server was lost with.
func (n *Node) share(ctx context.Context, c queue.LostCmd) {
	ctx, cancel := context.WithTimeout(ctx, shareFor)
	defer cancel()
	n.crashMu.Lock()
	news := n.suspects.Lost(time.Now(), c.Fingerprint, c.Server)
	servers := n.suspects.Servers(c.Fingerprint)
	n.crashMu.Unlock()
	if !news {
		return
	}
	n.log.Warn("server: lost while a request ran.", "server", c.Server, "fingerprint", c.Fingerprint, "servers", len(servers))
	n.tellAll(ctx, &wire.Suspect{Fingerprint: c.Fingerprint, Servers: servers})
}

// clear ends the suspicion of a request that was answered, everywhere.
func (n *Node) clear(fingerprint uint64) {
	n.crashMu.Lock()
	cleared := n.suspects.Answered(fingerprint)
	n.crashMu.Unlock()
	if !cleared {
		return
	}
	n.do(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, shareFor)
		defer cancel()
		n.tellAll(ctx, &wire.Suspect{Fingerprint: fingerprint})
	})
}

// tellAll tells all known daemons of a suspicion, or of its end.
func (n *Node) tellAll(ctx context.Context, s *wire.Suspect) {
	call := &wire.Call{Kind: &wire.Call_Suspect{Suspect: s}}
	var all sync.WaitGroup
	for _, t := range n.route.Load().Tables {
		for _, to := range t.Daemons {
			if to != n.self {
				all.Go(func() { _, _ = n.call(ctx, to.Address, call) })
			}
		}
	}
	all.Wait()
}

func (d *desk) adopt(r *route.Route) { d.tell(queue.RouteMsg{Route: r}) }

func (d *desk) tick() { d.tell(queue.TickMsg{}) }

func (d *desk) report() *wire.ServerReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Report(time.Now())
}

func (d *desk) idle(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Idle(now)
}

func (d *desk) ledger(token uint64, shards []*wire.Shard) ([]*wire.LedgerEntry, []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Ledger(time.Now(), token, shards)
}

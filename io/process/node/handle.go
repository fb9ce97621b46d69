package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/daemon"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/io/connection/mesh"
)

// handle answers the calls of other daemons, and counts what control costs.
func (n *Node) handle(ctx context.Context, c *wire.Call) *wire.Reply {
	r := n.respond(ctx, c)
	if c.GetOrder() == nil {
		n.metrics.Add("control.bytesAsked", int64(proto.Size(c)))
		n.metrics.Add("control.bytesAnswered", int64(proto.Size(r)))
	}
	return r
}

func (n *Node) respond(ctx context.Context, c *wire.Call) *wire.Reply {
	switch k := c.Kind.(type) {
	case *wire.Call_Beat:
		r, ok := n.ask(ctx, func(id uint64) daemon.Msg { return daemon.BeatMsg{Call: id, Beat: k.Beat} }).(*wire.BeatReply)
		if !ok {
			return &wire.Reply{Error: "busy"}
		}
		return &wire.Reply{Beat: r}
	case *wire.Call_Sync:
		r, ok := n.ask(ctx, func(id uint64) daemon.Msg { return daemon.SyncMsg{Call: id, Sync: k.Sync} }).(*wire.Sync)
		if !ok {
			return &wire.Reply{Error: "busy"}
		}
		return &wire.Reply{Sync: r}
	case *wire.Call_Order:
		deadline := time.Now().Add(time.Duration(k.Order.TimeoutMicros) * time.Microsecond)
		return &wire.Reply{Answer: n.submit(ctx, k.Order, deadline)}
	case *wire.Call_Copy:
		if k.Copy.Incarnation != n.self.Incarnation {
			// Meant for an earlier run, which had the ids that came before.
			return &wire.Reply{Error: "another incarnation"}
		}
		n.shelfMu.Lock()
		defer n.shelfMu.Unlock()
		n.shelf.Take(time.Now(), k.Copy)
		return &wire.Reply{}
	case *wire.Call_Pull:
		entries, covered := n.ledger(k.Pull)
		return &wire.Reply{Ledger: &wire.Ledger{Entries: entries, Covered: covered}}
	case *wire.Call_Suspect:
		n.crashMu.Lock()
		defer n.crashMu.Unlock()
		if len(k.Suspect.Servers) == 0 {
			n.suspects.Answered(k.Suspect.Fingerprint)
		}
		n.suspects.Lost(time.Now(), k.Suspect.Fingerprint, k.Suspect.Servers...)
		return &wire.Reply{}
	case *wire.Call_Status:
		return &wire.Reply{Status: n.Status()}
	}
	return &wire.Reply{Error: "unknown call"}
}

// Status says what this daemon has in force and what it has counted.
func (n *Node) Status() *wire.StatusReply {
	s := n.status.Load()
	counters, err := json.Marshal(n.Burn())
	if err != nil {
		counters = nil
	}
	return &wire.StatusReply{
		Daemon: s.Daemon, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Leader: s.Leader,
		PlatformReachable: s.PlatformReachable, Versions: s.Versions, Stopping: s.Stopping, Servers: s.Servers, Counters: counters,
	}
}

// StatusOf asks another daemon for its status.
func (n *Node) StatusOf(ctx context.Context, address string) (*wire.StatusReply, error) {
	if address == n.self.Address {
		return n.Status(), nil
	}
	reply, err := n.call(ctx, address, &wire.Call{Kind: &wire.Call_Status{Status: &wire.Status{}}})
	if err != nil {
		return nil, err
	}
	return reply.Status, nil
}

// Send implements entry.Router.
func (n *Node) Send(ctx context.Context, to route.Target, o *wire.Order, deadline time.Time) *wire.Answer {
	sent := &wire.Order{
		Service: o.Service, Server: to.Server, Shard: o.Shard, Owned: o.Owned, Id: o.Id, FreshId: o.FreshId,
		Idempotent: o.Idempotent, Method: o.Method, Path: o.Path, Headers: o.Headers, Body: o.Body,
		Fingerprint: o.Fingerprint, Entry: n.self.Address, Token: to.Token,
	}
	if to.Local {
		return n.submit(ctx, sent, deadline)
	}
	sent.TimeoutMicros = time.Until(deadline).Microseconds()
	if sent.TimeoutMicros <= 0 {
		return failed(wire.Outcome_OUTCOME_NOT_RUN, retry.DeadlineOver, "the deadline passed before it was sent")
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply, err := n.mesh.Call(ctx, to.Dispatcher.Address, &wire.Call{Kind: &wire.Call_Order{Order: sent}})
	switch {
	case err == nil && reply.Answer != nil:
		return reply.Answer
	case mesh.Is(err, mesh.Refused), mesh.Is(err, mesh.NotSent):
		return failed(wire.Outcome_OUTCOME_NOT_RUN, retry.Unreachable, err.Error())
	case err == nil:
		return failed(wire.Outcome_OUTCOME_UNKNOWN, retry.OutcomeLost, "the dispatcher gave no outcome")
	}
	return failed(wire.Outcome_OUTCOME_UNKNOWN, retry.OutcomeLost, err.Error())
}

// submit gives an order to the queue of its server.
func (n *Node) submit(ctx context.Context, o *wire.Order, deadline time.Time) *wire.Answer {
	n.mu.Lock()
	d := n.desks[o.Server]
	n.mu.Unlock()
	if d == nil {
		return failed(wire.Outcome_OUTCOME_NOT_RUN, retry.NotMine, "this daemon never dispatched to "+o.Server)
	}
	return d.submit(ctx, o, deadline)
}

func failed(o wire.Outcome, code, reason string) *wire.Answer {
	return &wire.Answer{Outcome: o, Code: code, Reason: reason, RetryAfterMillis: 1000}
}

// ledger looks for ids under a token: in the queue of the server, if this
// daemon dispatched to it, and among the copies kept for others.
func (n *Node) ledger(p *wire.Pull) (entries []*wire.LedgerEntry, covered []uint32) {
	n.mu.Lock()
	d := n.desks[p.Server]
	n.mu.Unlock()
	if d != nil {
		entries, covered = d.ledger(p.Token, p.Shards)
	}
	n.shelfMu.Lock()
	defer n.shelfMu.Unlock()
	more, also := n.shelf.Ledger(time.Now(), p.Server, p.Token, p.Shards)
	return append(entries, more...), append(covered, also...)
}

// pull asks all daemons of a data centre for ids, this one first.
func (n *Node) pull(ctx context.Context, from shard.Ledger, shards []*wire.Shard) (entries []*wire.LedgerEntry, covered []uint32) {
	p := &wire.Pull{Server: from.Server, Token: from.Token, Shards: shards}
	entries, covered = n.ledger(p)
	r := n.route.Load()
	for _, d := range r.Tables[from.DataCentre].Daemons {
		if coversAll(covered, shards) {
			break
		}
		if d == n.self {
			continue
		}
		reply, err := n.call(ctx, d.Address, &wire.Call{Kind: &wire.Call_Pull{Pull: p}})
		if err != nil || reply.Ledger == nil {
			continue
		}
		entries = append(entries, reply.Ledger.Entries...)
		covered = append(covered, reply.Ledger.Covered...)
	}
	return entries, covered
}

func coversAll(covered []uint32, shards []*wire.Shard) bool {
	for _, s := range shards {
		if !slices.Contains(covered, s.Shard) {
			return false
		}
	}
	return true
}

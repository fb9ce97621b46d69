package queue

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/table"
)

// Msg is something that happened. One of the types below that end in Msg.
type Msg any

// Cmd is something to be done. One of the types below that end in Cmd.
type Cmd any

// TickMsg lets time pass. Send it every 50 ms.
type TickMsg struct{}

// RouteMsg brings a new snapshot.
type RouteMsg struct{ Route *route.Route }

// SubmitMsg brings an order from an entry. Exactly one AnswerCmd follows.
type SubmitMsg struct {
	Seq      uint64
	Order    *wire.Order
	Deadline time.Time
}

// CancelMsg tells that nobody waits for an order any more.
type CancelMsg struct{ Seq uint64 }

// AnsweredMsg brings the server's whole answer, its id checked.
type AnsweredMsg struct {
	Seq     uint64
	Answer  *wire.Answer
	Latency time.Duration
}

// NotRunMsg tells that an order surely did not run: the server said so, or it
// was never written. The code is one of those in core/request/retry.
type NotRunMsg struct {
	Seq  uint64
	Code string
	Text string
}

// UnsureMsg tells that an order was written and no whole answer came.
type UnsureMsg struct {
	Seq  uint64
	Code string
	Text string
}

// GrantedMsg tells that the server took the fencing token.
type GrantedMsg struct {
	Token       uint64
	Incarnation uint64
	// Clock is the server's own monotonic clock when it answered.
	Clock time.Duration
	// Others is how many orders of older tokens still run there.
	Others int
	// Running is how many orders run there in all.
	Running int
	Leaving bool
}

// GrantRefusedMsg tells that the server has taken a higher token.
type GrantRefusedMsg struct{ Token uint64 }

// GrantFailedMsg tells that the server could not be reached.
type GrantFailedMsg struct {
	// Refused means that nothing listens at its address: its process has ended.
	Refused bool
}

// CopiedMsg tells whether the backup has what a CopyCmd sent.
type CopiedMsg struct {
	ID uint64
	OK bool
}

// PulledMsg answers a PullCmd.
type PulledMsg struct {
	ID      uint64
	Entries []*wire.LedgerEntry
	// Covered are the shards whose ids are all among the entries.
	Covered []uint32
}

// SendCmd writes an order to the server. One of AnsweredMsg, NotRunMsg and
// UnsureMsg answers.
type SendCmd struct {
	Seq         uint64
	Order       *wire.Order
	Token       uint64
	Incarnation uint64
	// NotAfter is when the server must have stopped, on the server's own clock:
	// an order that waited in a frozen server is then refused when it wakes.
	NotAfter time.Duration
	Timeout  time.Duration
}

// AnswerCmd gives an entry the outcome of its order.
type AnswerCmd struct {
	Seq    uint64
	Answer *wire.Answer
}

// AbortCmd ends the wait for an order that was sent, since its caller is gone.
type AbortCmd struct{ Seq uint64 }

// GrantCmd offers the fencing token to the server; it also probes it.
type GrantCmd struct{ Token uint64 }

// CopyCmd sends ids to the backup; a CopiedMsg answers.
type CopyCmd struct {
	ID      uint64
	To      table.Daemon
	Token   uint64
	Whole   bool
	Entries []*wire.LedgerEntry
	Covered []*wire.Shard
}

// PullCmd fetches the ids of shards from where they were; a PulledMsg answers.
type PullCmd struct {
	ID     uint64
	From   shard.Ledger
	Shards []*wire.Shard
}

// QuietCmd tells what part of a hold is fulfilled.
type QuietCmd struct {
	Server string
	// Number is that of the hold.
	Number uint64
	All    bool
	Shards []uint32
}

// LostCmd tells that the server was lost while a request ran on it.
type LostCmd struct {
	Fingerprint uint64
	Server      string
}

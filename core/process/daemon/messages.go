package daemon

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/route"
	"catkinstep/core/version/table"
)

// Msg is something that happened. One of the types below that end in Msg.
type Msg any

// Cmd is something to be done. One of the types below that end in Cmd.
type Cmd any

// TickMsg lets time pass. Send it every 50 ms.
type TickMsg struct{}

// LeaveMsg asks the daemon to hand over its work; LeftCmd follows.
type LeaveMsg struct{}

// ReadMsg answers a ReadCmd, or tells of a change that a watch saw.
type ReadMsg struct {
	Name string
	// Object is nil when the platform has none of that name.
	Object *wire.Object
	// Err is set when the platform could not be asked.
	Err error
	// Asked is when the platform was asked.
	Asked time.Time
}

// WatchedMsg tells that one poll of the watch has ended, with news or without.
type WatchedMsg struct {
	Err   error
	Asked time.Time
}

// WroteMsg answers a WriteCmd.
type WroteMsg struct {
	Name string
	// Object is what was written, with its new version; nil unless Result is Written.
	Object *wire.Object
	Result WriteResult
	Asked  time.Time
}

// WriteResult is the outcome of a conditional update.
type WriteResult int

// Outcomes of a conditional update.
const (
	// Unsure means that the reply was lost: it may have taken effect.
	Unsure WriteResult = iota
	Written
	Conflict
)

// BeatMsg is a daemon's heartbeat to this one; a BeatReplyCmd follows.
type BeatMsg struct {
	Call uint64
	Beat *wire.Beat
}

// BeatReplyMsg answers a BeatCmd.
type BeatReplyMsg struct {
	To    table.Daemon
	Sent  time.Time
	Reply *wire.BeatReply
}

// BeatFailedMsg tells that a heartbeat got no answer.
type BeatFailedMsg struct {
	To   table.Daemon
	Sent time.Time
	// Refused means that nothing listens at the address: the process ended.
	Refused bool
}

// GoneMsg answers a ProbeCmd whose daemon has provably ended.
type GoneMsg struct{ Daemon table.Daemon }

// SyncMsg is another daemon's exchange of objects; a SyncReplyCmd follows.
type SyncMsg struct {
	Call uint64
	Sync *wire.Sync
}

// SyncReplyMsg answers a SyncCmd.
type SyncReplyMsg struct {
	From string
	Sync *wire.Sync
}

// ServersMsg brings what the dispatchers of this daemon saw of their servers.
// Send it with each tick.
type ServersMsg struct{ Reports []*wire.ServerReport }

// QuietMsg tells what part of a hold a dispatcher has fulfilled by now: nothing
// that it sent for that part can run any more.
type QuietMsg struct {
	Server string
	// Number is that of the hold.
	Number uint64
	// All is the whole server, if the hold asks for it.
	All    bool
	Shards []uint32
}

// ReadCmd reads a platform object; a ReadMsg answers.
type ReadCmd struct{ Name string }

// WriteCmd writes a platform object if it still has a version; zero means that
// it must not exist. A WroteMsg answers.
type WriteCmd struct {
	Name      string
	IfVersion uint64
	Value     []byte
}

// WatchCmd starts or ends the watch of all platform objects; each change comes
// as a ReadMsg.
type WatchCmd struct{ On bool }

// BeatCmd sends a heartbeat; a BeatReplyMsg or BeatFailedMsg answers.
type BeatCmd struct {
	To   table.Daemon
	Beat *wire.Beat
}

// BeatReplyCmd answers a BeatMsg.
type BeatReplyCmd struct {
	Call  uint64
	Reply *wire.BeatReply
}

// ProbeCmd asks whether a daemon's process still runs; a GoneMsg answers when
// it surely does not, and nothing else does.
type ProbeCmd struct{ Daemon table.Daemon }

// SyncCmd sends objects to another daemon; a SyncReplyMsg answers, if any.
type SyncCmd struct {
	To   string
	Sync *wire.Sync
}

// SyncReplyCmd answers a SyncMsg.
type SyncReplyCmd struct {
	Call uint64
	Sync *wire.Sync
}

// RouteCmd publishes a new snapshot for traffic.
type RouteCmd struct{ Route *route.Route }

// LeadCmd tells that this daemon began or ceased to lead, for the log.
type LeadCmd struct {
	Leading bool
	Epoch   uint64
}

// LeftCmd tells that nothing depends on this daemon any more.
type LeftCmd struct{}

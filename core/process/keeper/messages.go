package keeper

import (
	"time"

	"catkinstep/core/request/admit"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// Msg is something that happened.
type Msg interface{ msg() }

// TickMsg lets time pass.
type TickMsg struct{}

// FleetMsg is news of the servers, the services with keys, and the data centres
// that are to get no work.
type FleetMsg struct {
	Fleet *fleet.Fleet
	Keyed []string
	Out   map[string]bool
	// Keep turns moves for balance off.
	Keep bool
	// Daemons is how many daemons learn of each move.
	Daemons int
}

// LoadMsg says how much work the requests for a service's keys are, over all
// daemons, and how slow its servers are.
type LoadMsg struct {
	Service string
	// Work is how many slots of a server of usual speed each of the Buckets
	// keeps busy.
	Work []float64
	// Factors are servers' times over the usual ones, by id; 1 where unknown.
	Factors map[string]float64
	// Each is what one request takes at a server of usual speed, in seconds.
	Each float64
	// Aim is within what time requests should be answered.
	Aim time.Duration
	// ColdRate is how many requests a second a cold server bears.
	ColdRate float64
	// Reports are what servers of any service reported of their queues since the last
	// LoadMsg.
	Reports []Report
}

// Report is how many answers of a server reported its load, and how many of these
// a long queue.
type Report struct {
	Server        string
	Answers, Full int
}

// GrantedMsg is the end of a GrantCmd.
type GrantedMsg struct {
	Cmd    GrantCmd
	At     time.Time
	Result grant.Result
}

// ReleasedMsg is the end of a ReleaseCmd.
type ReleasedMsg struct {
	Cmd      ReleaseCmd
	Result   grant.Result
	Handover string
}

// StoredMsg is the stored table, as a save or a read found it.
type StoredMsg struct {
	Table    grant.Table
	Revision uint64
	// Asked is when the call began.
	Asked time.Time
}

// UnstoredMsg says that a save or a read got no usable answer.
type UnstoredMsg struct{}

// CurrentMsg says that the stored table was known to be of an epoch at a time,
// from a watch or another daemon.
type CurrentMsg struct {
	Epoch uint64
	At    time.Time
}

// OldLeaderMsg proves that the leader before this one ended or gave way by At.
type OldLeaderMsg struct{ At time.Time }

func (TickMsg) msg()      {}
func (FleetMsg) msg()     {}
func (LoadMsg) msg()      {}
func (GrantedMsg) msg()   {}
func (ReleasedMsg) msg()  {}
func (StoredMsg) msg()    {}
func (UnstoredMsg) msg()  {}
func (CurrentMsg) msg()   {}
func (OldLeaderMsg) msg() {}

// Cmd is something to be done.
type Cmd interface{ cmd() }

// GrantCmd asks a server to hold a range. It must not be sent later than Before.
//
// A renewal bears the fence of the grant before it, so it must reach the same
// life of the server: it may go out on a connection only that was open then.
// Another life behind the same id would take the keys with a fence that it must
// not have. A grant that is not sent for want of such a connection is followed
// by one with a new fence.
type GrantCmd struct {
	grant.Call
	Renewal bool
	Service string
	Holder  grant.Holder
	Before  time.Time
}

// ReleaseCmd asks a server to let go of a range once its running work has ended.
type ReleaseCmd struct {
	grant.Call
	Service string
	Holder  grant.Holder
	Before  time.Time
}

// SaveCmd stores the table if it still is at a revision.
type SaveCmd struct {
	Table    grant.Table
	Revision uint64
}

// ReadCmd reads the stored table afresh.
type ReadCmd struct{}

// PublishCmd tells all daemons of a table.
type PublishCmd struct{ Table grant.Table }

// LimitCmd tells all daemons what part of the requests for some buckets of keys they
// may send on, and for which holders they need permits, in place of all limits before.
type LimitCmd struct {
	Limits    []admit.Limit
	Contended []string // servers
}

// ResignCmd ends this leadership.
type ResignCmd struct{ Reason string }

// NoteCmd is a line for the log: a belief that changed, and why.
type NoteCmd struct {
	Text     string
	Service  string
	From, To int
	Holder   grant.Holder
	Next     grant.Holder
	Fence    uint64
	Reason   string
}

func (GrantCmd) cmd()   {}
func (ReleaseCmd) cmd() {}
func (SaveCmd) cmd()    {}
func (ReadCmd) cmd()    {}
func (PublishCmd) cmd() {}
func (LimitCmd) cmd()   {}
func (ResignCmd) cmd()  {}
func (NoteCmd) cmd()    {}

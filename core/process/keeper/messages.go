package keeper

import (
	"time"

	"catkinstep/core/request/admit"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// Msg is an event that Update handles.
type Msg interface{ msg() }

// TickMsg reports that time has passed. Calls, renewals and moves are decided on ticks.
type TickMsg struct{}

// FleetMsg reports the servers, the services with keys, and the data centres that are out of
// service.
type FleetMsg struct {
	Fleet               *fleet.Fleet
	KeyedServices       []string
	ExcludedDataCentres map[string]bool
	// RebalancingDisabled turns off moves that balance the load.
	RebalancingDisabled bool
	// DaemonCount is the number of daemons that each change of the table is published to.
	DaemonCount int
	// IndirectReleases lets releases go through other daemons if the holder does not answer this one.
	IndirectReleases bool
	// Slowdowns are the slowdowns of servers, by server ID, where daemons have measured them. The
	// first division of a service's keys uses them; LoadMsg has them once it has ranges.
	Slowdowns map[string]float64
}

// LoadMsg reports the load of a service's keys, summed over all daemons, and the speed of
// its servers.
type LoadMsg struct {
	Service string
	// BusySlots is, for each of the Buckets, how many slots of a server of typical speed its
	// requests keep busy.
	BusySlots []float64
	// Slowdowns are the ratios of servers' service times to the typical ones, by server ID;
	// a server without an entry counts as 1.
	Slowdowns map[string]float64
	// ServiceTimeSeconds is the mean time that a request occupies a slot of a server of typical
	// speed.
	ServiceTimeSeconds float64
	// LatencyTarget is the mean latency target of the requests.
	LatencyTarget time.Duration
	// ColdRate is how many requests a second a cold server can handle.
	ColdRate float64
	// RateLimits are how many requests a second servers take, by server ID, if they have named it.
	RateLimits map[string]float64
	// Reports counts the load reports of servers of any service since the last LoadMsg.
	Reports []QueueReport
}

// QueueReport counts the load reports of a server, and those among them that show a long
// queue.
type QueueReport struct {
	Server                        string
	LoadReports, LongQueueReports int
}

// GrantResultMsg is the result of a GrantCmd, whose call ended at EndedAt.
type GrantResultMsg struct {
	Cmd     GrantCmd
	EndedAt time.Time
	Result  grant.Result
	// Conn identifies the connection on which the server answered. Later connections have higher numbers.
	Conn uint64
}

// ReleaseResultMsg is the result of a ReleaseCmd.
type ReleaseResultMsg struct {
	Cmd      ReleaseCmd
	Result   grant.Result
	Handover string
}

// StoredTableMsg is the stored table as a save or a read found it.
type StoredTableMsg struct {
	Table    grant.Table
	Revision uint64
	// RequestedAt is when the save or read began.
	RequestedAt time.Time
}

// StoreFailedMsg reports that a save or a read got no usable answer.
type StoreFailedMsg struct{}

// EpochSeenMsg reports the epoch of the stored table at a time, as learned from a watch or
// from another daemon.
type EpochSeenMsg struct {
	Epoch uint64
	At    time.Time
}

// EarlierLeaderStoppedMsg reports that the leader of an earlier term has ended or stepped down, or can
// no longer call servers, by At, which may be in the future.
type EarlierLeaderStoppedMsg struct {
	Epoch uint64
	At    time.Time
}

// SupportMsg reports that a witness supported this leader's epoch: it replied, without naming a
// newer epoch, to a call that was sent at At.
type SupportMsg struct {
	Witness grant.Witness
	At      time.Time
}

// WitnessesMsg names the witnesses that the leader is to have from now on. It is ignored while an
// earlier change is being stored.
type WitnessesMsg struct{ Witnesses []grant.Witness }

func (TickMsg) msg()                 {}
func (FleetMsg) msg()                {}
func (LoadMsg) msg()                 {}
func (GrantResultMsg) msg()          {}
func (ReleaseResultMsg) msg()        {}
func (StoredTableMsg) msg()          {}
func (StoreFailedMsg) msg()          {}
func (EpochSeenMsg) msg()            {}
func (EarlierLeaderStoppedMsg) msg() {}
func (SupportMsg) msg()              {}
func (WitnessesMsg) msg()            {}

// Cmd is an action for the caller of Update to carry out.
type Cmd interface{ cmd() }

// GrantCmd grants a range to a server. It must be sent before SendBefore.
//
// A renewal reuses the fence of the previous grant, so it must reach the same instance
// of the server: it may only be sent on a connection that was already open for that
// grant. Otherwise a restarted server with the same ID would accept the keys under a
// fence that was meant for the earlier instance. If there is no such connection, the
// renewal is not sent, and a grant with a new fence follows.
type GrantCmd struct {
	grant.Call
	Renewal bool
	// Conn is the connection on which the server confirmed the fence of a renewal. A connection that was
	// opened later may lead to a new instance.
	Conn       uint64
	Service    string
	Holder     grant.Holder
	SendBefore time.Time
}

// ReleaseCmd asks a server to release a range once the requests that it runs there have
// ended. It must be sent before SendBefore.
type ReleaseCmd struct {
	grant.Call
	// Indirect is 0 if this daemon itself is to call the server. Otherwise another daemon is to do so,
	// and Indirect counts these tries of the move from 1; each should go to another daemon.
	Indirect   int
	Service    string
	Holder     grant.Holder
	SendBefore time.Time
}

// SaveCmd stores the table if the stored one still has the given revision.
type SaveCmd struct {
	Table    grant.Table
	Revision uint64
}

// ReadCmd reads the stored table. Until a StoredTableMsg or a StoreFailedMsg follows, the keeper makes no
// other call to the store.
type ReadCmd struct{}

// PublishCmd sends a table to all daemons.
type PublishCmd struct{ Table grant.Table }

// LimitCmd tells all daemons what fraction of the requests for some buckets they may pass
// on, and for which holders they need permits. It replaces all earlier limits.
type LimitCmd struct {
	Limits    []admit.Limit
	Contended []string // server IDs
}

// StepDownCmd ends this leader's term.
type StepDownCmd struct{ Reason string }

// LogCmd writes a log line about a change of state and its reason.
type LogCmd struct {
	Text     string
	Service  string
	From, To int
	Holder   grant.Holder
	Next     grant.Holder
	Fence    uint64
	Reason   string
}

func (GrantCmd) cmd()    {}
func (ReleaseCmd) cmd()  {}
func (SaveCmd) cmd()     {}
func (ReadCmd) cmd()     {}
func (PublishCmd) cmd()  {}
func (LimitCmd) cmd()    {}
func (StepDownCmd) cmd() {}
func (LogCmd) cmd()      {}

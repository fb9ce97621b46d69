package reach

import "time"

// Server is the address of a backend server.
type Server struct {
	Address string
	// Local is set if it is in the daemon's data centre.
	Local bool
}

// Msg is an event that Update handles.
type Msg interface{ msg() }

// ServersMsg reports the servers that are in use.
type ServersMsg struct{ Servers []Server }

// ConnectedMsg reports that a connection to a server was opened at a time.
type ConnectedMsg struct{ At time.Time }

// DialFailedMsg reports that no connection to a server could be opened.
type DialFailedMsg struct{ Address string }

// LostMsg reports that an open connection to a server broke.
type LostMsg struct{ Address string }

// ProbedMsg reports the end of all attempts of a ProbeCmd.
type ProbedMsg struct {
	Failed []string
	// AnyOK is set if one of the attempts succeeded.
	AnyOK bool
}

// TickMsg reports that time has passed. Silent is set if servers do not respond: requests have been
// waiting for a while, and none has got a response.
type TickMsg struct{ Silent bool }

func (ServersMsg) msg()    {}
func (ConnectedMsg) msg()  {}
func (DialFailedMsg) msg() {}
func (LostMsg) msg()       {}
func (ProbedMsg) msg()     {}
func (TickMsg) msg()       {}

// Cmd is an action for the caller of Update to carry out.
type Cmd interface{ cmd() }

// ProbeCmd tries to open a connection to each of some servers, and closes it.
type ProbeCmd struct{ Addresses []string }

// ChangedCmd reports that the host has been cut off, or is no longer.
type ChangedCmd struct {
	CutOff bool
	// Since is the earliest time at which the host may have been cut off.
	Since time.Time
	// Failed is to how many servers none could be opened.
	Failed int
}

func (ProbeCmd) cmd()   {}
func (ChangedCmd) cmd() {}

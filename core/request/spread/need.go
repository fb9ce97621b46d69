package spread

import (
	"time"

	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// Need is what a request asks of a server.
type Need struct {
	// Route names the kind of request.
	Route    string
	Service  config.Service
	Aim      time.Duration
	Priority int
	// Began is when the caller's request came, Deadline when it ends.
	Began    time.Time
	Deadline time.Time
	// Near is the data centre of this daemon.
	Near string
	// Tried are servers that are not to be asked again.
	Tried []string
	// Lost are servers that broke off while they ran the same request. They are asked
	// only where no other can be: one that crashes servers crashes them again.
	Lost []string
}

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	None     Reason = "none"       // no server is in service
	Busy     Reason = "allBusy"    // no server would answer in time
	ColdFull Reason = "coldServer" // what a cold server bears is used up
	Crowded  Reason = "connections"
	TooLate  Reason = "deadlineTooNear"
	Sick     Reason = "serverFailing"
	// Unreached servers did not take the last connection, and the next try of
	// one is still under way or not due yet.
	Unreached Reason = "serverUnreachable"
)

// Choice is a server, or the reason why there is none.
type Choice struct {
	Server     fleet.Server
	Expected   time.Duration
	Reason     Reason
	RetryAfter time.Duration
	// Contended means that the server, or those like it, are thought to be nearly full, and
	// that so many daemons send there that this one may well be wrong.
	Contended bool
	// free means that a slot is thought to be free, and the server not slower than
	// most.
	free bool
}

// Refused tells whether there is no server.
func (c Choice) Refused() bool { return c.Reason != "" }

// Doubtful tells whether a server was refused for a queue that this daemon may well be wrong
// about.
func (c Choice) Doubtful() bool { return c.Reason == Busy && c.Contended }

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Answered     Outcome = iota
	Failed               // an answer of failure, a broken one, or none
	TurnedAway           // none: a new connection was reset
	NotPermitted         // not sent: others fill the server's queue
	Shed                 // the server did not run it
	Unreachable          // its address refuses connections
	Silent               // no connection to it could be made
	CalledOff            // ended by this daemon; says nothing of the server
)

// Report is what an answer tells of the server.
type Report struct {
	Running, Waiting, Slots int
	// Bytes is the size of the answer's body.
	Bytes int
	// Pace is how long work takes at the server now, over the time at one of usual
	// speed; 0 where it does not say.
	Pace float64
}

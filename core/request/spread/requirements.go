package spread

import (
	"time"

	"catkinstep/core/request/class"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// Requirements describes a request and which servers may run it.
type Requirements struct {
	// Route is the name of the request's route.
	Route   string
	Service config.Service
	// LatencyTarget is the latency within which the caller should get its reply; a later reply
	// is of little use to it.
	LatencyTarget time.Duration
	// Priority is lower for more urgent requests.
	Priority int
	// Rank is the rank of the priority among the routes of the service; 0 is the most urgent (see
	// package class).
	Rank int
	// Promoted is set if the request is treated as one of rank 0, so that its rank is not starved (see
	// class.Promoter).
	Promoted bool
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Deferred is set if other requests go first while servers are overloaded, since the request's
	// workspace sends far more than the others.
	Deferred bool
	// ReceivedAt is when the request arrived from its caller, and Deadline is when it times out.
	ReceivedAt time.Time
	Deadline   time.Time
	// AnswerBy is when this daemon ends, and a response would not reach the caller any more; zero if the daemon
	// goes on.
	AnswerBy time.Time
	// LocalDataCentre is the data centre of this daemon.
	LocalDataCentre string
	// Excluded lists the IDs of servers that must not be chosen.
	Excluded []string
	// LastResort lists the IDs of servers that are chosen only if no other can be: those whose
	// connection broke while the same request may have been running there, since a request that
	// crashed a server is likely to crash it again, and those that have just declined it.
	LastResort []string
}

// EffectiveRank is the rank by which the request is treated.
func (r Requirements) EffectiveRank() int {
	if r.Promoted {
		return 0
	}
	return min(r.Rank, class.MaxRank)
}

// EndsTooLate reports whether a request that is sent now probably ends after AnswerBy. One that surely ends at
// its Deadline before that does not.
func (r Requirements) EndsTooLate(now time.Time, expected time.Duration) bool {
	if r.AnswerBy.IsZero() || r.Deadline.Before(r.AnswerBy) {
		return false
	}
	return now.Add(time.Duration(stopSafety * float64(expected))).After(r.AnswerBy)
}

// Reason is the reason why a request is refused; "" means that it is not.
type Reason string

// Reasons for refusals.
const (
	NoServer   Reason = "none"       // no server is available
	AllBusy    Reason = "allBusy"    // the queues are too long for a reply in time
	ColdServer Reason = "coldServer" // the request rate allowed at a cold server is used up
	// ServerLimited means that the server takes no more requests for now, by the limit that it has named.
	ServerLimited Reason = "serverLimited"
	// ServerResting means that the server has asked this host for rest, or all servers have.
	ServerResting   Reason = "serverResting"
	ConnectionLimit Reason = "connections"
	DeadlineTooNear Reason = "deadlineTooNear"
	// DaemonStops means that this daemon ends before a response can be expected.
	DaemonStops   Reason = "daemonStops"
	ServerFailing Reason = "serverFailing"
	// ServerUnreachable means that the last connection attempt failed, and that the next
	// one is not due yet or still in progress.
	ServerUnreachable Reason = "serverUnreachable"
)

// Choice is the chosen server, or the reason for a refusal.
type Choice struct {
	Server          fleet.Server
	ExpectedLatency time.Duration
	Reason          Reason
	RetryAfter      time.Duration
	// Contended means that the server or its group seems nearly full, but that so many
	// daemons send requests there that this daemon's estimate is unreliable.
	Contended bool
	// canServeNow means that the server seems to have a free slot and not to be much slower
	// than a server of typical speed.
	canServeNow bool
}

// Refused reports whether the request must not be sent.
func (c Choice) Refused() bool { return c.Reason != "" }

// RefusalUncertain reports whether the refusal is due to a queue whose length this daemon
// cannot estimate reliably.
func (c Choice) RefusalUncertain() bool { return c.Reason == AllBusy && c.Contended }

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Answered          Outcome = iota
	Failed                    // a server error, an incomplete response, or none
	ConnectionReset           // a new connection was reset before a response
	PermitDenied              // not sent, since requests of other daemons fill the queue
	Declined                  // the server declined to run the request
	Misdirected               // the server declined it, since it does not hold the request's key
	ConnectionRefused         // the address refused the connection
	ConnectFailed             // no connection was made in time
	Cancelled                 // ended by this daemon; says nothing about the server
)

// Report is the state that a server reports with a response.
type Report struct {
	Running, Waiting, Slots int
	// Bytes is the size of the response body.
	Bytes int
	// Slowdown is the server's current service time relative to that of a server of typical
	// speed; 0 if it is not reported.
	Slowdown float64
}

// ShortQueue reports whether fewer requests wait than the server has slots, or not all slots are
// in use. A server that declines a request in this state sheds load for another reason than a
// long queue, and may accept the next request at once.
func (r Report) ShortQueue() bool { return r.Waiting < r.Slots || r.Running < r.Slots }

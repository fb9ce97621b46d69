package grant

import "time"

// Result is the outcome of a Call to a server.
type Result int

// Results of calls.
const (
	// Done means that the server carried out the call.
	Done Result = iota
	// Fenced means that the server has seen a higher fence on one of the keys.
	Fenced
	// Ended proves that the holder's instance has ended, since another one states that it answers
	// at its address. Refused connections prove nothing: a network partition may refuse them
	// while the holder is running and others can reach it.
	Ended
	// NotSent means that the server did not carry the call out: no byte of the call was sent, or
	// it was sent and the server declined it. Package mesh has an error kind of the same name
	// for calls between daemons, which covers only the first case.
	NotSent
	// OutcomeUnknown means that the call may have been carried out, or may still be.
	OutcomeUnknown
)

// ResultOfRefusal returns the result of a call that a server neither carried out nor found fenced.
// statesNotRun means that the response states that it was not carried out, and isMisdirected that its status
// says that another instance is meant. The status alone proves nothing: a faulty server that is alive and holds
// the range may answer so, and its keys would be granted to another one.
func ResultOfRefusal(statesNotRun, isMisdirected bool) Result {
	switch {
	case !statesNotRun:
		return OutcomeUnknown
	case isMisdirected:
		return Ended
	}
	return NotSent
}

// String returns the name of the result as used in logs and metrics.
func (r Result) String() string {
	switch r {
	case Done:
		return "done"
	case Fenced:
		return "fenced"
	case Ended:
		return "ended"
	case NotSent:
		return "notSent"
	default:
		return "unsure"
	}
}

// Origin says who held a range before a grant of it, and what became of that holder's state. From
// this the server can tell what it knows about earlier requests for these keys.
type Origin string

// Origins of grants.
const (
	// Kept means that the server held the range already.
	Kept Origin = "kept"
	// First means that no server held the range before.
	First Origin = "first"
	// Handed means that the last holder released the range. Handover is the state that it
	// returned.
	Handed Origin = "handed"
	// Lost means that the last holder did not release the range, so that what it knew of the keys
	// is lost.
	Lost Origin = "lost"
)

// Call asks a server to hold a range, or to release it once the requests running on it have
// ended.
type Call struct {
	Address  string
	From, To int
	Fence    uint64
	// TTL is how long the grant is valid from the arrival of the call; 0 for releases.
	TTL time.Duration
	// Handover is the state that the last holder returned with its release.
	Handover string
	// Origin is set for grants only.
	Origin Origin
}

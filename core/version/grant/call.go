package grant

import "time"

// Result is how a call to a server ended.
type Result int

// Results of calls.
const (
	// Done means that the server carried it out.
	Done Result = iota
	// Fenced means that the server has seen a higher fence on one of the keys.
	Fenced
	// Ended proves that the life of the holder is over: its address belongs to
	// another. Refused connections prove nothing, since a cut may refuse them
	// while the holder lives and is reached by others.
	Ended
	// NotSent means that no byte of the call left this host.
	NotSent
	// Unsure means that the call may have been, or may yet be, carried out.
	Unsure
)

// String names the result.
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

// Origin is how a server comes to hold a range, which says what it can know of the
// requests that ran on its keys before.
type Origin string

// Origins of grants.
const (
	// Kept means that the server held the range already.
	Kept Origin = "kept"
	// First means that nobody held it before.
	First Origin = "first"
	// Handed means that the last holder let go and handed over what it knew.
	Handed Origin = "handed"
	// Lost means that the last holder did not: what it knew is lost.
	Lost Origin = "lost"
)

// Call asks a server to hold a range, or to let go of it once its running work
// has ended.
type Call struct {
	Address  string
	From, To int
	Fence    uint64
	// Hold is for how long, from the call's arrival; releases have none.
	Hold time.Duration
	// Handover is what the last holder gave out with its release.
	Handover string
	// Origin is set for grants.
	Origin Origin
}

// Package names holds the header names that callers and backend servers speak.
// The decisions are the same whatever the names; who uses others builds
// another Names.
//
// # Usage
//
//	n := names.Default()
//	id := header.Get(n.ID)
package names

// Names are header names in their canonical form.
type Names struct {
	// ID names one try of a caller; servers echo it.
	ID string
	// Deadline is how many milliseconds the caller will wait.
	Deadline string
	// Instance makes any other server refuse the request.
	Instance string
	// Signature marks a server's own answer.
	Signature string
	// NotRun marks a refusal of a request that did not run.
	NotRun string
	// Load holds running, waiting, slots and the present slowness in percent.
	Load string
	// Key is the number of the key that the request is about.
	Key string
	// Handover is given out with a release.
	Handover string
	// FirstSent is how many milliseconds ago a request that must run once was first sent
	// under its id. Empty where servers keep no ids.
	FirstSent string
	// Lost marks the answer to such a request that may have run at a holder which was lost.
	OutcomeLost string
}

// Default are the product's own names.
func Default() Names {
	return Names{
		ID:          "Catkinstep-Request-Id",
		Deadline:    "Catkinstep-Deadline-Millis",
		Instance:    "Catkinstep-Instance",
		Signature:   "Catkinstep-Signature",
		NotRun:      "Catkinstep-Not-Run",
		Load:        "Catkinstep-Load",
		Key:         "Catkinstep-Key-Number",
		Handover:    "Catkinstep-Handover",
		FirstSent:   "Catkinstep-First-Sent-Millis",
		OutcomeLost: "Catkinstep-Outcome-Lost",
	}
}

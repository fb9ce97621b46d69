// Package names holds the names of the headers that are exchanged with callers and backend
// servers. Nothing else depends on them; a deployment with other names builds its own Names.
//
// # Usage
//
//	n := names.Default()
//	id := header.Get(n.ID)
package names

// Names are header names in their canonical form. Daemons set ID, Timeout, Instance, Key and
// FirstSent in requests to servers, and servers set the other headers in their responses. The
// comment of a header says whether callers send or get it too.
type Names struct {
	// ID identifies a request; servers echo it in their responses. Callers may send it, and
	// replies that pass on a response have it too. A deployment may set it in refusals as well.
	ID string
	// Timeout is how many milliseconds the sender of the request will wait for the response. A
	// deployment may let callers send it to daemons under the same name.
	Timeout string
	// Instance is the server instance that a request is meant for; any other one declines it.
	Instance string
	// Signature marks a response that comes from the server itself. It stays in the reply that
	// passes the response on to the caller.
	Signature string
	// NotRun marks the response of a server that declined the request.
	NotRun string
	// Load holds three or four numbers, separated by commas: running requests, waiting requests,
	// slots, and optionally the current service time in percent of the typical one. It is
	// removed before a response is passed on to a caller.
	Load string
	// RateLimit is how many requests a second the server takes from all daemons together. A server
	// in need sends it in its responses for as long as it takes no more. It stays in the reply.
	RateLimit string
	// Leaving is set in all responses of a server that takes no new requests until it ends. It stays in
	// the reply.
	Leaving string
	// Key is the number of the request's key. A deployment may let callers send it to daemons
	// under the same name.
	Key string
	// Handover is the state that a server returns with the release of a range.
	Handover string
	// FirstSent is how many milliseconds ago a request that must run at most once was first
	// sent under its ID. Callers may send it too, if they know of an earlier time than the
	// daemons do. The name is empty where servers do not remember IDs.
	FirstSent string
	// APIKey is how a caller shows which workspace it belongs to. Servers never get it.
	APIKey string
	// Workspace is the name of the caller's workspace. What a caller sends under this name is
	// dropped.
	Workspace string
	// OutcomeLost marks the response to a request that must run at most once, but may have run
	// on an earlier holder of its key that was lost.
	OutcomeLost string
}

// Default returns the default names.
func Default() Names {
	return Names{ //nolint:gosec // names of headers, not credentials
		ID:          "Catkinstep-Request-Id",
		Timeout:     "Catkinstep-Deadline-Millis",
		Instance:    "Catkinstep-Instance",
		Signature:   "Catkinstep-Signature",
		NotRun:      "Catkinstep-Not-Run",
		Load:        "Catkinstep-Load",
		RateLimit:   "Catkinstep-Rate-Limit",
		Leaving:     "Catkinstep-Leaving",
		Key:         "Catkinstep-Key-Number",
		Handover:    "Catkinstep-Handover",
		FirstSent:   "Catkinstep-First-Sent-Millis",
		APIKey:      "Catkinstep-Api-Key",
		Workspace:   "Catkinstep-Workspace",
		OutcomeLost: "Catkinstep-Outcome-Lost",
	}
}

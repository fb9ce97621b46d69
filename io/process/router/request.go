package router

import (
	"slices"
	"time"

	"catkinstep/core/request/proof"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// request is the state of one caller's request while it is served.
type request struct {
	caller.Request
	id       string
	target   string // the request URI that is sent to the server
	route    config.Route
	service  config.Service
	identity identity
	key      int // -1 if the service is not keyed
	deadline time.Time
	// fingerprint identifies the content; it is the same for each attempt, and if the caller sends
	// the request again.
	fingerprint  uint64
	requirements spread.Requirements
	// promotionDrawn is set once it is decided whether the request is promoted.
	promotionDrawn bool
	// carried is set if another daemon, whose host reaches no servers, has sent the request. It is not
	// sent on to a third.
	carried bool
	// sentToPeer is set if this host reaches no servers and sends the request by way of another daemon.
	sentToPeer bool
	// token is what it has of the allowance of its workspace, for the next attempt.
	token allowanceToken
	// waited is set if its first token had ended before it could be sent.
	waited bool
	// admitted is set once the limits for overloaded holders have admitted the request.
	admitted bool
	// rangeOpensBy is the time by which its range very probably opens, if the range is closed.
	rangeOpensBy time.Time
	attempts     attempts
	// attemptStart is when the current attempt began, and permit is its permit if its server is
	// contended.
	attemptStart time.Time
	permit       heldPermit
	// history is what is known of whether the attempts have run.
	history proof.History
	// fallback passes on an error response from a server. The caller gets it if no further attempt
	// yields a response.
	fallback *caller.Reply
}

// attempts is the history of a request's attempts.
type attempts struct {
	// sent is the number of attempts that may have reached a server, and unsent that of attempts which
	// reached none.
	sent, unsent int
	// lostServers were lost while the same content may have been running there.
	lostServers []string
	// declinedBy are the servers that declined the request at a short queue.
	declinedBy []string
	// permitsDenied is the number of servers for which a permit was denied.
	permitsDenied int
}

// count returns the number of attempts made so far.
func (a attempts) count() int { return a.sent + a.unsent }

// priority is the workspace's, or the route's if the workspace has none of its own.
func (req *request) priority() int {
	if w := req.identity.workspace; w.OwnPriority {
		return w.Priority
	}
	return req.route.Priority
}

// excludeFailed excludes a server from further attempts after a failed one. A server that
// declined the request at a short queue may accept the next attempt, but others are more likely
// to: it is chosen again only if no other can be. The holder of the request's key is never
// excluded, since no other server may run the request.
func (req *request) excludeFailed(server fleet.Server, resp *link.Response) {
	switch {
	case req.key >= 0:
	case declinedAtShortQueue(resp):
		req.attempts.declinedBy = append(req.attempts.declinedBy, server.ID)
	default:
		req.requirements.Excluded = append(req.requirements.Excluded, server.ID)
	}
}

// setLastResort determines the servers that are chosen only if no other can be.
func (req *request) setLastResort() {
	req.requirements.LastResort = slices.Concat(req.attempts.lostServers, req.attempts.declinedBy)
}

// tryOtherServer excludes a server for which a permit was denied, and reports whether the
// request may try another one.
func (req *request) tryOtherServer(server fleet.Server) bool {
	if req.key >= 0 || req.attempts.permitsDenied >= maxOtherServers {
		return false
	}
	req.attempts.permitsDenied++
	req.requirements.Excluded = append(req.requirements.Excluded, server.ID)
	return true
}

package caller

import (
	"net/http"
	"time"

	"catkinstep/core/request/proof"
)

const (
	// lowestFinalStatus and highestStatus are the bounds of the statuses that a reply may have.
	lowestFinalStatus = 200
	highestStatus     = 599
)

// Reply is the reply to a caller's request: a backend server's response that is passed on, or a Refusal.
// NewResponse and NewRefusal make one. Neither yields a status that promises that the request has not run
// without proof; a caller would send a request again that may have run, and it could run twice.
type Reply struct {
	status  int
	header  http.Header
	body    []byte
	refusal *Refusal
}

// CanPassOn reports whether a server's response with a status may be passed on. It may not if the status is
// none, or promises that the request has not run: a response with proof of that is not passed on, but leads
// to a refusal or another attempt.
func CanPassOn(status int) bool {
	return status >= lowestFinalStatus && status <= highestStatus && !proof.Promises(status)
}

// NewResponse returns the reply that passes a server's response on, or false if CanPassOn forbids it.
func NewResponse(status int, header http.Header, body []byte) (Reply, bool) {
	if !CanPassOn(status) {
		return Reply{}, false
	}
	return Reply{status: status, header: header, body: body}, true
}

// Formatter makes the header and the body of a refusal.
type Formatter interface {
	RefusalReply(refusal Refusal) (http.Header, []byte)
}

// NewRefusal returns the reply that the daemon itself makes. A status that promises is replaced by 502
// unless the refusal has the proof.
func NewRefusal(f Formatter, refusal Refusal) Reply {
	if proof.Promises(refusal.Status) && !refusal.NotRun.Holds() {
		refusal.Status, refusal.RetryAfter = http.StatusBadGateway, 0
	}
	header, body := f.RefusalReply(refusal)
	return Reply{status: refusal.Status, header: header, body: body, refusal: &refusal}
}

// NewUnread returns the reply to a request that could not be read, and which no handler gets.
func NewUnread(status int) Reply {
	return Reply{status: status, header: http.Header{}, refusal: &Refusal{Status: status, NotRun: proof.History{}.NotRun()}}
}

// Status is the status of the reply.
func (r Reply) Status() int { return r.status }

// Header is the header of the reply.
func (r Reply) Header() http.Header { return r.header }

// Body is the body of the reply.
func (r Reply) Body() []byte { return r.body }

// Refusal is what the reply was made from if the daemon made it; nil for a server's response.
func (r Reply) Refusal() *Refusal { return r.refusal }

// Refusal describes a reply that the daemon itself makes because it has no response from a backend
// server. A Formatter formats it.
type Refusal struct {
	ID     string
	Status int
	// Reason is the code of the refusal in logs and metrics.
	Reason string
	// NotRun is the proof that this try of the request has not run, if there is one.
	NotRun proof.NotRun
	// EarlierTry means that an earlier try with the same ID may have run.
	EarlierTry bool
	// RetryAfter is the time after which a retry may succeed; zero if a retry is not useful.
	RetryAfter time.Duration
}

// MaybeRan reports whether the request may have run, at this try or an earlier one.
func (f Refusal) MaybeRan() bool { return !f.NotRun.Holds() || f.EarlierTry }

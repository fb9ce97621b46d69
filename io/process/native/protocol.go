package native

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/config"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// Paths of the calls that backend servers of the product's own kind take.
const (
	GrantPath   = "/catkinstep/grant"
	ReleasePath = "/catkinstep/release"
)

// Headers between callers and daemons, beside those of names.Default.
const (
	HeaderKey     = "Catkinstep-Key"
	HeaderTimeout = "Catkinstep-Timeout"
	HeaderOutcome = "Catkinstep-Outcome"
	HeaderServer  = "Catkinstep-Server"
	headerIdem    = "Idempotency-Key"
)

// Outcomes that callers get.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "notRun"
	OutcomeUnknown  = "unknown"
)

// Keys is the body of a grant or a release; both ends of the range are
// inclusive.
type Keys struct {
	From       int    `json:"from"`
	To         int    `json:"to"`
	Fence      uint64 `json:"fence"`
	HoldMillis int64  `json:"holdMillis,omitempty"`
	Handover   string `json:"handover,omitempty"`
	// Origin says, with a grant, what the server can know of the keys.
	Origin grant.Origin `json:"origin,omitempty"`
}

// Failure is the JSON body of every answer that is not a server's.
type Failure struct {
	// Code is stable; docs/ERRORS.md lists them.
	Code string `json:"code"`
	// Ran is notRun or unknown.
	Ran       string `json:"ran"`
	RequestID string `json:"requestId"`
	// RetryAfter is when to come back, as a Go duration; empty when coming back
	// does not help.
	RetryAfter string `json:"retryAfter,omitempty"`
}

// Protocol implements router.Protocol.
type Protocol struct{}

// Names returns the header names.
func (Protocol) Names() names.Names { return names.Default() }

// Grant builds the call that makes a server hold a range.
func (Protocol) Grant(c grant.Call) link.Request {
	return post(GrantPath, c.Address, Keys{From: c.From, To: c.To, Fence: c.Fence, HoldMillis: c.TTL.Milliseconds(), Handover: c.Handover, Origin: c.Origin})
}

// Release builds the call that makes a server let go of a range.
func (Protocol) Release(c grant.Call) link.Request {
	return post(ReleasePath, c.Address, Keys{From: c.From, To: c.To, Fence: c.Fence})
}

// Result sorts the answer to either call.
func (Protocol) Result(a *link.Response) (r grant.Result, handover string) {
	switch {
	case a.Status == http.StatusOK:
		return grant.Done, a.Header.Get(names.Default().Handover)
	case a.Status == http.StatusConflict:
		return grant.Fenced, ""
	case a.Status == http.StatusMisdirectedRequest:
		return grant.Ended, ""
	case a.NotRun:
		return grant.NotSent, ""
	}
	return grant.OutcomeUnknown, ""
}

func post(path, address string, k Keys) link.Request {
	body, _ := json.Marshal(k) // numbers and a string always marshal
	return link.Request{Method: http.MethodPost, Target: path, Host: address, Body: body, ControlCall: true,
		Header: http.Header{"Content-Type": {"application/json"}}}
}

// ID takes the caller's id, or makes one. A booking that is sent again under its id is
// the same booking where a service is divided by key: the key's holder knows the ids.
func (Protocol) ID(h http.Header) string {
	for _, name := range []string{headerIdem, names.Default().ID} {
		if id := h.Get(name); id != "" {
			return id
		}
	}
	return rand.Text()
}

// Patience is how long the caller waits, if it says.
func (Protocol) CallerTimeout(h http.Header) (time.Duration, bool) {
	d, err := time.ParseDuration(h.Get(HeaderTimeout))
	return d, err == nil && d > 0
}

// Key is the number of the key that a request is about.
func (p Protocol) Key(s config.Service, path string, h http.Header) (int, bool) {
	text := h.Get(HeaderKey)
	switch {
	case s.KeyByID:
		text = p.ID(h)
	case s.KeySegment > 0:
		text = segment(path, s.KeySegment)
	}
	return grant.HashKey(text), text != ""
}

// segment returns the nth segment of a path, or nothing.
func segment(path string, n int) string {
	path, _, _ = strings.Cut(path, "?")
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if n > len(parts) {
		return ""
	}
	return parts[n-1]
}

// Answered adds what callers get beside a server's own answer.
func (Protocol) AddResponseHeaders(h http.Header, id, server string) {
	h.Set(names.Default().ID, id)
	h.Set(HeaderOutcome, OutcomeAnswered)
	h.Set(HeaderServer, server)
}

// Refused forms an answer that is not a server's.
func (Protocol) RefusalResponse(f caller.Refusal) (http.Header, []byte) {
	out := Failure{Code: f.Reason, Ran: OutcomeNotRun, RequestID: f.ID}
	if f.MaybeRan {
		out.Ran = OutcomeUnknown
	}
	h := http.Header{"Content-Type": {"application/json"}}
	if f.RetryAfter > 0 {
		out.RetryAfter = f.RetryAfter.Round(time.Millisecond).String()
		h.Set("Retry-After", strconv.Itoa(max(1, int((f.RetryAfter+time.Second-1)/time.Second))))
	}
	h.Set(names.Default().ID, f.ID)
	h.Set(HeaderOutcome, out.Ran)
	body, _ := json.Marshal(out) // strings always marshal
	return h, body
}

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
	"catkinstep/io/connection/chunk"
	"catkinstep/io/connection/link"
)

// Paths at which backend servers accept calls of daemons.
const (
	GrantPath   = "/catkinstep/grant"
	ReleasePath = "/catkinstep/release"
)

// Headers between callers and daemons. Callers may also send the ID and FirstSent headers of
// names.Default, and every reply to a caller has the ID header.
const (
	HeaderKey            = "Catkinstep-Key"
	HeaderTimeout        = "Catkinstep-Timeout"
	HeaderOutcome        = "Catkinstep-Outcome"
	HeaderServer         = "Catkinstep-Server"
	headerIdempotencyKey = "Idempotency-Key"
)

// Outcomes of a request, as reported to the caller.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "notRun"
	OutcomeUnknown  = "unknown"
)

// KeyRangeRequest is the JSON body of a grant or a release. Both ends of the range are
// inclusive.
type KeyRangeRequest struct {
	From       int    `json:"from"`
	To         int    `json:"to"`
	Fence      uint64 `json:"fence"`
	HoldMillis int64  `json:"holdMillis,omitempty"`
	Handover   string `json:"handover,omitempty"`
	// Origin is set for grants only. It determines what the server can know about earlier
	// requests for the keys.
	Origin grant.Origin `json:"origin,omitempty"`
}

// ErrorBody is the JSON body of every reply that comes from the daemon itself and not from
// a backend server.
type ErrorBody struct {
	// Code identifies the error. Codes are stable; docs/ERRORS.md lists them.
	Code string `json:"code"`
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome   string `json:"ran"`
	RequestID string `json:"requestId"`
	// RetryAfter is how long to wait before a retry, as a Go duration; empty if a retry
	// does not help.
	RetryAfter string `json:"retryAfter,omitempty"`
}

// Protocol implements router.Protocol.
type Protocol struct{}

// Names returns the names of the headers between daemons and backend servers. Some of them, such
// as the request ID, are exchanged with callers as well.
func (Protocol) Names() names.Names { return names.Default() }

// Grant returns the request that grants a range of keys to a server.
func (Protocol) Grant(c grant.Call) link.Request {
	return newPost(GrantPath, c.Address, KeyRangeRequest{From: c.From, To: c.To, Fence: c.Fence, HoldMillis: c.TTL.Milliseconds(), Handover: c.Handover, Origin: c.Origin})
}

// Release returns the request that asks a server to release a range of keys.
func (Protocol) Release(c grant.Call) link.Request {
	return newPost(ReleasePath, c.Address, KeyRangeRequest{From: c.From, To: c.To, Fence: c.Fence})
}

// Result interprets the response to a grant or a release. The response to a release also
// contains the handover.
func (Protocol) Result(resp *link.Response) (result grant.Result, handover string) {
	switch resp.Status {
	case http.StatusOK:
		return grant.Done, resp.Header.Get(names.Default().Handover)
	case http.StatusConflict:
		return grant.Fenced, ""
	}
	return grant.ResultOfRefusal(resp.Declined, resp.Status == http.StatusMisdirectedRequest), ""
}

func newPost(path, address string, k KeyRangeRequest) link.Request {
	body, _ := json.Marshal(k) // numbers and strings always marshal
	return link.Request{Method: http.MethodPost, Target: path, Host: address, Body: chunk.Of(body), ControlCall: true,
		Header: http.Header{"Content-Type": {"application/json"}}}
}

// ID returns the ID that the caller sent, or a random one. In a keyed service a retry with
// the same ID runs once, since the holder of the key knows the IDs of earlier requests.
func (Protocol) ID(h http.Header) string {
	for _, name := range []string{headerIdempotencyKey, names.Default().ID} {
		if id := h.Get(name); id != "" {
			return id
		}
	}
	return rand.Text()
}

// CallerTimeout returns how long the caller waits for the reply, if the request says so.
func (Protocol) CallerTimeout(h http.Header) (time.Duration, bool) {
	d, err := time.ParseDuration(h.Get(HeaderTimeout))
	return d, err == nil && d > 0
}

// Key returns the hash of the key that a request refers to, and whether there is a key.
func (p Protocol) Key(s config.Service, path string, h http.Header) (int, bool) {
	key := h.Get(HeaderKey)
	switch {
	case s.KeyByID:
		key = p.ID(h)
	case s.KeySegment > 0:
		key = pathSegment(path, s.KeySegment)
	}
	return grant.HashKey(key), key != ""
}

// pathSegment returns the nth segment of a path, counted from 1, or "" if there is none.
func pathSegment(path string, n int) string {
	path, _, _ = strings.Cut(path, "?")
	segments := strings.Split(strings.Trim(path, "/"), "/")
	if n > len(segments) {
		return ""
	}
	return segments[n-1]
}

// AddReplyHeaders adds the daemon's headers to a reply that passes on a backend server's response.
func (Protocol) AddReplyHeaders(h http.Header, id, server string) {
	h.Set(names.Default().ID, id)
	h.Set(HeaderOutcome, OutcomeAnswered)
	h.Set(HeaderServer, server)
}

// RefusalReply builds the reply to a request that no backend server answered.
func (Protocol) RefusalReply(refusal caller.Refusal) (http.Header, []byte) {
	errBody := ErrorBody{Code: refusal.Reason, Outcome: OutcomeNotRun, RequestID: refusal.ID}
	if refusal.MaybeRan() {
		errBody.Outcome = OutcomeUnknown
	}
	h := http.Header{"Content-Type": {"application/json"}}
	if refusal.RetryAfter > 0 {
		errBody.RetryAfter = refusal.RetryAfter.Round(time.Millisecond).String()
		h.Set("Retry-After", strconv.Itoa(max(1, int((refusal.RetryAfter+time.Second-1)/time.Second))))
	}
	h.Set(names.Default().ID, refusal.ID)
	h.Set(HeaderOutcome, errBody.Outcome)
	body, _ := json.Marshal(errBody) // strings always marshal
	return h, body
}

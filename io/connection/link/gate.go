package link

import (
	"net/http"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/core/request/notice"
)

// Gate decides whether requests may be sent to a server, and learns what the server announces.
type Gate interface {
	// Check returns an error if a request must not be sent. It is called before a connection is opened
	// for it, and again just before its first byte is written: it may have waited, and the server may
	// have announced something meanwhile.
	Check(req Request) error
	// Announced is called once the header of a response has been read that announces something, of the
	// request with the given ID or of an earlier one on the same connection.
	Announced(req Request, connOpenedAt time.Time, n notice.Notice)
}

// WithGate sets the gate of a Client, through which all its requests go.
func WithGate(g Gate) Option { return func(cl *Client) { cl.gate = g } }

// openGate lets all requests pass.
type openGate struct{}

func (openGate) Check(Request) error                         { return nil }
func (openGate) Announced(Request, time.Time, notice.Notice) {}

// checkGate returns an error of kind Withheld if a request must not be sent.
func (cl *Client) checkGate(req Request) error {
	if err := cl.gate.Check(req); err != nil {
		return &Error{Op: "check", Kind: Withheld, Err: err}
	}
	return nil
}

// noticeOf returns what a response announces.
func noticeOf(resp *http.Response, n names.Names) notice.Notice {
	fields := notice.Fields{RetryAfter: resp.Header.Values("Retry-After"), Date: resp.Header.Get("Date")}
	if n.Leaving != "" {
		fields.Leaving = resp.Header.Values(n.Leaving)
	}
	return notice.Parse(resp.StatusCode, fields, time.Now())
}

package link

import (
	"net/http"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/core/request/notice"
)

// Observer follows the requests and the responses of a server.
type Observer interface {
	// Sending is called just before the first byte of a request is written.
	Sending(req Request, connOpenedAt time.Time)
	// Announced is called once the header of a response has been read that announces something, of the
	// request with the given ID or of an earlier one on the same connection.
	Announced(req Request, connOpenedAt time.Time, n notice.Notice)
}

// WithObserver sets the observer of a Client.
func WithObserver(o Observer) Option { return func(cl *Client) { cl.observer = o } }

type noObserver struct{}

func (noObserver) Sending(Request, time.Time)                  {}
func (noObserver) Announced(Request, time.Time, notice.Notice) {}

// noticeOf returns what a response announces.
func noticeOf(resp *http.Response, n names.Names) notice.Notice {
	fields := notice.Fields{RetryAfter: resp.Header.Values("Retry-After"), Date: resp.Header.Get("Date")}
	if n.Leaving != "" {
		fields.Leaving = resp.Header.Values(n.Leaving)
	}
	return notice.Parse(resp.StatusCode, fields, time.Now())
}

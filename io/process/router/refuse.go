package router

import (
	"net/http"
	"time"

	"catkinstep/core/request/spread"
	"catkinstep/io/connection/caller"
)

// giveUp tells the caller at once. 503 says that the request did not run, and
// when to come back; 502 and 504 say nothing of that.
func (r *Router) giveUp(o *order, c spread.Choice, reason string, after time.Duration) caller.Reply {
	if o.held != nil {
		return r.answer(o, o.held)
	}
	if !o.maybeRan {
		return r.refuseOrder(o, reason, after, r.grounds(o, c)...)
	}
	status := http.StatusBadGateway
	if !time.Now().Before(o.deadline) {
		status = http.StatusGatewayTimeout
	}
	r.log.Info("request: given up, may have run", append([]any{"id", o.id, "route", o.route.Name, "reason", reason, "status", status}, r.grounds(o, c)...)...)
	return *r.plain(o.id, status, reason)
}

// grounds are what a decision about a request was made by, with its versions.
func (r *Router) grounds(o *order, c spread.Choice) []any {
	s := r.current.Load()
	return []any{"service", o.service.Name, "key", o.key, "server", c.Server.ID, "expected", c.ExpectedTime.String(), "aim", o.route.LatencyTarget.String(),
		"left", time.Until(o.deadline).String(), "attempts", o.attempts(), "config", s.config.Version, "epoch", s.table.Epoch, "seq", s.table.Seq}
}

// refuseOrder refuses a request that was understood. That this try did not run says nothing
// of an earlier one under the same id: its caller would book anew, under another.
func (r *Router) refuseOrder(o *order, reason string, after time.Duration, grounds ...any) caller.Reply {
	f := caller.Refusal{ID: o.id, Status: http.StatusServiceUnavailable, Reason: reason, After: after, MaybeRan: r.wasSent(o)}
	if f.MaybeRan {
		grounds = append(grounds, "earlierTry", "mayHaveRun")
	}
	return r.refuse(f, o.route.Name, grounds...)
}

// refuse tells a caller that a try did not run, and when to come back.
func (r *Router) refuse(f caller.Refusal, route string, grounds ...any) caller.Reply {
	f.After = max(f.After, minRetry)
	r.meters.add("refused." + f.Reason)
	r.log.Info("request: refused, not run", append([]any{"id", f.ID, "route", route, "reason", f.Reason, "retryAfter", f.After.String()}, grounds...)...)
	return r.refusal(f)
}

// minRetry keeps callers from coming back within the time that an answer takes.
const minRetry = 50 * time.Millisecond

// plain is a final answer that asks nobody to come back. One of 500 and above
// says that the request may have run.
func (r *Router) plain(id string, status int, reason string) *caller.Reply {
	reply := r.refusal(caller.Refusal{ID: id, Status: status, Reason: reason, MaybeRan: status >= http.StatusInternalServerError})
	return &reply
}

func (r *Router) refusal(f caller.Refusal) caller.Reply {
	h, body := r.protocol.RefusalResponse(f)
	return caller.Reply{Status: f.Status, Header: h, Body: body}
}

package router

import (
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/request/proof"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/link"
)

// observeResponse counts a server's response by its status and by what shows where it comes from. It logs
// a response whose status promises that the request has not run, and which does not state that: the
// request may have run. No line names the request otherwise if its caller gets the response in time.
func (r *Router) observeResponse(req *request, server fleet.Server, resp *link.Response) {
	if resp == nil || resp.Status < http.StatusBadRequest {
		return
	}
	isSigned := r.isSigned(resp)
	r.metrics.increment("responses." + statusLabel(resp.Status) + "." + originLabel(isSigned, resp.Declined))
	if resp.Declined || !proof.Promises(resp.Status) {
		return
	}
	r.log.Info("request: server promises without proof", "id", req.id, "route", req.route.Name, "key", req.key, "attempt", req.attempts.count()+1, "server", server.ID,
		"status", resp.Status, "signed", isSigned, "hasID", resp.Header.Get(r.protocol.Names().ID) != "", "took", time.Since(req.attemptStart).String(), "carried", req.carried)
}

// observeCall counts the response to a control call unless it is a success. It logs one that another
// instance seems to have sent, and which does not state that the call was not carried out.
func (r *Router) observeCall(h grant.Holder, req link.Request, resp *link.Response) {
	if resp.Status < http.StatusBadRequest {
		return
	}
	r.metrics.increment("calls." + statusLabel(resp.Status) + "." + originLabel(r.isSigned(resp), resp.Declined))
	if resp.Status == http.StatusMisdirectedRequest && !resp.Declined {
		r.log.Info("keys: server is another one without proof", "target", req.Target, "server", h.Server, "born", h.StartMillis, "host", req.Host, "status", resp.Status)
	}
}

// originLabel returns what shows that a response comes from the server, for the names of counters.
func originLabel(isSigned, declined bool) string {
	switch {
	case declined:
		return "notRun"
	case isSigned:
		return "signed"
	}
	return "unsigned"
}

// statusLabel returns a status for the names of counters. Those without a meaning share one, so that a
// faulty server cannot add counters without end.
func statusLabel(status int) string {
	if http.StatusText(status) == "" {
		return "other"
	}
	return strconv.Itoa(status)
}

// isSigned reports whether a response has the signature of a server.
func (r *Router) isSigned(resp *link.Response) bool {
	return resp.Header.Get(r.protocol.Names().Signature) != ""
}

package router

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"catkinstep/core/process/burn"
	"catkinstep/core/process/keeper"
	"catkinstep/core/request/proof"
	"catkinstep/core/request/retry"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// Reasons for replies that do not pass on a server's response. Package spread defines
// further ones, as do the files of this package that use them. Logs and metrics use these
// names.
const (
	reasonNoConfig           = "noConfiguration"
	reasonCrashSuspect       = "crashesServers"
	reasonDeclined           = "serverNotHoldingOrFull"
	reasonAttemptFailed      = "attemptFailed"
	reasonNoRoute            = "noRoute"
	reasonNoKey              = "missingKey"
	reasonCallerDisconnected = "callerLeft"
	reasonOutcomeLost        = "outcomeLost"
	// reasonUnproved means that a server's status promised that the request had not run, and that nothing
	// proves it.
	reasonUnproved = "refusedWithoutProof"
)

// serve handles one request, and records the status of the reply and the latency.
func (r *Router) serve(ctx context.Context, callerReq caller.Request) caller.Reply {
	reply := r.handle(ctx, callerReq)
	r.metrics.observeRequest(reply.Status(), time.Since(callerReq.ReadAt))
	if proof.Promises(reply.Status()) {
		r.metrics.increment("promises." + strconv.Itoa(reply.Status()) + "." + sourceLabel(reply))
	}
	return reply
}

// sourceLabel returns who made a reply, for the names of counters.
func sourceLabel(reply caller.Reply) string {
	if reply.Refusal() == nil {
		return "server"
	}
	return "host"
}

// recordServiceLevel counts the outcome of a request for its service level objective.
func (r *Router) recordServiceLevel(req *request, reply caller.Reply) {
	outcome := serviceOutcome(req, reply)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burnMeter.Count(r.now(), req.service.Name, outcome)
	r.recordPriorityOutcome(req, outcome)
}

func serviceOutcome(req *request, reply caller.Reply) burn.Outcome {
	switch elapsed := time.Since(req.ReadAt); {
	case reply.Status() == http.StatusServiceUnavailable:
		return burn.Refused
	case reply.Status() >= http.StatusInternalServerError:
		return burn.Unknown
	case elapsed > req.route.LatencyTarget:
		return burn.Slow
	}
	return burn.Good
}

func (r *Router) handle(ctx context.Context, callerReq caller.Request) caller.Reply {
	r.awaitBoot(ctx, callerReq)
	snap := r.current.Load()
	id := r.protocol.ID(callerReq.Header)
	if !snap.configured {
		return r.refuse(caller.Refusal{ID: id, Status: http.StatusServiceUnavailable, Reason: reasonNoConfig, NotRun: proof.History{}.NotRun(), RetryAfter: notReadyRetryDelay}, "")
	}
	req, rejection := r.resolve(snap, callerReq, id, nil)
	if rejection != nil {
		return *rejection
	}
	req.fingerprint = fingerprintOf(req)
	reply := r.dispatch(ctx, req)
	if reply.Status() != http.StatusTooManyRequests { // nobody is owed more than the allowance
		r.recordServiceLevel(req, reply)
	}
	return reply
}

// dispatch serves a resolved request, unless its content is suspected of crashing servers or its
// workspace is beyond its allowance.
func (r *Router) dispatch(ctx context.Context, req *request) caller.Reply {
	if r.checkCrashSuspect(req) {
		return r.refuseRequest(req, reasonCrashSuspect, crashRetention/4)
	}
	if refusal, certain := r.certainRefusal(req); certain && !r.cutOff.Load() {
		r.recordUnserved(req)
		return r.giveUp(req, refusal, string(refusal.Reason), refusal.RetryAfter)
	}
	if refusal := r.admitToAllowance(ctx, req); refusal != nil {
		return *refusal
	}
	r.recordDemand(req)
	r.recordArrival(req)
	defer r.returnToken(req)
	return r.sendWithRetries(ctx, req)
}

// resolve determines the route, service, key and deadline of a request. If the request
// has no route or lacks its key, it returns the reply instead. from is set if another daemon has
// sent the request.
func (r *Router) resolve(snap *snapshot, callerReq caller.Request, id string, from *carriedFrom) (*request, *caller.Reply) {
	route, ok := snap.config.Match(callerReq.Host, callerReq.URL.EscapedPath(), callerReq.Method)
	if !ok {
		return nil, r.replyNoRoute(snap, callerReq.Request, id)
	}
	req := &request{Request: callerReq, id: id, route: route, key: -1, target: strings.TrimPrefix(callerReq.RequestURI, route.StripPrefix)}
	if rejection := r.identify(snap, req, from); rejection != nil {
		return nil, rejection
	}
	r.setDestination(snap, req, from)
	if req.service.Keyed {
		if req.key, ok = r.protocol.Key(req.service, req.target, callerReq.Header); !ok || req.key < 0 || req.key > grant.LastKey {
			r.log.Info("request: no key", "id", id, "route", route.Name, "path", req.target)
			return nil, r.finalReply(id, http.StatusBadRequest, reasonNoKey, proof.History{}.NotRun())
		}
	}
	req.requirements = spread.Requirements{Route: route.Name, Service: req.service, LatencyTarget: route.LatencyTarget, BodyBytes: callerReq.Body.Len(),
		ReceivedAt: callerReq.ReadAt, Deadline: req.deadline, LocalDataCentre: r.settings.DataCentre}
	r.countPriority(snap, req)
	r.setPriority(snap, req)
	return req, nil
}

// replyNoRoute returns the reply to a request that has no route.
func (r *Router) replyNoRoute(snap *snapshot, req *http.Request, id string) *caller.Reply {
	r.log.Info("request: no route", "id", id, "host", req.Host, "path", loggedPath(req.URL.Path), "version", snap.config.Version)
	return r.finalReply(id, http.StatusNotFound, reasonNoRoute, proof.History{}.NotRun())
}

// setDestination determines the service and the deadline of a request: those that another daemon has
// determined, unless this one's configuration does not allow that service.
func (r *Router) setDestination(snap *snapshot, req *request, from *carriedFrom) {
	if from != nil {
		req.deadline = from.deadline
		if slices.ContainsFunc(req.route.Destinations, func(d config.Destination) bool { return d.Service == from.service }) {
			req.service, _ = snap.config.Service(from.service)
			return
		}
	}
	req.service, _ = snap.config.Service(req.route.PickService(r.randomFloat()))
	if from != nil {
		return
	}
	req.deadline = req.ReadAt.Add(req.route.Timeout)
	if callerTimeout, ok := r.protocol.CallerTimeout(req.Header); ok && callerTimeout < req.route.Timeout {
		req.deadline = req.ReadAt.Add(callerTimeout)
	}
}

// callerReply converts a server's response into the reply to the caller. It returns false if the response
// must not be passed on.
func (r *Router) callerReply(req *request, resp *link.Response) (caller.Reply, bool) {
	header := resp.Header
	header.Del(r.protocol.Names().Load)
	r.protocol.AddReplyHeaders(header, req.id, resp.Server)
	return caller.NewResponse(resp.Status, header, resp.Body)
}

// forwardedHeader prepares the request's header for the server: it sets the request ID and
// the key, and removes hop-by-hop fields.
func (r *Router) forwardedHeader(req *request) http.Header {
	header, names := req.Header, r.protocol.Names()
	if header.Get(names.ID) != req.id {
		header.Set(names.ID, req.id)
	}
	if req.key >= 0 && header.Get(names.Key) == "" {
		header.Set(names.Key, strconv.Itoa(req.key))
	}
	if name := req.identity.workspace.Name; name != "" {
		header.Set(names.Workspace, name)
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect", "Content-Length", "Transfer-Encoding"} {
		if header.Get(name) == "" {
			continue
		}
		header.Del(name)
	}
	return header
}

// recordUnserved counts a request that is refused since no server can get it. Whether one of a workspace
// with an allowance is within it is not known, and it is not counted.
func (r *Router) recordUnserved(req *request) {
	if req.identity.workspace.Allowance.Limited() {
		return
	}
	r.recordDemand(req)
	r.recordArrival(req)
}

// recordArrival counts a request for its key's bucket and for the ranks of its service, and deposits
// its share into the service's retry budget.
func (r *Router) recordArrival(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.key >= 0 {
		k := bucketKey{service: req.service.Name, bucket: uint32(keeper.Bucket(req.key))}
		r.bucketLoads[k] = r.bucketLoads[k].with(1, r.balancer.TypicalServiceTime(req.requirements), req.route.LatencyTarget)
		r.admission.Arrive(time.Now(), r.admitRequest(req))
	}
	r.budgetOf(req.service.Name).Deposit()
}

// budgetOf returns the retry budget of a service. r.mu must be held.
func (r *Router) budgetOf(service string) *retry.Budget {
	budget := r.budgets[service]
	if budget == nil {
		budget = retry.NewBudget(r.retryShare()*retryUtilisation, int(r.retryBurst()))
		r.budgets[service] = budget
	}
	return budget
}

func (r *Router) randomFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// setCold records how long a server stays cold, as its entry reports, and whether it has just come
// into use, so that this daemon's share of its first requests is untouched.
func (r *Router) setCold(server fleet.Server, cameIntoUse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.SetCold(time.Now(), server)
	if cameIntoUse {
		r.balancer.FillColdBucket(server)
	}
}

// assumeCold treats all servers of a data centre as cold until they report otherwise.
func (r *Router) assumeCold(dataCentre string) {
	snap := r.current.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range snap.fleet.All() {
		service, _ := snap.config.Service(server.Service)
		if server.DataCentre == dataCentre {
			r.balancer.AssumeCold(server, time.Now().Add(service.ColdPeriod))
		}
	}
}

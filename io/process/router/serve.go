package router

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"catkinstep/core/process/burn"
	"catkinstep/core/process/keeper"
	"catkinstep/core/request/retry"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

// Reasons of refusals beside those of package spread, as logs and counters name
// them.
const (
	reasonNoConfig = "noConfiguration"
	reasonCrashes  = "crashesServers"
	reasonNotHeld  = "serverNotHoldingOrFull"
	reasonFailed   = "attemptFailed"
	reasonNoRoute  = "noRoute"
	reasonNoKey    = "missingKey"
	reasonLeft     = "callerLeft"
	reasonLost     = "outcomeLost"
)

// order is one caller's request on its way.
type order struct {
	caller.Request
	id       string
	target   string // the path that goes to the server
	route    config.Route
	service  config.Service
	key      int // -1 where the service has no keys
	deadline time.Time
	need     spread.Requirements
	print    uint64    // the same for each try of the same content
	arrived  int       // attempts that may have reached a server
	unsent   int       // attempts that reached none
	began    time.Time // of the present attempt
	admitted bool      // whether it may go to an overloaded holder
	opensBy  time.Time // when its range has surely opened, if that is closed
	maybeRan bool
	permit   permitted // for the present attempt, if its server is contended
	// turnedDown is how many servers gave no permit.
	turnedDown int
	// held is a server's own failure, given to the caller if nothing better comes.
	held *link.Answer
}

// serve answers one request and counts how it ended.
func (r *Router) serve(ctx context.Context, q caller.Request) caller.Reply {
	reply := r.handle(ctx, q)
	r.meters.observe(reply.Status, time.Since(q.Read))
	return reply
}

// weighEnd counts how a request ended against its service level.
func (r *Router) weighEnd(o *order, reply caller.Reply) {
	kind := burn.Good
	switch took := time.Since(o.Read); {
	case reply.Status == http.StatusServiceUnavailable:
		kind = burn.Refused
	case reply.Status >= http.StatusInternalServerError:
		kind = burn.Unknown
	case took > o.route.LatencyTarget:
		kind = burn.Slow
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burn.Count(r.now(), o.service.Name, kind)
}

func (r *Router) handle(ctx context.Context, q caller.Request) caller.Reply {
	r.awaitBoot(ctx, q)
	s := r.current.Load()
	id := r.protocol.ID(q.Header)
	if !s.configured {
		return r.refuse(caller.Refusal{ID: id, Status: http.StatusServiceUnavailable, Reason: reasonNoConfig, After: notReadyRetryDelay}, "")
	}
	o, bad := r.understand(s, q, id)
	if bad != nil {
		return *bad
	}
	o.print = fingerprint(o)
	reply := r.run(ctx, o)
	r.weighEnd(o, reply)
	return reply
}

// run serves a request that was understood.
func (r *Router) run(ctx context.Context, o *order) caller.Reply {
	if r.crashes(o) {
		return r.refuseOrder(o, reasonCrashes, crashKeep/4)
	}
	r.count(o)
	return r.attempt(ctx, o)
}

// understand finds what a request is about and how long it may take.
func (r *Router) understand(s *snap, q caller.Request, id string) (*order, *caller.Reply) {
	route, ok := s.config.Match(q.Host, q.URL.EscapedPath(), q.Method)
	if !ok {
		r.log.Info("request: no route", "id", id, "host", q.Host, "path", q.URL.Path, "version", s.config.Version)
		return nil, r.plain(id, http.StatusNotFound, reasonNoRoute)
	}
	o := &order{Request: q, id: id, route: route, key: -1, target: strings.TrimPrefix(q.RequestURI, route.StripPrefix)}
	o.service, _ = s.config.Service(route.PickService(r.draw()))
	o.deadline = q.Read.Add(route.Timeout)
	if patience, ok := r.protocol.CallerTimeout(q.Header); ok && patience < route.Timeout {
		o.deadline = q.Read.Add(patience)
	}
	if o.service.Keyed {
		if o.key, ok = r.protocol.Key(o.service, o.target, q.Header); !ok || o.key < 0 || o.key > grant.LastKey {
			r.log.Info("request: no key", "id", id, "route", route.Name, "path", o.target)
			return nil, r.plain(id, http.StatusBadRequest, reasonNoKey)
		}
	}
	o.need = spread.Requirements{Route: route.Name, Service: o.service, Aim: route.LatencyTarget, Priority: route.Priority,
		ReceivedAt: q.Read, Deadline: o.deadline, LocalDataCentre: r.settings.DataCentre}
	return o, nil
}

// attempts is how many there were.
func (o *order) attempts() int { return o.arrived + o.unsent }

// answer is a server's answer as the caller gets it.
func (r *Router) answer(o *order, a *link.Answer) caller.Reply {
	h := a.Header
	h.Del(r.protocol.Names().Load)
	r.protocol.AddResponseHeaders(h, o.id, a.Server)
	return caller.Reply{Status: a.Status, Header: h, Body: a.Body}
}

// forwarded are the headers that go on to the server.
func (r *Router) forwarded(o *order) http.Header {
	h, n := o.Header, r.protocol.Names()
	if h.Get(n.ID) != o.id {
		h.Set(n.ID, o.id)
	}
	if o.key >= 0 && h.Get(n.Key) == "" {
		h.Set(n.Key, strconv.Itoa(o.key))
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect", "Content-Length", "Transfer-Encoding"} {
		if h.Get(name) == "" {
			continue
		}
		h.Del(name)
	}
	return h
}

// count earns the share of retries of a request, and notes its key.
func (r *Router) count(o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.key >= 0 {
		k := bucketKey{service: o.service.Name, bucket: uint32(keeper.Bucket(o.key))}
		r.bucketLoads[k] = r.bucketLoads[k].with(1, r.spread.TypicalTime(o.need), o.route.LatencyTarget)
	}
	b := r.budgets[o.service.Name]
	if b == nil {
		b = retry.NewBudget(r.retryShare()*retryUtilisation, int(r.retryBurst()))
		r.budgets[o.service.Name] = b
	}
	b.Deposit()
}

func (r *Router) draw() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// setCold takes in how long a server says that it stays cold.
func (r *Router) setCold(v fleet.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread.SetCold(time.Now(), v)
}

// assumeCold takes the servers of a data centre for cold until they tell.
func (r *Router) assumeCold(dataCentre string) {
	s := r.current.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range s.fleet.All() {
		service, _ := s.config.Service(v.Service)
		if v.DataCentre == dataCentre {
			r.spread.AssumeCold(v, time.Now().Add(service.ColdPeriod))
		}
	}
}

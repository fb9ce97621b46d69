package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/burn"
	"catkinstep/core/request/pick"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
)

// Headers between callers and entry hosts.
const (
	HeaderID       = "Catkinstep-Request-Id"
	HeaderKey      = "Catkinstep-Key"
	HeaderTimeout  = "Catkinstep-Timeout"
	HeaderFirst    = "Catkinstep-First-Attempt"
	HeaderOutcome  = "Catkinstep-Outcome"
	HeaderServer   = "Catkinstep-Server"
	HeaderReplayed = "Catkinstep-Replayed"
	headerIdem     = "Idempotency-Key"
)

// Router is what an entry needs of its daemon.
type Router interface {
	// Route returns the present snapshot.
	Route() *route.Route
	// Changed returns a channel that is closed when there is another one.
	Changed() <-chan struct{}
	// Send gives an order to a server's dispatcher, here or elsewhere.
	Send(ctx context.Context, to route.Target, o *wire.Order, deadline time.Time) *wire.Answer
	// Refused tells whether a request is suspected of crashing servers.
	Refused(now time.Time, fingerprint uint64) bool
	// Count notes how a request ended, for the service levels.
	Count(service string, k burn.Kind)
}

// Entry is an http.Handler for callers.
type Entry struct {
	router  Router
	maxBody int64
	mux     *bunrouter.Router

	mu      sync.Mutex
	picker  *pick.Picker
	budgets map[string]*budgets
	random  *mrand.Rand
}

// budgets bound the extra attempts of one service.
type budgets struct {
	retry *retry.Budget
	hedge *retry.Budget
}

// Option changes an Entry that New makes.
type Option func(*Entry)

// WithMaxBody bounds request bodies, in bytes.
func WithMaxBody(n int64) Option { return func(e *Entry) { e.maxBody = n } }

// WithSeed seeds the choices of servers and the jitter.
func WithSeed(seed uint64) Option {
	return func(e *Entry) {
		e.picker = pick.New(seed)
		e.random = mrand.New(mrand.NewPCG(seed, 29))
	}
}

// New returns an Entry.
func New(r Router, opts ...Option) *Entry {
	e := &Entry{router: r, maxBody: 1 << 20, budgets: map[string]*budgets{}}
	WithSeed(1)(e)
	for _, o := range opts {
		o(e)
	}
	e.mux = bunrouter.New(bunrouter.WithNotFoundHandler(e.notFound))
	e.mux.GET("/catkinstep/ready", e.ready)
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		e.mux.Handle(m, "/:service/*path", e.serve)
	}
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// ready tells the balancer whether to send callers here.
func (e *Entry) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	r := e.router.Route()
	if r == nil || !r.Ready || r.Stopping {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return nil
	}
	_, err := io.WriteString(w, "ready\n")
	return err
}

func (e *Entry) notFound(w http.ResponseWriter, _ bunrouter.Request) error {
	writeAnswer(w, "", refusal(retry.BadRequest, "the path must be /SERVICE/PATH"))
	return nil
}

// request is one caller's request, read and understood.
type request struct {
	service  site.Service
	preset   site.Preset
	order    *wire.Order
	deadline time.Time
	began    time.Time
	free     bool // any server may answer it
	first    bool // no earlier try can have run
}

func (e *Entry) serve(w http.ResponseWriter, r bunrouter.Request) error {
	began := time.Now()
	q, bad := e.understand(w, r, began)
	if bad != nil {
		if _, fresh := idOf(r.Request); bad.Code == retry.NotReady {
			bad = retry.Final(bad, fresh, false)
		}
		writeAnswer(w, r.Header.Get(HeaderID), bad)
		return nil
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	a := e.answer(ctx, q)
	e.router.Count(q.service.Name, judge(q, a, time.Since(began)))
	writeAnswer(w, q.order.Id, a)
	return nil
}

func judge(q *request, a *wire.Answer, took time.Duration) burn.Kind {
	switch {
	case a.Outcome == wire.Outcome_OUTCOME_UNKNOWN:
		return burn.Unknown
	case a.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		return burn.Refused
	case took > q.service.Levels.Within:
		return burn.Slow
	}
	return burn.Good
}

// understand reads the request whole, before anything is sent: half a request
// must never run.
func (e *Entry) understand(w http.ResponseWriter, r bunrouter.Request, now time.Time) (*request, *wire.Answer) {
	rt := e.router.Route()
	if rt == nil || !rt.Ready {
		return nil, refusal(retry.NotReady, "this host has no configuration yet")
	}
	name := r.Param("service")
	service, ok := rt.Site.Service(name)
	if !ok {
		return nil, refusal(retry.UnknownRoute, "the site has no service "+name)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.maxBody))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, refusal(retry.TooLarge, "the request's body is too large")
		}
		return nil, refusal(retry.BadRequest, "the request's body did not arrive whole")
	}
	timeout := service.Deadline
	if t := r.Header.Get(HeaderTimeout); t != "" {
		if timeout, err = time.ParseDuration(t); err != nil || timeout <= 0 {
			return nil, refusal(retry.BadRequest, HeaderTimeout+" must be a time with its unit, as 800ms")
		}
	}
	path := "/" + r.Param("path")
	key := keyOf(service, r.Request, path)
	if service.Keyed && key == "" {
		return nil, refusal(retry.MissingKey, "the service divides its work by key, and the request has none")
	}
	o := &wire.Order{Service: name, Method: r.Method, Path: path, Body: body, Idempotent: service.Runs(r.Method)}
	if r.URL.RawQuery != "" {
		o.Path += "?" + r.URL.RawQuery
	}
	o.Id, o.FreshId = idOf(r.Request)
	first := o.FreshId || r.Header.Get(HeaderFirst) == "true"
	o.Headers = forwarded(r.Header, key)
	o.Fingerprint = fingerprint(o, key)
	q := &request{service: service, preset: rt.Site.Preset(), order: o, deadline: now.Add(timeout), began: now, first: first}
	switch {
	case service.Keyed:
		o.Owned, o.Shard = true, shard.Of(key, service.Shards)
	case !o.Idempotent:
		// Any server may run it, but every try with this id must meet the same
		// ledger: the id takes the place of the key.
		o.Owned, o.Shard = true, shard.Of(o.Id, service.Shards)
	default:
		q.free = true
	}
	return q, nil
}

func keyOf(s site.Service, r *http.Request, path string) string {
	if s.KeySegment == 0 {
		return r.Header.Get(HeaderKey)
	}
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if s.KeySegment > len(parts) {
		return ""
	}
	return parts[s.KeySegment-1]
}

// idOf takes the caller's id, or makes one that cannot have been used before.
// An id of the caller's is never fresh, even on its first try: a second try,
// sent while the first is held up, may have run before it.
func idOf(r *http.Request) (id string, fresh bool) {
	if id = r.Header.Get(headerIdem); id != "" {
		return id, false
	}
	if id = r.Header.Get(HeaderID); id != "" {
		return id, false
	}
	return rand.Text(), true
}

// forwarded are the headers that go on to the server.
func forwarded(h http.Header, key string) []*wire.Header {
	var out []*wire.Header
	for name, values := range h {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
			continue
		}
		if strings.HasPrefix(name, "Catkinstep-") {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	if key != "" {
		out = append(out, &wire.Header{Name: HeaderKey, Value: key})
	}
	return out
}

// fingerprint is the same for every try of the same content, whatever its id.
func fingerprint(o *wire.Order, key string) uint64 {
	d := xxhash.New()
	for _, s := range []string{o.Service, o.Method, o.Path, key} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(o.Body)
	return d.Sum64()
}

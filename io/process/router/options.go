package router

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/config"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/news"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

const (
	// tickEvery paces the control loop; it bounds how late a renewal or a move is.
	tickEvery = 50 * time.Millisecond
	// leaderGossip and farGossip pace gossip across data centres: to the leader, which
	// shows that it lives, and between relays; bytes between data centres are saved.
	// Those within one are paced by package member.
	leaderGossip = 500 * time.Millisecond
	farGossip    = 4 * time.Second
	// meshTimeout bounds one call between daemons.
	meshTimeout = 700 * time.Millisecond
	// fetchTimeout bounds a fetch: a large configuration shares a narrow link with
	// requests.
	fetchTimeout = 3 * time.Second
	// serverPace is the pause between two reads of the servers' changes, which
	// come many times a second. A leaving server must be known within two seconds.
	serverPace = 300 * time.Millisecond
	// sparePace is the same for the spare reader, of all kinds: most changes have come to
	// it from the leader by then, and are not passed on twice.
	sparePace = 700 * time.Millisecond
	// spareEvery paces the look who the spare reader is, for which relays of all data
	// centres are put in order.
	spareEvery = 200 * time.Millisecond
	// serverWait and quietWait are how long a watch may hear nothing: servers
	// write every second or two, the rest changes rarely.
	serverWait = 600 * time.Millisecond
	quietWait  = 2500 * time.Millisecond
	// probeWait is the same for the first watch after a failed call.
	probeWait = 20 * time.Millisecond
	// watchSlack is how much longer than that its answer may take.
	watchSlack = 700 * time.Millisecond
	// storeTimeout bounds other calls to the store, which take milliseconds.
	storeTimeout = 900 * time.Millisecond
	// backoffLeast and backoffMost bound the pause after a failed call.
	backoffLeast = 150 * time.Millisecond
	backoffMost  = 600 * time.Millisecond
	// grantTimeout bounds a grant; a release waits for running work.
	grantTimeout   = 700 * time.Millisecond
	releaseTimeout = 3 * time.Second
	// lapseGrace keeps servers whose entries vanished in an outage of the store,
	// from its return on: those that live are back within about two seconds.
	lapseGrace = 2200 * time.Millisecond
	// outageLeast is the shortest time without news in which entries may lapse:
	// three of the servers' heartbeats. Other daemons stand in for a reader that
	// alone is refused before that, so a gap this long is the store's.
	outageLeast = 2500 * time.Millisecond
	// heatEvery paces the counts of keys that go to the leader: a key is hot for a
	// few seconds.
	heatEvery = 500 * time.Millisecond
	// lingerAfter is how long after the stop began new connections are taken:
	// the balancer needs two misses, a second apart.
	lingerAfter = 2800 * time.Millisecond
	// exitMargin is left of the grace when the process ends in any case.
	exitMargin = 400 * time.Millisecond
	// retryMargin is the part of the allowed retries that is used; the rest is
	// for daemons whose share of the requests has just shrunk.
	retryMargin = 0.7
	// answerMargin is how long past the deadline a server's own answer is awaited.
	answerMargin = 60 * time.Millisecond
	// wayBack is taken off the time that a server gets, for its answer's way.
	wayBack = 3 * time.Millisecond
	// grantLinks is how many connections for grants are kept to each server.
	grantLinks = 1
	// headerMost, bodyMost, headerWithin and idleMost bound callers until a
	// configuration does: usual values of HTTP servers.
	headerMost   = 16 << 10
	bodyMost     = 1 << 20
	headerWithin = 3 * time.Second
	idleMost     = 15 * time.Second
	// statusTimeout bounds the question what is in force at another daemon.
	statusTimeout = 700 * time.Millisecond
	// notReadyRetry is when callers are asked back who come before there is a
	// configuration; reading it takes some milliseconds.
	notReadyRetry = 250 * time.Millisecond
)

// Store is the platform's object store in the project's own terms. Errors are
// of type *news.Error.
type Store interface {
	// List returns all objects of a kind, as they are or, if rough, as they were
	// some seconds ago at worst: a look that costs the store little.
	List(ctx context.Context, kind news.Kind, rough bool) (news.Delta, error)
	// Watch waits for changes after a revision, and returns none after a while.
	Watch(ctx context.Context, kind news.Kind, since uint64, wait time.Duration) (news.Delta, error)
	// Read returns one object.
	Read(ctx context.Context, kind news.Kind, name string) (news.Item, error)
	// Save replaces an object that is at a revision; 0 means that there is none.
	// On a conflict it returns the object as it is.
	Save(ctx context.Context, kind news.Kind, name string, value []byte, revision uint64) (news.Item, error)
}

// Protocol is how backend servers and callers are talked to.
type Protocol interface {
	Names() names.Names
	Grant(grant.Call) link.Request
	Release(grant.Call) link.Request
	// Result sorts the answer to either; handover comes with a release.
	Result(*link.Response) (r grant.Result, handover string)
	Callers
}

// Callers is the part of a Protocol that callers see.
type Callers interface {
	// ID names one try of a caller.
	ID(h http.Header) string
	// Patience is how long the caller waits, if it says.
	Patience(h http.Header) (time.Duration, bool)
	// Key is the number of the key that a request for a service is about; the
	// path is the one that goes to the server.
	Key(s config.Service, path string, h http.Header) (int, bool)
	// Answered adds to a server's answer what callers get beside it.
	Answered(h http.Header, id, server string)
	// Refused forms an answer that is not a server's.
	Refused(f caller.Refusal) (http.Header, []byte)
}

// Option changes a Router that New makes.
type Option func(*Router)

// WithLogger sets where decisions are logged.
func WithLogger(l *slog.Logger) Option { return func(r *Router) { r.log = l } }

// WithClock sets the clock of the control state; it must go on while the host
// is suspended.
func WithClock(now func() time.Time) Option { return func(r *Router) { r.now = now } }

// WithHold sets how long grants last.
func WithHold(d time.Duration) Option { return func(r *Router) { r.hold = d } }

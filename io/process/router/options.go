package router

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/config"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
)

const (
	// tickInterval is the time between two ticks of the control loop. The renewal or move of
	// a key range may be late by up to this time.
	tickInterval = 50 * time.Millisecond
	// leaderGossipInterval is the time between two rounds of gossip with the leader, which
	// show that the leader is alive. remoteGossipInterval is the time between two rounds of
	// gossip with the relays of other data centres. It is long to save traffic. Package member
	// determines the interval within a data centre.
	leaderGossipInterval = 500 * time.Millisecond
	remoteGossipInterval = 4 * time.Second
	// meshTimeout bounds a call between daemons.
	meshTimeout = 700 * time.Millisecond
	// fetchTimeout bounds a fetch of changed objects or of the table from another daemon. It is
	// longer than meshTimeout, since a large configuration may share a slow network link with
	// requests.
	fetchTimeout = 3 * time.Second
	// serverReadPause is the pause between two reads of changes to servers, which occur many
	// times a second. Daemons must learn within two seconds that a server is draining.
	serverReadPause = 300 * time.Millisecond
	// standbyReadPause is the pause between two reads of any kind by the standby reader, the
	// daemon that reads the store in addition to the leader. During the pause, most changes
	// reach the standby reader from the leader, so that it does not propagate them a second
	// time.
	standbyReadPause = 700 * time.Millisecond
	// standbyCheckInterval is the time between two checks of whether this daemon is the
	// standby reader. It is longer than a tick because a check sorts the relays of all data
	// centres.
	standbyCheckInterval = 200 * time.Millisecond
	// serverWatchWait is how long a watch of the servers waits for a change, and watchWait how
	// long any other watch does. Servers update their entries every second or two; all other
	// objects change rarely.
	serverWatchWait = 600 * time.Millisecond
	watchWait       = 2500 * time.Millisecond
	// probeWatchWait is how long the first watch after a failed call waits for a change. It is
	// short because a watch that begins during an outage receives nothing, even after the
	// store is back.
	probeWatchWait = 20 * time.Millisecond
	// watchTimeoutMargin is how much longer than its wait for a change a watch may take.
	watchTimeoutMargin = 700 * time.Millisecond
	// storeTimeout bounds all calls to the store but watches. They normally take milliseconds.
	storeTimeout = 900 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call to the store.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// grantTimeout and releaseTimeout bound calls to servers. A release waits until the
	// server's running requests have ended.
	grantTimeout   = 700 * time.Millisecond
	releaseTimeout = 3 * time.Second
	// serverRetention is how long after an outage of the store servers whose entries vanished
	// are retained. Those that are alive are listed again within about two seconds.
	serverRetention = 2200 * time.Millisecond
	// minOutage is the shortest time without updates after which entries of live servers may
	// have expired: three of the servers' heartbeats. If the store refuses only one reader,
	// another daemon takes over sooner, so a gap of this length means an outage of the store.
	minOutage = 2500 * time.Millisecond
	// countReportInterval is the time between two reports of the load on keys to the leader.
	// It is short because a key may be hot for only a few seconds.
	countReportInterval = 500 * time.Millisecond
	// shutdownAcceptTime is how long connections are still accepted after a shutdown began:
	// the load balancer needs two failed health checks, a second apart.
	shutdownAcceptTime = 2800 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period the daemon stops waiting
	// for running requests.
	shutdownMargin = 400 * time.Millisecond
	// retryUtilisation is the fraction of the allowed retries that the daemons use. The rest
	// is a reserve for daemons whose share of the requests has just shrunk.
	retryUtilisation = 0.7
	// responseMargin is how long after the caller's deadline this daemon still waits for a
	// server's response.
	responseMargin = 60 * time.Millisecond
	// responseTransitTime is subtracted from the time until the caller's deadline, and the rest
	// is sent to the server as the time it has. It covers the transfer of the response.
	responseTransitTime = 3 * time.Millisecond
	// minResponseBudget is the least memory in bytes for the large response bodies that are read at a time: one
	// of unknown length needs half as much again while it grows.
	minResponseBudget = 25 << 20
	// The default limits apply to callers if the configuration sets none. They are usual
	// values of HTTP servers.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultReadTimeout    = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	// statusTimeout bounds a request for the status of all daemons.
	statusTimeout = 700 * time.Millisecond
	// notReadyRetryDelay is the retry delay given to callers while there is no
	// configuration yet. Reading it takes a few milliseconds.
	notReadyRetryDelay = 250 * time.Millisecond
)

// Store is the platform's object store. It hides the platform's API from this package.
// Errors are of type *object.Error.
type Store interface {
	// List returns all objects of a kind. If allowStale is set, the list may be some
	// seconds old, which costs the store little.
	List(ctx context.Context, kind object.Kind, allowStale bool) (object.Delta, error)
	// Watch returns the changes after a revision, or none if there are none within wait.
	Watch(ctx context.Context, kind object.Kind, since uint64, wait time.Duration) (object.Delta, error)
	// Read returns one object.
	Read(ctx context.Context, kind object.Kind, name string) (object.Item, error)
	// Save replaces an object if it is at the given revision, or creates it if revision is
	// 0. On a conflict it returns the object in the store together with the error.
	Save(ctx context.Context, kind object.Kind, name string, value []byte, revision uint64) (object.Item, error)
}

// Protocol defines the requests, responses and headers between the daemon and backend servers
// and, as CallerProtocol, those between the daemon and callers.
type Protocol interface {
	// Names returns the names of the headers between daemons and backend servers.
	Names() names.Names
	// Grant returns the request that grants a range of keys to a server.
	Grant(grant.Call) link.Request
	// Release returns the request that asks a server to release a range of keys.
	Release(grant.Call) link.Request
	// Result interprets the response to a grant or a release. The response to a release
	// also contains the handover, the state that the next holder of the range gets.
	Result(*link.Response) (r grant.Result, handover string)
	CallerProtocol
}

// CallerProtocol is the part of a Protocol that concerns callers.
type CallerProtocol interface {
	// ID returns the ID of a caller's request.
	ID(h http.Header) string
	// CallerTimeout returns how long the caller waits, if its request says so.
	CallerTimeout(h http.Header) (time.Duration, bool)
	// Key returns the number of the key that a request for a service refers to, if any. The
	// path is the one that is sent to the server.
	Key(s config.Service, path string, h http.Header) (int, bool)
	// AddReplyHeaders adds headers for the caller to a reply that passes on the response of a
	// server, given the IDs of the request and of the server.
	AddReplyHeaders(h http.Header, id, server string)
	// RefusalReply returns the header and body of a reply that the daemon itself makes
	// because it has no response of a server for the caller.
	RefusalReply(f caller.Refusal) (http.Header, []byte)
}

// Option configures a Router.
type Option func(*Router)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(r *Router) { r.log = l } }

// WithClock sets the clock of the control loop. It must advance while the host is suspended.
func WithClock(now func() time.Time) Option { return func(r *Router) { r.now = now } }

// WithGrantTTL sets how long a grant is valid. The settings may shorten it.
func WithGrantTTL(ttl time.Duration) Option { return func(r *Router) { r.grantTTL = ttl } }

// WithServerDialer sets the dialer of connections to servers.
func WithServerDialer(d link.Dialer) Option { return func(r *Router) { r.clientPool.inner = d } }

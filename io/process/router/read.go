package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"catkinstep/core/process/member"
	"catkinstep/core/version/object"
)

// roleCheckInterval is the time between two checks of whether this daemon should read the
// store.
const roleCheckInterval = 100 * time.Millisecond

// readerRole is this daemon's part in reading the store. The control loop sets it, and the readers
// of each kind follow it.
type readerRole struct {
	// isReader is set while this daemon reads all kinds of objects on behalf of the others.
	isReader atomic.Bool
	// isStandby is set while this daemon, in addition to the leader, reads the kinds of objects
	// that decide where requests go.
	isStandby atomic.Bool
	// localRank is the number of live daemons of the data centre that rank before this one as
	// readers.
	localRank atomic.Int64
}

// readKind reads the objects of one kind from the store and follows their changes,
// whenever this daemon should do so, until the router stops.
func (r *Router) readKind(kind object.Kind) error {
	ctx := r.tomb.Context(context.Background())
	backoff, listed, storeUp := minBackoff, false, true
	for r.tomb.Alive() {
		if !r.shouldReadKind(kind) {
			sleep(ctx, roleCheckInterval)
			continue
		}
		requestedAt := r.now()
		r.metrics.increment("store.read." + string(kind))
		d, err := r.listOrWatch(ctx, kind, listed, storeUp)
		if err != nil {
			r.metrics.increment("store.failed." + string(kind))
			if ctx.Err() != nil {
				return nil //nolint:nilerr // the router stops
			}
			listed, storeUp = listed && !isHistoryLost(err), isHistoryLost(err)
			r.log.Warn("store: read failed", "kind", kind, "since", r.control.knownRevision(kind), "err", err)
			if !isHistoryLost(err) {
				r.post(storeFailedMsg{})
			}
			r.waitBeforeRetry(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff, listed, storeUp = minBackoff, true, true
		d.CurrentAt = requestedAt
		done := make(chan struct{})
		if _, ok := ask(ctx, r, deltaMsg{delta: d, fromStore: true, done: done}, done); !ok {
			return nil
		}
		switch {
		case !r.control.role.isReader.Load():
			sleep(ctx, standbyReadPause)
		case kind == object.Servers:
			sleep(ctx, serverReadPause)
		}
	}
	return nil
}

// shouldReadKind reports whether this daemon should read a kind of object from the store
// now. Every daemon reads all kinds once after its start. The standby reader reads only
// the kinds that decide where requests go.
func (r *Router) shouldReadKind(kind object.Kind) bool {
	urgent := kind == object.Config || kind == object.Servers || kind == object.Exclusions
	return r.control.role.isReader.Load() || r.control.knownRevision(kind) == 0 || urgent && r.control.role.isStandby.Load()
}

// waitBeforeRetry waits after a failed call to the store. The wait grows with the number
// of daemons of the data centre that rank before this one as readers. It ends early if this
// daemon need no longer read the store.
func (r *Router) waitBeforeRetry(ctx context.Context, backoff time.Duration) {
	startedAt := r.now()
	sleep(ctx, backoff)
	for ctx.Err() == nil && r.control.role.isReader.Load() && r.now().Sub(startedAt) < member.RetryDelay(int(r.control.role.localRank.Load()), backoff) {
		sleep(ctx, roleCheckInterval)
	}
}

// listOrWatch lists the objects of a kind the first time and after the store has lost the
// history of changes, and otherwise waits for changes.
//
// The very first list may be stale: later changes arrive with the first watch, or with the
// gossip of daemons that started earlier. A stale list costs the store little. When daemons
// start at the same time, their lists are most of the requests that the store gets in that hour.
//
// After a failed call, storeUp is false and the store may be down. A long watch that began
// then would receive nothing even once the store is back, so a short watch comes first.
func (r *Router) listOrWatch(ctx context.Context, kind object.Kind, listed, storeUp bool) (object.Delta, error) {
	since := r.control.knownRevision(kind)
	if !listed || since == 0 {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return r.store.List(ctx, kind, since == 0)
	}
	wait := watchWait
	switch {
	case !storeUp:
		wait = probeWatchWait
	case kind == object.Servers:
		wait = serverWatchWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	return r.store.Watch(ctx, kind, since, wait)
}

// isHistoryLost reports whether the store no longer has the changes that a watch asked for.
func isHistoryLost(err error) bool {
	var e *object.Error
	return errors.As(err, &e) && e.Kind == object.HistoryLost
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

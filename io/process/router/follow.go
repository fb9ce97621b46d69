package router

import (
	"context"
	"errors"
	"time"

	"catkinstep/core/process/member"
	"catkinstep/core/version/news"
)

// idlePoll paces the look whether this daemon should read the store.
const idlePoll = 100 * time.Millisecond

// follow reads one kind of object, whenever this daemon is the one to do so.
func (r *Router) follow(kind news.Kind) error {
	ctx := r.tomb.Context(context.Background())
	pause, listed, sure := backoffLeast, false, true
	for r.tomb.Alive() {
		if !r.readsNow(kind) {
			sleep(ctx, idlePoll)
			continue
		}
		asked := r.now()
		r.meters.increment("store.read." + string(kind))
		d, err := r.ask(ctx, kind, listed, sure)
		if err != nil {
			r.meters.increment("store.failed." + string(kind))
			if ctx.Err() != nil {
				return nil //nolint:nilerr // the router stops
			}
			listed, sure = listed && !isForgotten(err), isForgotten(err)
			r.log.Warn("store: no news", "kind", kind, "since", r.control.through(kind), "err", err)
			if !isForgotten(err) {
				r.post(storeFailedMsg{})
			}
			r.rest(ctx, pause)
			pause = min(2*pause, backoffMost)
			continue
		}
		pause, listed, sure = backoffLeast, true, true
		d.CurrentAt = asked
		done := make(chan struct{})
		if !r.post(deltaMsg{delta: d, fromStore: true, done: done}) {
			return nil
		}
		<-done
		switch {
		case !r.control.reads.Load():
			sleep(ctx, sparePace)
		case kind == news.Servers:
			sleep(ctx, serverPace)
		}
	}
	return nil
}

// readsNow tells whether this daemon is to read a kind of object. A start reads all kinds
// once, the spare beside the leader only what requests go by.
func (r *Router) readsNow(kind news.Kind) bool {
	urgent := kind == news.Config || kind == news.Servers || kind == news.Outs
	return r.control.reads.Load() || r.control.through(kind) == 0 || urgent && r.control.spare.Load()
}

// rest waits after a failed call, the longer the more daemons of the data centre come
// before this one, and until none is needed any more.
func (r *Router) rest(ctx context.Context, pause time.Duration) {
	began := r.now()
	sleep(ctx, pause)
	for ctx.Err() == nil && r.control.reads.Load() && r.now().Sub(began) < member.RetryDelay(int(r.control.turn.Load()), pause) {
		sleep(ctx, idlePoll)
	}
}

// ask lists a kind at first and after its history was lost, and else waits for
// changes. The first list of all may be old: whatever came after it is in the
// first watch, or in the gossip of daemons that started earlier, and the lists of
// all daemons that start at once are most of what the store is asked in an hour. After a failed call the store may be away: a long watch that was
// begun then would hear nothing even when the store is back, so a short one
// finds out first.
func (r *Router) ask(ctx context.Context, kind news.Kind, listed, sure bool) (news.Delta, error) {
	since := r.control.through(kind)
	if !listed || since == 0 {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return r.store.List(ctx, kind, since == 0)
	}
	wait := quietWait
	switch {
	case !sure:
		wait = probeWait
	case kind == news.Servers:
		wait = serverWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return r.store.Watch(ctx, kind, since, wait)
}

func isForgotten(err error) bool {
	var e *news.Error
	return errors.As(err, &e) && e.Kind == news.Forgotten
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

package router

import (
	"context"
	"time"

	"catkinstep/core/version/news"
	"catkinstep/io/connection/caller"
)

// awaitBoot keeps a request while this daemon reads what it needs to serve any.
func (r *Router) awaitBoot(ctx context.Context, q caller.Request) {
	select {
	case <-r.bootDone:
		return
	default:
	}
	patience, _ := r.protocol.CallerTimeout(q.Header)
	wait := time.NewTimer(r.boot.MaxWait(r.now(), patience))
	defer wait.Stop()
	select {
	case <-r.bootDone:
	case <-wait.C:
	case <-ctx.Done():
	}
}

// booted notes that a first list was read, and lets the requests go that wait for it.
func (c *control) booted(now time.Time, kind news.Kind) {
	select {
	case <-c.r.bootDone:
		return
	default:
	}
	if c.boot = c.boot.WithLoaded(kind); c.boot.Done(now) {
		close(c.r.bootDone)
	}
}

package router

import (
	"context"
	"time"

	"catkinstep/core/version/object"
	"catkinstep/io/connection/caller"
)

// awaitBoot blocks a request, for a limited time, until this daemon has read the lists without
// which it cannot serve any request.
func (r *Router) awaitBoot(ctx context.Context, callerReq caller.Request) {
	select {
	case <-r.bootDone:
		return
	default:
	}
	callerTimeout, _ := r.protocol.CallerTimeout(callerReq.Header)
	timer := time.NewTimer(r.boot.MaxWait(r.now(), callerTimeout))
	defer timer.Stop()
	select {
	case <-r.bootDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordLoaded records that the first list of a kind was read; with the kind "", it records
// nothing. It releases the waiting requests once the boot phase has ended, which may be by
// timeout.
func (c *control) recordLoaded(now time.Time, kind object.Kind) {
	select {
	case <-c.r.bootDone:
		return
	default:
	}
	if c.boot = c.boot.WithLoaded(kind); c.boot.Done(now) {
		close(c.r.bootDone)
	}
}

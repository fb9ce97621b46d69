package router

import (
	"context"
	"net"
	"time"
)

// shutdownReplyTime is how long before the end of a shutdown the last responses of servers must have arrived, for
// the way to their callers.
const shutdownReplyTime = 100 * time.Millisecond

// stop shuts down in four steps: the daemon reports that it is not ready, so that the load
// balancer sends no new connections; responses announce the close of their connections;
// the listener and idle connections are closed; running requests are answered.
func (r *Router) stop(l net.Listener) {
	startedAt := time.Now()
	end := startedAt.Add(r.settings.GracePeriod - shutdownMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	r.log.Info("router: stop", "running", r.callers.Running())
	r.answerBy.Store(new(end.Add(-shutdownReplyTime)))
	r.ready.Store(false)
	r.stopping.Store(true)
	r.callers.BeginShutdown()
	r.post(stoppingMsg{})
	sleep(ctx, shutdownAcceptTime)
	_ = l.Close()
	r.callers.Shutdown(ctx)
	r.awaitCarried(ctx)
	r.awaitLoans(ctx)
	r.log.Info("router: stopped", "running", r.callers.Running(), "took", time.Since(startedAt).String())
	r.tomb.Kill(nil)
	_ = r.mesh.Close()
	r.clientPool.close()
}

// boundByStop bounds a request that is about to be passed on by the end of a shutdown: it is refused if it
// probably takes longer, and its caller gets a reply before the end, and not a closed connection.
func (r *Router) boundByStop(req *request) {
	answerBy := r.answerBy.Load()
	if answerBy == nil {
		return
	}
	req.requirements.AnswerBy = *answerBy
	if req.deadline.After(*answerBy) {
		req.deadline, req.requirements.Deadline = *answerBy, *answerBy
	}
}

// endsTooLate reports whether a request that another daemon is to serve probably ends after this daemon.
func (r *Router) endsTooLate(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return req.requirements.EndsTooLate(time.Now(), r.balancer.TypicalServiceTime(req.requirements))
}

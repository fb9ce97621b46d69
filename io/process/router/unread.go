package router

import (
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/process/memory"
	"catkinstep/core/request/proof"
	"catkinstep/io/connection/caller"
	"catkinstep/io/process/heap"
	"catkinstep/io/process/setup"
)

const (
	// reasonNoMemory means that the requests that are in memory leave no room for another one.
	reasonNoMemory = "noMemory"
	// plannedBody is the size in bytes of the largest request body that is served whatever the machine, if
	// that has room for one.
	plannedBody = 64 << 20
	// memoryRetryDelay is the mean time until there is room again: large bodies arrive within seconds.
	memoryRetryDelay = time.Second
)

// refuseUnread returns the reply to a request that could not be read, and counts it. The request is nil if
// its head could not be read.
func (r *Router) refuseUnread(req *http.Request, status int) caller.Reply {
	r.metrics.increment("requests.unread." + strconv.Itoa(status))
	if status != http.StatusServiceUnavailable {
		return caller.NewUnread(status)
	}
	refusal := caller.Refusal{Status: status, Reason: reasonNoMemory, NotRun: proof.History{}.NotRun(), RetryAfter: r.jitter(memoryRetryDelay)}
	if req != nil {
		refusal.ID = r.protocol.ID(req.Header)
	}
	return r.refuse(refusal, "")
}

// jitter returns between half and one and a half times a duration.
func (r *Router) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.randomFloat()*float64(d))
}

// checkHead refuses a request before its body is read if no route leads anywhere: the body would only take
// memory from others.
func (r *Router) checkHead(req *http.Request) (caller.Reply, bool) {
	snap := r.current.Load()
	if !snap.configured {
		return caller.Reply{}, false // the configuration may arrive before the body
	}
	if _, ok := snap.config.Match(req.Host, req.URL.EscapedPath(), req.Method); ok {
		return caller.Reply{}, false
	}
	reply := r.replyNoRoute(snap, req, r.protocol.ID(req.Header))
	r.metrics.observeRequest(reply.Status(), 0)
	return *reply, true
}

// maxLoggedPath is the number of bytes of a path in a log line.
const maxLoggedPath = 200

func loggedPath(path string) string { return path[:min(len(path), maxLoggedPath)] }

// LimitHeap limits the heap of a process that runs one daemon with the given settings.
func LimitHeap(s setup.Settings) { heap.SetLimit(planOf(s)) }

func planOf(s setup.Settings) memory.Plan {
	return memory.NewPlan(memory.Machine{Bytes: s.MemoryBytes, Descriptors: s.Descriptors}, plannedBody)
}

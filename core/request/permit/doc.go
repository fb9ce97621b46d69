// Package permit limits the requests in flight at overloaded backend servers.
//
// Hundreds of daemons send requests to one server, a few a minute each. None of them can see
// its queue, so together they fill it with requests that are answered too late, and every slot
// is busy with work whose caller no longer waits. One daemon, the issuer for that server,
// counts the requests that all daemons have there. It grants a permit while a response can
// be expected in time. All other requests are refused at once, and try another server or retry
// when the queue is shorter.
//
// A permit only protects the queue. Requests go to the server directly, and without a permit
// if the issuer does not reply.
//
// # Usage
//
//	i := permit.NewIssuer(seed)
//	if d := i.Acquire(now, permit.Request{Server: "a", ID: 7, ...}); d.Granted { ... }
//	i.Release("a", 7)
package permit

// Package permit admits requests to servers that are offered too much.
//
// The load pattern: hundreds of daemons send to one server, each a few requests a minute. None
// of them knows its queue, so that they fill it with requests that come too late, and
// every slot is busy with work that nobody waits for any more. One daemon, the issuer of
// that server, counts the requests that all have there: a permit is given while an answer
// can be expected in time, and everyone else is refused at once, to turn to another server
// or to come back when the queue is shorter.
//
// A permit protects the queue and nothing else. Requests go to the server directly; where
// the issuer does not answer they go without one.
//
// Usage:
//
//	i := permit.NewIssuer(seed)
//	if a := i.Ask(now, permit.Request{Server: "a", ID: 7, ...}); a.Granted { ... }
//	i.End("a", 7)
package permit

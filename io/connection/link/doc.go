// Package link sends requests to one life of a backend server over kept
// connections, one request at a time on each, and tells what became of them:
// answered whole, refused unrun, surely not sent, or unknown.
//
// It writes and reads HTTP/1.1 itself. The standard transport sends a request
// again by its own judgement and hides whether bytes left the host; here a
// request is written at most once, whatever happens.
//
// # Usage
//
//	l := link.New("10.0.0.9:8080", "server-1", names.Default(), 5)
//	answer, err := l.Do(ctx, link.Request{...})
//	defer l.Close()
//
// Errors are of type *Error. Kinds Refused, NoWay and NotSent prove that nothing ran.
package link

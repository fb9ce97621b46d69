// Package spread is the load balancer: it chooses the backend server for a
// request, and refuses the request at once if no server is expected to answer
// it in time.
//
// Each daemon decides on its own from three sources: its own measurements, the
// load that servers report with their responses, and the numbers of requests in
// flight from the other daemons of its data centre. The expected latency at a
// server is the typical service time of the route multiplied by the server's slowdown.
// Once all slots are taken, each request ahead in the queue adds a share of that time.
//
// # Usage
//
//	choice := b.Choose(now, req, servers)
//	if choice.Refused() { answer 503 with choice.RetryAfter }
//	b.Begin(now, choice.Server, req)
//	b.End(now, choice.Server, req, beganAt, outcome, report)
package spread

// Package fair tells which workspaces ask for so much that others would be pushed out while servers
// are overloaded. Requests are refused by chance and by priority then, so without it a workspace that
// sends ten times as much as the others would also be served ten times as often.
//
// A Meter counts the requests that one daemon receives. While many of them are refused, a workspace
// is heavy if it takes a large part of all requests, and by weight several times what the others
// ask for. Requests of heavy workspaces should be refused before those of the others. If all ask for
// more alike, none is heavy.
//
// # Usage
//
//	meter.Record(now, workspace, weight)
//	if meter.IsHeavy(workspace) {
//		// give the request a smaller latency budget
//	}
//	meter.RecordRefusal() // if the request is refused because servers are busy
package fair

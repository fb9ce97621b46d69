// Package notice keeps what backend servers announce about themselves in their responses: for how
// long they want no requests from this host (a rest), and that they are leaving.
//
// A rest is between one instance of a server and one host. It ends at the latest of all ends that
// the instance has named, each counted from the arrival of the response. That an instance leaves
// holds until it ends, whichever host it said so to.
//
// # Usage
//
//	table := notice.NewTable(seed)
//	change := table.Add(now, server, connOpenedAt, notice.Parse(status, fields, now))
//	switch status := table.Status(now, server); {
//	case status.Leaving: // send nothing more
//	case status.Rests(now): // send nothing before status.RestUntil
//	}
//
// A Table is not safe for concurrent use. The caller passes the time.
package notice

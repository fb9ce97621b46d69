// Package grant defines the table that assigns ranges of keys to backend servers. A server
// holds a range by a grant, which has a time limit and a fencing token (the fence). The
// servers themselves enforce both; the table is the leader's last knowledge of them.
//
// Tables are ordered by epoch, which each new leader increments by a conditional update
// of the stored table, and then by the sequence number of that leader's changes. A daemon
// keeps the newer of two tables and never goes back to an older one.
//
// # Usage
//
//	r, ok := t.RangeOf("workshop", 15631)
//	if ok && r.IsOpen() { send(r.Holder) }
package grant

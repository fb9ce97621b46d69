// Package leader decides for one data centre: which daemon dispatches to which
// backend server, which server owns which shard, and which shards belong to
// another data centre. It keeps what it heard from the daemons and compares
// that with the table and the homes in force; what it wants changed comes out
// as a new table or new homes, to be written conditionally on the versions
// that were looked at, and as releases wanted from dispatchers.
//
// # Usage
//
//	l := leader.New(self, "duluth", now)
//	l.Heard(now, beat)          // each heartbeat of a daemon
//	l.Gone(now, daemon)         // proof that a daemon's process has ended
//	d := l.Decide(now, view)    // at every tick and change
//	// write d.Table if view.TableVersion still holds, likewise d.Homes,
//	// and hand d.Wanted to the daemons with their next heartbeat
//
// A Leader is used by one goroutine. Its functions do not fail.
package leader

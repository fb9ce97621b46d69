// Package table is one data centre's assignments: its leader, its daemons, the
// dispatcher of each backend server and the owner of each shard at home there.
// It is one platform object. Every change is a conditional update of it, which
// is what makes epochs and fencing tokens unique: two leaders cannot both
// write on top of the same version.
//
// # Usage
//
//	t, err := table.Unmarshal(value)
//	owner, ok := t.Owner("workshop", 17)
//	next := t.Clone()
//	next.SetDispatch("127.0.0.9:9000", daemon, backup)
//
// Errors: Unmarshal returns an *Error of kind Malformed.
package table

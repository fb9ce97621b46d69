// Package limit decides how many orders a backend server bears at once. A
// server that is new, returned, or has turned cold begins at one and climbs as
// it answers; it is never asked for more than its slots.
//
// # Usage
//
//	l := limit.New(3)
//	l = l.WithAnswer(now, 5*time.Millisecond)
//	l = l.WithShed(now)
//	if running < l.Allowed() { ... }
//
// A Limit is an immutable value; its functions do not fail.
package limit

// Package plat talks to the platform's object API: reads, conditional updates
// and long-poll watches of the objects whose names begin alike. It keeps within a budget of calls
// and never repeats a write by itself, since a lost reply may hide a success.
//
// # Usage
//
//	c := plat.New("127.0.0.1:7000", "duluth")
//	o, err := c.Read(ctx, "site")              // nil, nil when there is none
//	o, err = c.Write(ctx, "site", o.Version, value)
//	next, err := c.Changed(ctx, "site", o.Version, 2*time.Second)
//
// Errors are of type *Error: Conflict when the version no longer holds, Unsure
// when a write may have taken effect, Unreachable for all else.
package plat

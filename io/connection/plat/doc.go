// Package plat is a client of the platform's object API: reads, conditional writes, and
// long-polling watches of the objects whose names have a prefix. It limits the rate of its
// calls and never retries a write, since a write may have succeeded although its response
// was lost.
//
// # Usage
//
//	c := plat.New("127.0.0.1:7000", "duluth")
//	o, err := c.Read(ctx, "site")              // nil, nil when there is none
//	o, err = c.Write(ctx, "site", o.Version, value)
//	changes, err := c.Watch(ctx, "site", o.Version, 2*time.Second)
//
// Errors are of type *Error. The kind Conflict means that the object has another version,
// OutcomeUnknown that a write may have taken effect, and Unreachable any other failure.
package plat

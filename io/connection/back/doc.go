// Package back sends orders and fencing tokens to one backend server over HTTP.
// It tells apart what its dispatcher must know: answered in full, surely not
// run, or unknown.
//
// # Usage
//
//	c := back.New("127.0.0.9:9000", 110)
//	g, err := c.Grant(ctx, token)
//	answer, latency, err := c.Send(ctx, back.Order{...})
//
// Errors are of type *Error. Kind NotRun and Gone mean that nothing ran; every
// other kind that it may have. docs/SERVERS.md describes the headers.
package back

// Package wire holds the messages that daemons exchange, generated from
// wire.proto. It is data only: framing and connections live in
// io/connection/mesh, and the core reads and writes these types directly so
// that nothing is translated twice.
//
// # Usage
//
//	call := &wire.Call{Kind: &wire.Call_Beat{Beat: &wire.Beat{From: "127.0.0.1:7100"}}}
//	reply, err := peers.Call(ctx, "127.0.0.2:7100", call)
//
// Durations travel as whole microseconds or milliseconds, named in the field;
// no absolute time crosses the wire, since clocks of two hosts never compare.
package wire

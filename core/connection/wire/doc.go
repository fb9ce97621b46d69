// Package wire holds the messages that daemons exchange. They are generated from wire.proto.
// The package contains data only: framing and connections are in io/connection/mesh, and other
// packages use these types directly, which avoids a second conversion.
//
// # Usage
//
//	call := &wire.Call{Kind: &wire.Call_Gossip{Gossip: &wire.Gossip{Address: "127.0.0.1:7100"}}}
//	reply, err := peers.Call(ctx, "127.0.0.2:7100", call)
//
// Durations are sent as whole milliseconds, which the field names state. Messages contain no
// points in time, since the clocks of two hosts are not comparable.
package wire

// Package mesh carries calls between daemons: one yamux session a pair of
// hosts, one stream a call, protobuf messages with their length before them.
//
// # Usage
//
//	m, err := mesh.Listen("127.0.0.1:7100", handler)
//	reply, err := m.Call(ctx, "127.0.0.2:7100", call)
//	defer m.Close()
//
// Errors are of type *Error. Kind Refused proves that no process listens at
// the address; NotSent that the call was never written; Unsure that it may have
// arrived.
package mesh

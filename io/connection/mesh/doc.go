// Package mesh carries calls between daemons. A daemon keeps one yamux session to each
// daemon that it calls. A call uses a stream of its own, or takes its turn on a stream
// that short calls share. Messages are length-prefixed protobuf.
//
// # Usage
//
//	m, err := mesh.Listen("127.0.0.1:7100", handler)
//	reply, err := m.Call(ctx, "127.0.0.2:7100", call)
//	defer m.Close()
//
// Errors are of type *Error. The kinds ConnectionRefused and NotSent prove that no byte of the
// call was sent. ConnectionRefused does not prove that the other daemon has ended,
// since a network partition may refuse connections too. OutcomeUnknown means that the call
// may have arrived.
package mesh

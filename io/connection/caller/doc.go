// Package caller is the HTTP/1.1 server for callers. Pipelined requests of one
// connection are handled concurrently, and their replies are sent in the order
// of the requests. http.Server reads the next request only after it has replied
// to the previous one, so that a slow request would delay all that follow.
//
// The server detects a closed connection while its requests run, and cancels their
// contexts. During a shutdown, every request that was accepted still gets its
// reply: the last reply of a connection announces the close.
//
// # Usage
//
//	s := caller.New(handler, caller.WithLimits(limits))
//	go s.Serve(listener)
//	s.BeginShutdown() // from now on, replies announce the close
//	s.Shutdown(ctx)   // closes idle connections and waits for the others
package caller

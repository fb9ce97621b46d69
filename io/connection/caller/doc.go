// Package caller serves callers' connections. Requests on one connection are
// read ahead, handled side by side, and answered in the order they came in: the
// standard server reads the next request only when the one before is answered,
// so that a slow lookup would hold back all behind it.
//
// The end of a caller's connection is seen while its requests run, and cancels
// their contexts. A request that was read is always answered: a planned stop
// announces the close with the last answer instead of cutting.
//
// # Usage
//
//	s := caller.New(handler, caller.WithLimits(limits))
//	go s.Serve(listener)
//	s.Stop()          // answers from now on announce the close
//	s.Finish(ctx)     // closes what is idle and waits for the rest
package caller

// Package pace keeps connections that send requests without waiting for the replies from taking the servers of
// other callers. A connection that sends many requests a second, or goes on after refusals, is heavy; how many requests of all
// heavy connections run at a time depends on whether requests are refused: the limit falls with each
// refusal and rises with time.
//
// # Usage
//
//	rate = rate.WithRequest(now, awaited, refusals)
//	if rate.IsHeavy() && !limiter.Start(now) {
//		// the request waits
//	}
//	limiter.RecordRefusal(now)
//	limiter.End()
//
// A Rate is a value. No function returns an error.
package pace

// Package reopen measures how long ranges of keys stay closed while they move to another holder,
// and estimates from that when a closed range opens again.
//
// A holder releases a range once the requests running on it have ended, which takes as long as
// requests of that service do. A holder that is lost keeps its range until its grant expires.
// Both times are estimated from ranges that closed and opened before.
//
// # Usage
//
//	estimator := reopen.New()
//	estimator.Observe(now, table, isListed) // each table that comes into force
//	e := estimator.EstimateOpening(now, service, r, holderListed)
//	if now.Add(e.P90).Before(latest) { wait } else { refuse with a retry delay of e.Median }
//
// An Estimator is not safe for concurrent use.
package reopen

// Package reopen measures how long ranges of keys stay closed while they move to another holder,
// and estimates from that when a closed range opens again.
//
// How long a range stays closed depends on its holder. A holder that is alive, which means that
// it is still listed, releases the range once the requests running on it have ended. That takes
// as long as requests of the service do. A lost holder keeps its range until its grant expires.
// Both times are estimated from earlier closed periods, which last from the closing of a range
// to its reopening.
//
// # Usage
//
//	estimator := reopen.New()
//	estimator.Observe(now, table, isAlive) // each table that comes into force
//	e := estimator.EstimateReopening(now, service, r, holderAlive)
//	if now.Add(e.P90).Before(deadline) { wait } else { refuse with a retry delay of e.Median }
//
// An Estimator is not safe for concurrent use.
package reopen

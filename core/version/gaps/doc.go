// Package gaps measures how long ranges of keys stay closed while they change
// hands, and estimates from that when one opens again.
//
// A holder lets go of a range once the work that runs on it has ended, which takes
// as long as requests of that service do; a holder that is lost keeps its range until
// its grant runs out. Both are learned from the ranges that closed and opened before.
//
// # Usage
//
//	m := gaps.New()
//	m.Observe(now, table, lives) // each table that is put in force
//	e := m.Opens(now, service, rng, holderLives)
//	if now.Add(e.Surely).Before(latest) { wait } else { refuse, to come back after e.Likely }
//
// A Meter is used under one lock; nothing here fails.
package gaps

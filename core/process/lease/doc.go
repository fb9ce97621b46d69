// Package lease bounds a leader's term by witnesses: daemons whose replies to the leader's calls
// let it go on granting without the store, and whose reports tell its successor when the leader
// has stopped.
//
// A leader with N-1 witnesses may call servers while a majority of the N, itself included,
// supported it within SupportTTL, or the store confirmed its epoch within StoreTTL. A witness
// supports an epoch by replying to a call without knowing a newer one. Once so many witnesses know
// a newer epoch, or have restarted, that the others and the leader are no majority, the last
// support dates from before the last of these reports.
//
// # Usage
//
//	support := lease.NewSupport(table.Witnesses) // at the leader
//	support.Record(witness, sentAt)              // for each reply that names no newer epoch
//	valid := now.Sub(support.SupportedAt()) < lease.SupportTTL
//
//	ending := lease.NewEnding(takeover, term) // at its successor
//	ending.Record(now, witness, epoch)        // for each message of a daemon
//	stoppedBy, known := ending.StoppedBy()
package lease

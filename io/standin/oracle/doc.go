// Package oracle judges a run by what callers got and what backend
// servers did. It knows nothing of leases or grants: servers say
// which request ran when, callers say what they got, the operator says
// what was taken out, and the oracle finds what cannot all be true.
//
// # Usage
//
//	o := oracle.New()
//	o.Ran(oracle.Run{Server: "127.0.0.9:9000", ID: "a", Key: "bench-7", Start: t0, End: t1})
//	o.Got(oracle.Reply{ID: "a", Outcome: "answered"})
//	v := o.Verdict()
//
// It is safe for concurrent use. Its functions do not fail.
package oracle

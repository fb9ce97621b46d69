// Package oracle is the test oracle of the stand-ins: it checks what backend servers ran
// against what callers saw. It does not depend on grants or any other mechanism of the
// system. Servers report which requests they ran and when, callers report the results of
// their requests, the operator's commands are recorded as exclusions, and the oracle finds
// contradictions.
//
// # Usage
//
//	o := oracle.New()
//	o.RecordRun(oracle.Run{Server: "127.0.0.9:9000", ID: "a", Key: "bench-7", Start: t0, End: t1})
//	o.RecordResult(oracle.CallerResult{ID: "a", Outcome: "answered"})
//	v := o.Verdict()
//
// It is safe for concurrent use. Its functions do not fail.
package oracle

// Package memory divides the memory and the descriptors of a machine, and decides what callers may make a
// daemon hold. One Budget covers all requests and responses that are in memory; what the daemon needs for
// itself is set aside before.
//
// # Usage
//
//	plan := memory.NewPlan(memory.Machine{Bytes: 144e6, Descriptors: 3075}, 64<<20)
//	budget := memory.NewBudget(plan)
//	if budget.Reserve(memory.LargeBodies, n) {
//		defer budget.Release(memory.LargeBodies, n)
//	}
//
// No function returns an error.
package memory

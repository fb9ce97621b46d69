// Package retry says which attempt may be followed by another, how soon, and
// within which budget.
//
// # Usage
//
//	b := retry.NewBudget(0.1, 10)
//	b.Request()                                  // for each request
//	next := retry.Next(answer, idempotent)       // what may follow
//	if next == retry.Elsewhere && b.Take() { ... }
//
// A Budget is used under one lock; nothing here fails.
package retry

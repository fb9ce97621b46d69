// Package retry says which attempt may be followed by another, and within which
// budget.
//
// # Usage
//
//	b := retry.NewBudget(0.1, 10)
//	b.Request() // for each request
//	if attempt.Again() && (!attempt.Repeats() || b.Take()) { ... }
//
// A Budget is used under one lock; nothing here fails.
package retry

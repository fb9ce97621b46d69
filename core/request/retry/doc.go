// Package retry decides whether a failed request may be sent again, and limits a daemon's retries
// by a budget that all its requests share.
//
// # Usage
//
//	b := retry.NewBudget(0.1, 10)
//	b.Deposit() // for each request
//	if state.Retryable() && (!state.UsesBudget() || b.TryWithdrawFor(rank)) { ... }
//
// A Budget is not safe for concurrent use, and no function returns an error.
package retry

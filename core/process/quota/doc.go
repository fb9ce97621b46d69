// Package quota keeps the requests of each workspace within its allowance, over all daemons
// together, whatever starts, stops, leads or is lost.
//
// Each daemon owns an even share of every allowance. It lends that share to one pool at a time,
// until an end that both know, and a pool hands out only what has been lent to it: as leases, which
// let a daemon send requests at a rate until they end, and as tokens for single requests, which must
// be used at once. So all daemons together never have more in hand than the allowance, no matter how
// many pools there are or what each of them knows. A daemon that starts has nothing, and lends its share
// only once a loan of the incarnation before it has ended.
//
// Every allowance has two halves, each with loans and pools of its own, so that the loss of one pool leaves
// the other half in use.
//
// Each daemon has a Limiter, which holds its leases and decides on requests, Lenders, which decide
// to which pools it lends its shares, and Pools, which are empty until daemons lend to them.
//
// # Usage
//
//	lenders.SetPools([]string{leader, successor, relay, self})
//	for _, target := range lenders.Due(now) {
//		renewal := lenders.Begin(now, target).WithDemands(limiter.Demands(now))
//		grant, ok := pools.Renew(now, renewal, findWorkspace) // at the target's address
//		lenders.Answered(now, target, grant)
//		limiter.SetLeases(now, sentAt, grant)
//	}
//	token, verdict, retryAfter := limiter.Take(now, workspace)
//	if verdict == quota.AskPool {
//		retryAfter, ok := pools.Take(now, workspace) // at one of lenders.Pools(now)
//	}
package quota

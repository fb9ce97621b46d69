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
// Each daemon has a Limiter, which holds its leases and decides on requests, a Lender, which decides
// to which pool it lends its share, and a Pool, which is empty until daemons lend to it.
//
// # Usage
//
//	lender.SetPools([]string{leader, relay, self})
//	for _, address := range lender.Due(now) {
//		renewal := lender.Begin(now, address).WithDemands(limiter.Demands(now))
//		grant, ok := pool.Renew(now, renewal, findWorkspace) // at that address
//		lender.Answered(now, address, grant)
//		limiter.SetLeases(now, sentAt, grant)
//	}
//	token, verdict, retryAfter := limiter.Take(now, workspace)
//	if verdict == quota.AskPool {
//		retryAfter, ok := pool.Take(now, workspace) // at one of lender.Pools(now)
//	}
package quota

// Package class orders the requests of a service by priority, and divides what an overloaded
// service can run among them.
//
// Routes of one service may have different priorities. While there is room, all of their requests
// are served. When there is not, the more urgent ones go first, but every rank keeps a minimum
// share, so that none is starved by a lasting overload of more urgent requests.
//
// # Usage
//
//	ranks := class.NewRanks(cfg.Routes)         // once for each configuration
//	rank := ranks.Rank(service, route.Priority) // 0 is the most urgent
//	parts := class.Fractions(demands, fraction) // by rank
//
//	promoted := rank > 0 && random.Float64() < promoter.Share()
//	promoter.Record(now, rank, served) // rank 0 if it was promoted
//
// Values other than a Promoter are immutable, and no function returns an error.
package class

// Package admit limits the requests for keys that daemons may send to overloaded backend
// servers.
//
// Hundreds of daemons send requests to one server, so none of them can see its queue. When a
// key becomes hot they all keep sending, the queue fills with requests that will be answered
// too late, and requests for the server's other keys wait behind them. The leader knows the
// load of each bucket of keys and the capacity of each server. It computes the fraction of a
// bucket's requests that may be sent, and each daemon admits requests at random with that
// probability. A load lasts for seconds, so fractions that are a second old are still good
// enough.
//
// Each daemon divides the fraction of a bucket among the ranks of urgency by the demand that it has
// seen itself. Where it has seen one rank only, that rank gets the fraction of the bucket.
//
// # Usage
//
//	share := admit.FairShare(demands, capacity) // on the leader, for each server
//	l := admit.NewLimiter(seed)                 // on each daemon
//	l.SetLimits(sentAt, limits)
//	l.Arrive(now, req, serviceTime)             // once for each request
//	if retryAfter, ok := l.Admit(now, req); !ok { refuse the request }
//
// The types are not safe for concurrent use, and no function returns an error.
package admit

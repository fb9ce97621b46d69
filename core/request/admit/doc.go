// Package admit decides which requests for keys are let through to holders that are
// offered more than they can answer in time.
//
// The pattern it answers: hundreds of daemons send to one holder, so none of them
// knows its queue. A key becomes hot, all of them go on sending, the queue fills with
// requests that will be late, and everybody else's requests at that holder wait behind
// them. The leader knows the load of each bucket of keys and the capacity of each
// holder. It works out what part of a bucket's requests may be sent, and each daemon
// draws by that. A load lasts for seconds, so that parts which are a second old do.
//
// # Usage
//
//	level := admit.Level(demands, capacity) // at the leader, for each holder
//	g := admit.NewGate(seed)                // at each daemon
//	g.Set(sent, limits)
//	if wait, ok := g.Admit(now, service, bucket); !ok { refuse, to come back after wait }
//
// A Gate is used under one lock; nothing here fails.
package admit

// Package limit keeps requests within the limits that backend servers in need name in their
// responses: how many requests a second a server takes from all daemons together.
//
// Each daemon has a Table of the limits that it, or another daemon, found in a response. The
// newest response counts, and a response without a limit ends it.
//
// Requests without a key may go to other servers, so that each daemon keeps to a fixed share of
// the limit, for which nobody has to be asked. Requests with a key have no other server, and few
// of them may come by a daemon that has a share. For those the leader has an Issuer, whose tokens
// go to whichever daemon asks. A daemon without contact to the leader keeps to a fixed share, and
// the leader issues only the part of the limit that belongs to the daemons that it has contact with.
//
// # Usage
//
//	changed := table.Merge(now, limit.Limit{Server: "a", PerSecond: 5, ObservedAt: now})
//	rate := limit.Share(5)                     // of all daemons together
//	mine := rate.Divided(daemons)              // of a daemon among the rate.Senders(daemons) first
//	retryAfter, ok := issuer.Acquire(now, l, reachableShare)
package limit

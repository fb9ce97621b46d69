// Package boot decides how long requests wait at a daemon that has just started.
//
// The load pattern: all hosts of a site lose power and return together, while callers go
// on. Each daemon needs a few hundred milliseconds for its first lists from the store.
// Whoever comes meanwhile would be refused, by every host of the site, although the
// answer could be there soon after; instead they wait until the lists are read. Where
// the store does not answer, requests are refused as soon as that is likely.
//
// Usage:
//
//	b := boot.New(now)
//	wait := b.Wait(now, patience)
//	b = b.WithKnown(news.Config)
//	over := b.Over(now)
package boot

// Package boot decides how long requests wait at a daemon that has just started.
//
// It covers the case that all hosts of a site lose power and restart together while
// callers keep sending requests. Each daemon needs a few hundred milliseconds to read its
// first lists from the store. Without a wait, every host of the site would refuse the
// requests of that time, although they could be answered soon after. So requests wait
// until the lists are read. If the store does not answer in the time that this usually
// takes, requests are refused.
//
// # Usage
//
//	b := boot.New(now)
//	wait := b.MaxWait(now, callerTimeout)
//	b = b.WithLoaded(object.Config)
//	done := b.Done(now)
package boot

// Package crash counts the backend servers that were lost while a request ran.
// A request that brings down every server that runs it, and that its caller
// sends again and again, is refused after a small number of servers.
//
// # Usage
//
//	s := crash.New(2, 10*time.Minute)
//	s.Lost(now, fingerprint, "127.0.0.9:9000")
//	if s.Refused(now, fingerprint) { ... }
//	s.Answered(fingerprint) // it does not crash servers after all
//
// Fingerprints are hashes of a request's content, so that a caller which makes
// a new id for each try is recognised too. A Suspects value is used by one
// goroutine or under one lock; its functions do not fail.
package crash

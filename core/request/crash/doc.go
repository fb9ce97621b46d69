// Package crash detects requests that crash the backend servers that run them. It counts the
// servers that were lost while a request may have been running there. After a few lost servers the
// request is refused, even if its caller keeps sending it.
//
// # Usage
//
//	s := crash.New(2, 10*time.Minute)
//	s.RecordLoss(now, fingerprint, "127.0.0.9:9000")
//	if s.ShouldRefuse(now, fingerprint) { ... }
//	s.RecordResponse(fingerprint) // a server responded, so the request does not crash servers
//
// Fingerprints are hashes of a request's content, so that a caller which makes a new ID for
// each attempt is recognised too. Suspects are not safe for concurrent use, and their
// methods return no errors.
package crash

// Package sent records when non-idempotent requests were first sent under their IDs.
//
// The holder of a key knows which IDs it ran. A holder that takes over the key from a server that
// was lost does not. For an ID that is new to it, it must know whether the request may have been
// sent to the lost server before; otherwise the request could run twice.
//
// # Usage
//
//	h := sent.New(2 * time.Minute)
//	hash := sent.Hash("workshop", 61012, "booking-7")
//	firstSentAt, repeated := h.Record(now, hash)
//	if !repeated { h.Forget(hash) } // if the request certainly did not run
//	h.RecordAt(now, hash, sentAt)   // if another daemon sent it at sentAt
//
// A History is not safe for concurrent use, and its functions return no errors.
package sent

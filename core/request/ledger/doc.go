// Package ledger remembers the ids of non-idempotent requests, so that one that
// is sent again is answered from memory instead of being run again. A Book
// belongs to one backend server under one fencing token and is kept by its
// dispatcher; a copy at the backup daemon has every id before its order is
// written to the server.
//
// A Book also knows what it cannot know: shards whose earlier ids were lost
// with their daemons. For those, an id that it does not have may still have
// been run, and it says so instead of letting it run again.
//
// # Usage
//
//	b := ledger.New(2*time.Minute)
//	b.Cover(shard, epoch)
//	switch found := b.Find(now, shard, id); found.State {
//	case ledger.Unseen:
//		b.Begin(now, shard, id)
//	case ledger.Answered:
//		// found.Answer is the answer of the first run
//	}
//
// Bounds: an id is kept for the given time after its last change. A Book is
// used by one goroutine; its functions do not fail.
package ledger

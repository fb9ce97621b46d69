// Package grant is the table of who holds which keys. A backend server holds a
// range of keys by a grant with a fence, for a limited time, and enforces that
// itself; the table says what the leader last knew of it.
//
// A Table is ordered by its epoch, which each new leader raises by a conditional
// update of the stored table, and by the sequence of one leader's changes. A
// daemon takes the newer of two and never goes back.
//
// # Usage
//
//	r, ok := t.Owner("workshop", 15631)
//	if ok && r.Open() { send(r.Holder) }
package grant

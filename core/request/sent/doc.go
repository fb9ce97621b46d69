// Package sent remembers when requests that must run once were first sent under their
// ids. The holder of a key knows which ids it ran. One that took over from a holder which
// was lost does not: it has to know whether an id that is new to it may have been sent to
// the lost one, or its request could run twice.
//
// # Usage
//
//	m := sent.New(2 * time.Minute)
//	hash := sent.Hash("workshop", 61012, "order-7")
//	first, again := m.Note(now, hash)
//	if !again { m.Forget(hash) } // it surely did not run
//	m.Learn(now, hash, at)       // another daemon sent it then
//
// A Memory is used under one lock; its functions do not fail.
package sent

// Package pick chooses the backend server for a lookup that any server may
// answer: the better of two, by what this entry host has measured itself.
// Reports of the servers play no part, since they are late and mislead.
//
// # Usage
//
//	p := pick.New(seed)
//	server := p.Choose(now, candidates, nil)
//	p.Begin(now, server)
//	p.End(now, server, latency, pick.Answered, waiting)
//	wait := p.HedgeAfter("intake")
//
// A Picker is used under one lock; its functions do not fail.
package pick

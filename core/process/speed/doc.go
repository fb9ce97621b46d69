// Package speed estimates how slow the backend servers are, from the measurements of all daemons.
//
// Each daemon reports what it measured since its last report. With hundreds of daemons, each one
// gets a response from a given server only about once a minute, but all of them together get
// several a second. Combined, their reports show within seconds that a server has become slow.
// Reports list only the servers in use, which keeps them short.
//
// # Usage
//
//	e := speed.New()
//	e.Add("a", speed.Sample{Slowdown: 2.5, Responses: 3})
//	slowdowns := e.Slowdowns()
package speed

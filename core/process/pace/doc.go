// Package pace estimates how slow the backend servers are, from the measurements of all daemons.
//
// Each daemon reports what it measured since its last report. Each of hundreds of daemons gets an
// answer from a server once a minute, but all of them together get several a second. Combined,
// their reports show within seconds that a server has become slow, and they only take bytes for
// the servers in use.
//
// # Usage
//
//	e := pace.New()
//	e.Add("a", pace.Sample{Factor: 2.5, Answers: 3})
//	factors := e.Factors()
package pace

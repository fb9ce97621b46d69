// Package pace holds how slow the backend servers are, as all daemons found them.
//
// Each daemon reports what it found since its last report. Hundreds of daemons hear from
// one server once a minute each, all of them together several times a second: summed up,
// their reports tell within seconds that a holder has become slow, and cost bytes for the
// servers in use only.
//
// Usage:
//
//	book := pace.New()
//	book.Add("a", pace.Finding{Factor: 2.5, Answers: 3})
//	factors := book.Factors()
package pace

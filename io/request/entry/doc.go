// Package entry serves callers: it reads a request whole, finds who must answer
// it, sends it there, tries again where that is provably safe, and gives the
// caller the whole answer or says what became of the request.
//
// # Usage
//
//	e := entry.New(router, entry.WithSeed(1))
//	http.Serve(listener, e)
//
// Errors reach the caller as JSON with a stable code and whether the request
// ran; docs/ERRORS.md lists them.
package entry

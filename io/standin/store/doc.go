// Package store is a stand-in for the platform's object API: versioned objects,
// conditional writes, long-poll watches, rate limits, a list of hosts that shows
// changes late, and injected faults. It keeps everything in memory and counts each
// call by kind and data centre.
//
// # Usage
//
//	s := store.New(store.WithSeed(1))
//	http.Serve(listener, s)
//	s.SetFaults(store.Faults{Down: true})
//
// Over HTTP: GET and PUT /objects/NAME (If-Match: VERSION, 0 for a new object), GET
// /watch?after=REVISION&wait=5s&prefix=PREFIX, GET /hosts, GET /calls, POST /faults.
package store

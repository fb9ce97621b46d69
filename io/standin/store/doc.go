// Package store stands in for the platform's object API: objects with versions,
// conditional updates, long-poll watches, limits on calls, a lagging list of
// hosts, and outages on demand. It keeps everything in memory and counts each
// call by kind and data centre.
//
// # Usage
//
//	s := store.New(store.WithSeed(1))
//	http.Serve(listener, s)
//	s.SetFaults(store.Faults{Down: true})
//
// Over HTTP: GET and PUT /objects/NAME (If-Match: VERSION, 0 for none), GET
// /watch?after=REVISION&wait=5s, GET /hosts, GET /calls, POST /faults.
package store

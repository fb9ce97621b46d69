// Package server is a stand-in for a backend server that implements Catkinstep's native
// protocol. It runs requests only for the keys that it was granted, enforces deadlines
// and a limit of concurrent requests, is cold after a start, and ends a cancelled
// request early if it is idempotent. A request that it declines is marked as not run.
// Faults can be injected: slowness, a frozen process, a crash, a lost cache, responses
// with a wrong ID and truncated responses.
//
// # Usage
//
//	s := server.New(server.Config{Address: "127.0.0.9:9000", Service: "intake", Slots: 3}, recorder)
//	err := s.Start()
//	s.Freeze(true)
//	s.Stop()
//
// Over HTTP, POST /catkinstep/grant and /catkinstep/release grant and release keys,
// POST /standin/faults replaces the faults, GET /standin/runs returns the runs so far,
// and any other path is a request to run.
package server

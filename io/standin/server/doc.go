// Package server is a stand-in for a backend server that implements the product's own
// protocol. It enforces grants of keys, deadlines and its limit of concurrent
// requests, is cold after a start, ends a cancelled request early if it is idempotent,
// and marks its refusals as not run. Faults can be injected: slowness, a frozen
// process, a crash, a lost cache, responses with a wrong ID and truncated responses.
//
// # Usage
//
//	s := server.New(server.Config{Address: "127.0.0.9:9000", Service: "intake", Slots: 3}, recorder)
//	err := s.Start()
//	s.Freeze(true)
//	s.Stop()
//
// Over HTTP, POST /catkinstep/grant and /catkinstep/release grant and release keys,
// POST /standin/faults replaces the faults, GET /standin/runs returns the executions,
// and any other path is a request.
package server

// Package server stands in for a backend server of the product's own kind: it
// enforces grants of keys, has slots, a cold start, deadlines and cancellation,
// and marks refusals as not run. It can be made to slow down, freeze, crash,
// turn cold, and to cross or cut its answers.
//
// # Usage
//
//	s := server.New(server.Config{Address: "127.0.0.9:9000", Service: "intake", Slots: 3}, recorder)
//	err := s.Start()
//	s.Freeze(true)
//	s.Stop()
//
// Over HTTP: POST /catkinstep/grant and /catkinstep/release hand keys over, POST
// /standin/faults sets faults, GET /standin/runs tells what ran, any other path
// is a request.
package server

// Package server stands in for a backend server that owns keys: slots, a cold
// start, fencing tokens that it checks or not, deadlines, refusals marked as
// not run, a load report that lags. It can be told to slow down, freeze, crash,
// turn cold, and to cross or cut its answers.
//
// # Usage
//
//	s := server.New(server.Config{Address: "127.0.0.9:9000", Service: "intake", Slots: 3}, recorder)
//	err := s.Start()
//	s.Freeze(true)
//	s.Stop()
//
// Over HTTP: any path is a request, POST /catkinstep/grant takes a token, GET
// /load reports, POST /standin/faults sets faults, GET /standin/runs tells what
// ran.
package server

// Package queue estimates how many requests a backend server with a few slots
// does not answer within their aim at a load.
//
// The estimate is that of a queue with several slots and requests that come by
// chance, of which those are refused that would wait for too long. It is what moves of keys are judged by: a slow server can bear much less
// of its slots' work than a fast one before its answers are late.
//
// # Usage
//
//	s := queue.New(4, 0.135, 0.3, 0)
//	lost := s.Lost(20) // of 20 requests a second
//
// Nothing here fails.
package queue

// Package queue estimates how many requests a backend server with a few slots does not answer
// within their latency target under a given load.
//
// The model is a queue with several slots and Poisson arrivals, which refuses requests that would
// wait for too long. Moves of keys are chosen by means of it rather than by utilisation, because
// a slow server's answers become late at a much lower utilisation than those of a fast one.
//
// # Usage
//
//	s := queue.New(4, 0.135, 0.3, 0)
//	lost := s.LostRate(20) // of 20 requests a second
//
// No function returns an error.
package queue

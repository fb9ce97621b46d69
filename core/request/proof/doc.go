// Package proof decides what a caller may learn of whether its request has run. Some statuses promise
// that it has not and never will; a reply has one of them only if a NotRun is there to build it from, and
// only the History of a request yields a NotRun that holds.
//
// # Usage
//
//	history = history.WithBegun()        // before anything is sent
//	history = history.WithEnded(ground)  // what the end of the attempt proves
//	if notRun := history.NotRun(); notRun.Holds() { ... }
//
// All types are values and safe to copy. No function returns an error.
package proof

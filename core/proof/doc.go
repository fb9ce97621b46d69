// Package proof holds no code of its own: its tests drive the cores of several
// daemons, dispatchers included, over a fake platform, fake backend servers and
// a virtual clock, with faults drawn by rapid, and let an oracle judge what the
// servers ran and what the callers were told.
//
// # Usage
//
//	go test ./core/proof                                  # the fixed runs of CI
//	go test ./core/proof -run Fuzz -proof.for 20m         # new seeds for a time
//	go test ./core/proof -run Fuzz -proof.seed 4711       # one seed again
package proof

package keeper

import (
	"testing"
	"time"
)

// restartServersDuringCut cuts a leader off from the store and the other daemons, one of which takes the
// lead, and has servers drain or end. They start again at their addresses, and some end once more.
func (s *simulation) restartServersDuringCut(d *daemon) {
	until := s.now.Add(s.randomDuration(3*time.Second, 6*time.Second))
	s.logf("%s is cut off from the store until %v", d.name, until.Sub(time.Unix(1000, 0)))
	d.storeUnreachableUntil, d.cutOffUntil = until, until
	other := s.daemons[s.rng.IntN(len(s.daemons))]
	s.after(s.randomDuration(0, 2*time.Second), func() {
		if other != d && other.keeper == nil && !s.now.Before(other.suspendedUntil) {
			s.takeLead(other)
		}
	})
	for range 2 {
		srv := s.servers[s.rng.IntN(len(s.servers))]
		at := s.randomDuration(0, 4*time.Second)
		if s.rng.IntN(2) == 0 {
			s.after(at, func() { srv.Draining = true })
			at += s.randomDuration(0, 2*time.Second)
		}
		s.after(at, func() { s.restartServer(srv, 1+s.rng.IntN(2)) })
	}
}

// restartServer ends a server and starts it again soon at its address, so many times.
func (s *simulation) restartServer(srv *server, times int) {
	if times == 0 || !srv.running {
		return
	}
	srv.running = false
	s.logf("%s has ended", srv.ID)
	s.after(s.randomDuration(50*time.Millisecond, 300*time.Millisecond), func() {
		srv.listed = false
		s.startServer(srv.ID)
		next := s.servers[len(s.servers)-1]
		s.after(s.randomDuration(300*time.Millisecond, 1200*time.Millisecond), func() { s.restartServer(next, times-1) })
	})
}

func runRestartSeed(t fataler, seed uint64) {
	s := newSimulation(seed)
	s.restarting = true
	runSimulation(t, seed, s)
}

// Guards against a second holder: a restarted server, which has seen no fence, takes the grants of a leader that
// has been replaced and does not know it.
func TestFuzzRestartsDuringCut(t *testing.T) {
	for seed := range uint64(16) {
		runRestartSeed(t, seed)
	}
	for _, seed := range []uint64{138, 473} { // these have found a bug
		runRestartSeed(t, seed)
	}
}

package keeper

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var soakDuration = flag.Duration("keeper.for", 0, "how long to try new seeds of the simulation")

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// runSeed runs a simulation with faults for a while, then without. At the end all keys must
// have a holder.
func runSeed(t fataler, seed uint64) {
	s := newSimulation(seed)
	s.run(60 * time.Second)
	s.faultFree = true
	for _, d := range s.daemons {
		d.frozenUntil, d.storeUnreachableUntil = time.Time{}, time.Time{}
		clear(d.unreachableUntil)
	}
	s.run(30 * time.Second)
	if s.violation == "" && s.unheldBuckets() > 0 {
		s.violation = "keys without a holder after 30 s without faults"
	}
	if s.violation != "" {
		t.Fatalf("seed %d: %s\n%s", seed, s.violation, strings.Join(s.trace[max(0, len(s.trace)-60):], "\n"))
	}
}

func (s *simulation) unheldBuckets() int {
	n := 0
	for b := range Buckets {
		held := false
		for _, v := range s.servers {
			held = held || v.alive && v.expiresAt[b].After(s.now)
		}
		if !held {
			n++
		}
	}
	return n
}

// Guards against two servers that hold a key at once, and against keys that are still without a
// holder after the faults have ended.
func TestFuzzSingleHolder(t *testing.T) {
	for seed := range uint64(60) {
		runSeed(t, seed)
	}
	// These seeds beyond the first sixty have found bugs. Since 473 and 502 did, the simulation
	// has got more kinds of faults, so that these two now lead to other events. The
	// events with which they found the bugs are tested in leadership_test.go.
	for _, seed := range []uint64{100, 473, 502} {
		runSeed(t, seed)
	}
	rapid.Check(t, func(t *rapid.T) { runSeed(t, rapid.Uint64().Draw(t, "seed")) })
}

// Tries new seeds for a while. Run it by hand: go test ./core/process/keeper -keeper.for 20m.
func TestFuzzNewSeeds(t *testing.T) {
	if *soakDuration == 0 {
		t.Skip("only with -keeper.for")
	}
	seed := uint64(time.Now().UnixNano())
	for end := time.Now().Add(*soakDuration); time.Now().Before(end); seed++ {
		runSeed(t, seed)
	}
}

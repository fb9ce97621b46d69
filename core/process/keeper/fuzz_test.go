package keeper

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var newSeedsDuration = flag.Duration("keeper.for", 0, "how long to try new seeds of the simulation")

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// runSeed runs a simulation with faults for 60 s and without faults for 30 s more. At the end
// all keys must have a holder.
func runSeed(t fataler, seed uint64) { runSimulation(t, seed, newSimulation(seed)) }

// runIndirectSeed is runSeed with releases through other daemons.
func runIndirectSeed(t fataler, seed uint64) {
	s := newSimulation(seed)
	s.indirect = true
	runSimulation(t, seed, s)
}

func runSimulation(t fataler, seed uint64, s *simulation) {
	s.run(60 * time.Second)
	s.faultFree = true
	for _, d := range s.daemons {
		d.suspendedUntil, d.storeUnreachableUntil = time.Time{}, time.Time{}
		clear(d.unreachableUntil)
	}
	s.run(30 * time.Second)
	if s.violation == "" && s.bucketsWithoutHolder() > 0 {
		s.violation = "keys without a holder after 30 s without faults"
	}
	if s.violation != "" {
		t.Fatalf("seed %d: %s\n%s", seed, s.violation, strings.Join(s.trace[max(0, len(s.trace)-60):], "\n"))
	}
}

func (s *simulation) bucketsWithoutHolder() int {
	n := 0
	for b := range Buckets {
		hasHolder := false
		for _, srv := range s.servers {
			hasHolder = hasHolder || srv.running && srv.expiresAt[b].After(s.now)
		}
		if !hasHolder {
			n++
		}
	}
	return n
}

// restartedHolderSeed is a world in which a released holder starts again at its address while an earlier
// leader is cut off from the store.
const restartedHolderSeed = 1796596827463905111

// Guards against two servers that hold a key at once, and against keys that are still without a
// holder after the faults have ended.
func TestFuzzOneHolderPerKey(t *testing.T) {
	for seed := range uint64(60) {
		runSeed(t, seed)
	}
	// Each of these seeds has found a bug. Kinds of faults were added to the simulation after
	// 473 and 502 had found theirs, so these two seeds now lead to other events. The original
	// events are tested in leadership_test.go.
	for _, seed := range []uint64{100, 473, 502, restartedHolderSeed} {
		runSeed(t, seed)
	}
	rapid.Check(t, func(t *rapid.T) { runSeed(t, rapid.Uint64().Draw(t, "seed")) })
}

// Guards against a second holder after a release that another daemon carries out late or twice.
func TestFuzzIndirectReleases(t *testing.T) {
	for seed := range uint64(30) {
		runIndirectSeed(t, 1000+seed)
	}
	runIndirectSeed(t, restartedHolderSeed)
}

// Tries new seeds for as long as the flag says. Run it by hand:
// go test ./core/process/keeper -keeper.for 20m.
func TestFuzzNewSeeds(t *testing.T) {
	if *newSeedsDuration == 0 {
		t.Skip("only with -keeper.for")
	}
	seed := uint64(time.Now().UnixNano())
	for end := time.Now().Add(*newSeedsDuration); time.Now().Before(end); seed++ {
		runSeed(t, seed)
		runIndirectSeed(t, seed)
		runWitnessedSeed(t, seed)
		runUnreachableSeed(t, seed)
		runRestartSeed(t, seed)
	}
}

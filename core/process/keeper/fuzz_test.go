package keeper

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var soakFor = flag.Duration("keeper.for", 0, "how long to try new seeds of the keeper's world")

// fataler is what both kinds of tests offer.
type fataler interface {
	Fatalf(format string, args ...any)
}

// play runs one seed: faults for a while, then calm, in which all keys must be
// held again.
func play(t fataler, seed uint64) {
	w := newWorld(seed)
	w.run(60 * time.Second)
	w.calm = true
	for _, d := range w.daemons {
		d.frozen, d.blind = time.Time{}, time.Time{}
		clear(d.blocked)
	}
	w.run(30 * time.Second)
	if w.bad == "" && w.unheld() > 0 {
		w.bad = "keys without a holder after 30 s of calm"
	}
	if w.bad != "" {
		t.Fatalf("seed %d: %s\n%s", seed, w.bad, strings.Join(w.trace[max(0, len(w.trace)-60):], "\n"))
	}
}

func (w *world) unheld() int {
	n := 0
	for b := range Buckets {
		held := false
		for _, v := range w.servers {
			held = held || v.alive && v.until[b].After(w.now)
		}
		if !held {
			n++
		}
	}
	return n
}

// Guards against two servers that hold a key at once, and against keys that nobody holds after the faults.
func TestFuzzOneHolder(t *testing.T) {
	for seed := range uint64(60) {
		play(t, seed)
	}
	// These showed faults beyond the first sixty. The world draws more kinds of
	// faults since 473 and 502 did, so that they play otherwise now; story_test.go
	// holds the orders of events that they had shown.
	for _, seed := range []uint64{100, 473, 502} {
		play(t, seed)
	}
	rapid.Check(t, func(t *rapid.T) { play(t, rapid.Uint64().Draw(t, "seed")) })
}

// New seeds for a time, by hand: go test ./core/process/keeper -keeper.for 20m.
func TestFuzzNewSeeds(t *testing.T) {
	if *soakFor == 0 {
		t.Skip("only with -keeper.for")
	}
	seed := uint64(time.Now().UnixNano())
	for end := time.Now().Add(*soakFor); time.Now().Before(end); seed++ {
		play(t, seed)
	}
}

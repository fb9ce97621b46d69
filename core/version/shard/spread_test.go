package shard

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSpread checks plans against the rules alone: every shard has an allowed
// owner, shares are even to one shard, and no plan with fewer moves is as even.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(1, 8).Draw(t, "owners")
		have := rapid.SliceOfN(rapid.IntRange(None, owners-1), 1, 200).Draw(t, "have")
		weights := make([]float64, owners)
		for i := range weights {
			weights[i] = float64(rapid.IntRange(0, 1).Draw(t, "weight"))
		}
		want := Spread(have, weights)
		live, count := 0, make([]int, owners)
		for _, w := range weights {
			live += int(w)
		}
		if live == 0 {
			if Moves(have, want) != 0 {
				t.Fatal("moved with nowhere to go")
			}
			return
		}
		for _, o := range want {
			if o < 0 || weights[o] == 0 {
				t.Fatalf("owner %d is not allowed", o)
			}
			count[o]++
		}
		least := 0
		for o, w := range weights {
			kept := 0
			for _, h := range have {
				if h == o {
					kept++
				}
			}
			switch fair := len(have) / live; {
			case w == 0:
				least += kept
			case count[o] < fair || count[o] > fair+1:
				t.Fatalf("owner %d has %d of %d over %d", o, count[o], len(have), live)
			case kept > fair+1:
				least += kept - fair - 1
			}
		}
		if moves := Moves(have, want); moves > least+live {
			t.Fatalf("%d moves, %d would do", moves, least)
		}
	})
}

func TestSpreadIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		have := Spread(rapid.SliceOfN(rapid.IntRange(None, 4), 1, 100).Draw(t, "have"), []float64{1, 1, 1, 1, 1})
		if again := Spread(have, []float64{1, 1, 1, 1, 1}); Moves(have, again) != 0 {
			t.Fatal("an even spread was changed")
		}
	})
}

func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{256, 1024, 4096, 16384} {
		b.Run(benchName(n), func(b *testing.B) {
			have := Spread(make([]int, n), weightsOf(100))
			next := weightsOf(100)
			next[7] = 0
			for b.Loop() {
				Spread(have, next)
			}
		})
	}
}

func benchName(n int) string {
	return map[int]string{256: "shards=256", 1024: "shards=1024", 4096: "shards=4096", 16384: "shards=16384"}[n]
}

func weightsOf(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return w
}

package shard

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// None stands for a shard without an owner.
const None = -1

// Of returns the shard of a key among n hash ranges.
func Of(key string, n int) uint32 {
	high, _ := bits.Mul64(xxhash.Sum64String(key), uint64(n))
	return uint32(high)
}

// Spreader plans who owns which shard. Use the zero value for an even spread.
type Spreader struct {
	// Sizes are the shards' loads; nil means all alike.
	Sizes []float64
	// Slack is the share above its quota that an owner may keep.
	Slack float64
	// MaxMoves bounds the moves between owners that are allowed to stay; zero
	// means no bound. Shards without an allowed owner are always placed.
	MaxMoves int
}

// Spread assigns shards to owners in proportion to their weights with the
// fewest moves. have holds each shard's owner or None; an owner of weight zero
// gets nothing. When every weight is zero all shards stay where they are,
// since there is nowhere better.
func Spread(have []int, weights []float64) []int { return Spreader{}.Spread(have, weights) }

// Spread is the method behind the function of the same name.
func (p Spreader) Spread(have []int, weights []float64) []int {
	want := slices.Clone(have)
	f := p.fill(want, weights)
	if f == nil {
		return want
	}
	for _, s := range f.homeless {
		to := f.emptiest()
		want[s] = to
		f.sum[to] += p.size(s)
	}
	for n := 0; p.MaxMoves == 0 || n < p.MaxMoves; n++ {
		s, to := p.improve(want, f)
		if s < 0 {
			break
		}
		f.sum[want[s]] -= p.size(s)
		f.sum[to] += p.size(s)
		want[s] = to
	}
	return want
}

// Moves counts the shards that had an owner and get another one.
func Moves(have, want []int) int {
	n := 0
	for s := range have {
		if have[s] != None && have[s] != want[s] {
			n++
		}
	}
	return n
}

// Imbalance returns the busiest owner's load over its fair share, among owners
// with a weight; one is perfect.
func (p Spreader) Imbalance(have []int, weights []float64) float64 {
	f := p.fill(slices.Clone(have), weights)
	if f == nil {
		return 1
	}
	worst := 0.0
	for o, q := range f.quota {
		if q > 0 {
			worst = max(worst, f.sum[o]/q)
		}
	}
	return worst
}

// filling is how full each owner is.
type filling struct {
	quota, sum []float64
	homeless   []int
}

func (p Spreader) size(s int) float64 {
	if p.Sizes == nil {
		return 1
	}
	return p.Sizes[s]
}

func (p Spreader) fill(want []int, weights []float64) *filling {
	all, total := 0.0, 0.0
	for _, w := range weights {
		total += w
	}
	if total <= 0 {
		return nil
	}
	for s := range want {
		all += p.size(s)
	}
	if !(all > 0) { // also when a size is no number
		return nil // nothing to spread: every owner has its share of nothing
	}
	f := &filling{quota: make([]float64, len(weights)), sum: make([]float64, len(weights))}
	for o, w := range weights {
		f.quota[o] = all * w / total
	}
	for s, o := range want {
		if o < 0 || o >= len(weights) || weights[o] <= 0 {
			f.homeless = append(f.homeless, s)
			continue
		}
		f.sum[o] += p.size(s)
	}
	// The largest first: small ones then even out what is left.
	slices.SortStableFunc(f.homeless, func(a, b int) int {
		return cmp.Compare(p.size(b), p.size(a))
	})
	return f
}

func (f *filling) emptiest() int {
	best := None
	for o, q := range f.quota {
		if q > 0 && (best == None || f.sum[o]/q < f.sum[best]/f.quota[best]) {
			best = o
		}
	}
	return best
}

func (f *filling) fullest() int {
	worst := None
	for o, q := range f.quota {
		if q > 0 && (worst == None || f.sum[o]/q > f.sum[worst]/f.quota[worst]) {
			worst = o
		}
	}
	return worst
}

// improve finds the move from the fullest to the emptiest owner that evens
// them out best; no shard means that no move helps.
func (p Spreader) improve(want []int, f *filling) (s, to int) {
	from, to := f.fullest(), f.emptiest()
	excess, room := f.sum[from]-f.quota[from], f.quota[to]-f.sum[to]
	if from == to || excess <= f.quota[from]*p.Slack {
		return None, None
	}
	best, gap := None, math.Inf(1)
	for s, o := range want {
		if o != from {
			continue
		}
		size := p.size(s)
		if size <= 0 || size >= excess+room-1e-9 {
			continue
		}
		if d := math.Abs(size - min(excess, room)); d < gap {
			best, gap = s, d
		}
	}
	return best, to
}

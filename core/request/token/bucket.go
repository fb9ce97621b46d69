package token

import (
	"math"
	"time"
)

// Rate is how many tokens a bucket gets in a second, and how many it holds at most.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Senders returns how many of a number of daemons may use a rate that they share without talking to
// each other: as many as there are whole tokens in its burst. All of them may hold one.
func (r Rate) Senders(daemons int) int { return max(1, min(daemons, int(r.Burst))) }

// Divided returns the part of a rate that belongs to each of its senders.
func (r Rate) Divided(daemons int) Rate {
	return Rate{PerSecond: r.PerSecond / float64(r.Senders(daemons)), Burst: max(1, r.Burst/float64(max(1, daemons)))}
}

// Bucket is a token bucket whose rate may change from call to call. It is not safe for
// concurrent use.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a Bucket that holds some tokens.
func New(tokens float64) Bucket { return Bucket{tokens: tokens} }

// FillIfUnused fills a bucket that was never used.
func (b *Bucket) FillIfUnused() {
	if b.refilledAt.IsZero() {
		b.tokens = math.Inf(1) // the first refill lowers it to the burst
	}
}

// Set replaces the tokens that the bucket holds.
func (b *Bucket) Set(tokens float64) { b.tokens = tokens }

// Return puts a token back that was not used.
func (b *Bucket) Return() { b.tokens++ }

// Has reports whether the bucket holds a token.
func (b *Bucket) Has(now time.Time, r Rate) bool {
	b.refill(now, r)
	return b.tokens >= 1
}

// Take takes a token, even if the bucket holds none: then it owes one.
func (b *Bucket) Take(now time.Time, r Rate) {
	b.refill(now, r)
	b.tokens--
}

// TryTake takes a token, and reports whether there was one.
func (b *Bucket) TryTake(now time.Time, r Rate) bool {
	if !b.Has(now, r) {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time until the bucket holds a token. It is 0 if it holds one or never will.
func (b *Bucket) Wait(now time.Time, r Rate) time.Duration {
	if b.Has(now, r) || r.PerSecond <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / r.PerSecond * float64(time.Second))
}

func (b *Bucket) refill(now time.Time, r Rate) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	b.tokens = min(r.Burst, b.tokens+r.PerSecond*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
}

package admit

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// limitTTL is how long limits apply after the leader sent them. It sends new ones a few
	// times a second. If none arrive, the load may have ended, and requests must not be
	// refused any more.
	limitTTL = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay before refused callers may retry, not
	// counting jitter.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// retryJitter keeps callers that were refused together from retrying together.
	retryJitter = 0.3
	// mixRetention is how long the demand of a bucket is kept after its last limit. A limit that ends
	// and begins again within seconds is one for the same load.
	mixRetention = 10 * time.Second
)

// Limit is the fraction of the requests for a bucket of keys that may be sent.
type Limit struct {
	Service  string
	Bucket   int
	Fraction float64
}

type bucketKey struct {
	service string
	bucket  int
}

// bucketState is the limit of one bucket, and the bucket's own demand since the limit began.
type bucketState struct {
	fraction float64
	// update is the number of the update that set the limit last, and limitedAt when that was sent.
	update    int
	limitedAt time.Time
	mix       mix
}

// Request is what the decision about a request for a key depends on.
type Request struct {
	Service string
	Bucket  int
	// Rank is 0 for the most urgent requests of the service (see package class).
	Rank int
	// Deferred is set if other requests go first.
	Deferred bool
	// ServiceTime is how long the request is expected to run.
	ServiceTime time.Duration
}

// Limiter admits requests at random according to the leader's limits. The limits say what part of
// all requests for a bucket may be sent; the Limiter divides it among the ranks.
type Limiter struct {
	random  *rand.Rand
	buckets map[bucketKey]*bucketState
	// updates counts the calls of SetLimits.
	updates   int
	expiresAt time.Time
	// mixes are the recent demands of each service.
	mixes map[string]*mix
}

// NewLimiter returns a Limiter that admits every request.
func NewLimiter(seed uint64) *Limiter {
	return &Limiter{random: rand.New(rand.NewPCG(seed, 37)), buckets: map[bucketKey]*bucketState{}, mixes: map[string]*mix{}}
}

// SetLimits replaces all limits. The leader sent the new ones at sentAt.
func (l *Limiter) SetLimits(sentAt time.Time, limits []Limit) {
	l.updates, l.expiresAt = l.updates+1, sentAt.Add(limitTTL)
	for _, limit := range limits {
		k := bucketKey{service: limit.Service, bucket: limit.Bucket}
		b := l.buckets[k]
		// Without limits no update comes that would prune the bucket.
		if b == nil || sentAt.Sub(b.limitedAt) > mixRetention {
			b = &bucketState{}
			l.buckets[k] = b
		}
		b.fraction, b.update, b.limitedAt = limit.Fraction, l.updates, sentAt
	}
	for k, b := range l.buckets {
		if b.update != l.updates && sentAt.Sub(b.limitedAt) > mixRetention {
			delete(l.buckets, k)
		}
	}
}

// PruneServices removes the state of services that no longer exist.
func (l *Limiter) PruneServices(exists func(service string) bool) {
	maps.DeleteFunc(l.mixes, func(service string, _ *mix) bool { return !exists(service) })
	maps.DeleteFunc(l.buckets, func(k bucketKey, _ *bucketState) bool { return !exists(k.service) })
}

// Arrive counts a request for the mix of its service, once for each request.
func (l *Limiter) Arrive(now time.Time, req Request) {
	m := l.mixes[req.Service]
	if m == nil {
		m = &mix{}
		l.mixes[req.Service] = m
	}
	m.add(now, req.Rank, req.ServiceTime)
}

// Admit decides at random whether a request may be sent, and if not, after what delay its caller
// should retry. The smaller the admitted fraction of its rank, the longer the delay, so that most
// retries are admitted, and more urgent requests return sooner. Fewer of the deferred requests are
// admitted; once that leaves a holder's queue short, the leader raises the fraction for all.
func (l *Limiter) Admit(now time.Time, req Request) (retryAfter time.Duration, ok bool) {
	b := l.buckets[bucketKey{service: req.Service, bucket: req.Bucket}]
	if b == nil || b.update != l.updates || !now.Before(l.expiresAt) {
		return 0, true
	}
	fraction := b.mix.demands(l.mixes[req.Service]).fraction(req.Rank, b.fraction)
	// The request counts only for later ones. At a daemon that gets few requests for the bucket, it
	// would make its own rank seem frequent and lower its chance.
	b.mix.add(now, req.Rank, req.ServiceTime)
	if req.Deferred {
		// Deferred requests are admitted less often than others of their rank, also where that rank's
		// fraction is 1.
		fraction *= b.fraction
	}
	if l.random.Float64() < fraction {
		return 0, true
	}
	wait := time.Duration(float64(minRetryAfter) / max(fraction, float64(minRetryAfter)/float64(maxRetryAfter)))
	return time.Duration(float64(wait) * (1 + retryJitter*(2*l.random.Float64()-1))), false
}

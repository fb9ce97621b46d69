package admit

import (
	"math/rand/v2"
	"time"
)

const (
	// lasts is how long limits hold after the leader sent them: it sends new ones a few
	// times a second, and a load that it does not see any more must not be refused.
	lasts = 2 * time.Second
	// backSoonest and backLatest bound when refused callers are asked back.
	backSoonest = 250 * time.Millisecond
	backLatest  = 3 * time.Second
	// backSpread keeps callers that were refused together from coming back together.
	backSpread = 0.3
)

// Limit is the part of the requests for a bucket of keys that may be sent on.
type Limit struct {
	Service string
	Bucket  int
	Part    float64
}

type bucket struct {
	service string
	number  int
}

// Gate lets requests through by the leader's limits.
type Gate struct {
	random *rand.Rand
	parts  map[bucket]float64
	until  time.Time
}

// NewGate returns a Gate that lets everything through.
func NewGate(seed uint64) *Gate {
	return &Gate{random: rand.New(rand.NewPCG(seed, 37))}
}

// Set replaces the limits. They were sent at a time.
func (g *Gate) Set(sent time.Time, limits []Limit) {
	g.parts, g.until = make(map[bucket]float64, len(limits)), sent.Add(lasts)
	for _, l := range limits {
		g.parts[bucket{service: l.Service, number: l.Bucket}] = l.Part
	}
}

// Admit draws whether a request for a bucket may be sent on, and if not, when its
// caller should come back: the smaller the part that is let through, the later, so
// that those who return are not refused again in the main.
func (g *Gate) Admit(now time.Time, service string, number int) (back time.Duration, ok bool) {
	part, limited := g.parts[bucket{service: service, number: number}]
	if !limited || !now.Before(g.until) || g.random.Float64() < part {
		return 0, true
	}
	wait := time.Duration(float64(backSoonest) / max(part, float64(backSoonest)/float64(backLatest)))
	return time.Duration(float64(wait) * (1 + backSpread*(2*g.random.Float64()-1))), false
}

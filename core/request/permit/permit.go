package permit

import (
	"math/rand/v2"
	"time"
)

const (
	// daemonsPerSlot is how many daemons for each slot of a server may send to it while
	// each of them still sees enough of its queue.
	daemonsPerSlot = 4.0
	// minServiceTime is the shortest service time for which permits are worth their two
	// messages.
	minServiceTime = 50 * time.Millisecond
	// minRetryAfter is the shortest delay before a retry, not counting jitter. retryJitter
	// keeps callers that were refused together from retrying together.
	minRetryAfter = 100 * time.Millisecond
	retryJitter   = 0.3
)

// Worthwhile reports whether permits pay off for requests with the given service time.
func Worthwhile(serviceTime time.Duration) bool { return serviceTime >= minServiceTime }

// QueueVisibility returns how much of a server's queue each daemon can see by itself, from 0
// to 1. If only a few daemons send to the server, each sees most of its requests, and permits
// would cost more than they gain.
func QueueVisibility(daemons, slots int) float64 {
	return min(1, daemonsPerSlot*float64(max(1, slots))/float64(max(1, daemons)))
}

// Request asks for a permit.
type Request struct {
	// Server identifies the server instance.
	Server string
	// ID identifies the request among those at the server.
	ID uint64
	// Slots is how many requests the server runs concurrently.
	Slots int
	// ServiceTime is how long the request takes at the server without waiting, and
	// LatencyBudget is how long it may take from now on, waiting included.
	ServiceTime, LatencyBudget time.Duration
	// TTL is the time after which the request has certainly ended, even if its end is
	// never reported.
	TTL time.Duration
}

// Decision is the issuer's decision on a Request.
type Decision struct {
	Granted bool
	// RetryAfter is the delay after which the caller of a refused request may retry.
	RetryAfter time.Duration
}

// Issuer counts the requests in flight at the servers for which it issues permits. It is not
// safe for concurrent use.
type Issuer struct {
	random  *rand.Rand
	servers map[string]map[uint64]entry
}

// entry is a request that was granted a permit and has not ended.
type entry struct {
	serviceTime time.Duration
	expiresAt   time.Time
}

// NewIssuer returns an Issuer that counts no requests yet.
func NewIssuer(seed uint64) *Issuer {
	return &Issuer{random: rand.New(rand.NewPCG(seed, 41)), servers: map[string]map[uint64]entry{}}
}

// Acquire decides whether a request may be sent to its server, and counts it if so. A request
// that holds a permit already is not counted twice.
func (i *Issuer) Acquire(now time.Time, r Request) Decision {
	entries := i.servers[r.Server]
	if entries == nil {
		entries = map[uint64]entry{}
		i.servers[r.Server] = entries
	}
	dropExpired(now, entries)
	delete(entries, r.ID)
	wait := queueWait(entries, r.Slots)
	if wait > 0 && wait+r.ServiceTime > r.LatencyBudget {
		return Decision{RetryAfter: i.retryAfter(wait + r.ServiceTime - r.LatencyBudget)}
	}
	entries[r.ID] = entry{serviceTime: r.ServiceTime, expiresAt: now.Add(r.TTL)}
	return Decision{Granted: true}
}

// Release stops counting a request, which has ended at its server.
func (i *Issuer) Release(server string, id uint64) {
	delete(i.servers[server], id)
	if len(i.servers[server]) == 0 {
		delete(i.servers, server)
	}
}

// Count returns the number of requests that are counted at all servers.
func (i *Issuer) Count() int {
	n := 0
	for _, entries := range i.servers {
		n += len(entries)
	}
	return n
}

// Expire stops counting requests that have certainly ended. Their end may never be reported,
// for example when the sending daemon lost power.
func (i *Issuer) Expire(now time.Time) {
	for server, entries := range i.servers {
		if dropExpired(now, entries); len(entries) == 0 {
			delete(i.servers, server)
		}
	}
}

func dropExpired(now time.Time, entries map[uint64]entry) {
	for id, e := range entries {
		if !now.Before(e.expiresAt) {
			delete(entries, id)
		}
	}
}

// queueWait estimates how long one more request waits for a slot. All slots together complete
// requests of the mean service time until one slot is free.
func queueWait(entries map[uint64]entry, slots int) time.Duration {
	slots = max(1, slots)
	if len(entries) < slots {
		return 0
	}
	total := time.Duration(0)
	for _, e := range entries {
		total += e.serviceTime
	}
	mean := total / time.Duration(len(entries))
	return mean * time.Duration(len(entries)+1-slots) / time.Duration(slots)
}

// retryAfter returns the delay before a retry of a request whose wait is too long by excess.
func (i *Issuer) retryAfter(excess time.Duration) time.Duration {
	return time.Duration(float64(max(minRetryAfter, excess)) * (1 + retryJitter*(2*i.random.Float64()-1)))
}

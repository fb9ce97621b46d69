package permit

import (
	"math/rand/v2"
	"time"
)

const (
	// fewDaemons is how many daemons for each slot of a server know its queue.
	fewDaemons = 4.0
	// leastWork is the shortest work for which permits are worth their two messages.
	leastWork = 50 * time.Millisecond
	// backLeast is the shortest wait that a refusal asks for, and backSpread keeps
	// callers that were refused together from coming back together.
	backLeast  = 100 * time.Millisecond
	backSpread = 0.3
)

// Worth tells whether permits are worth asking for where requests take so long.
func Worth(work time.Duration) bool { return work >= leastWork }

// Known is how well daemons know a server's queue by themselves, from 0 to 1. Where few send
// to it, each sees most of its requests; permits would cost more than they tell.
func Known(daemons, slots int) float64 {
	return min(1, fewDaemons*float64(max(1, slots))/float64(max(1, daemons)))
}

// Request asks for a permit.
type Request struct {
	// Server names the server and its run.
	Server string
	// ID names the request among those at the server.
	ID uint64
	// Slots is how many requests the server runs at once.
	Slots int
	// Work is how long it takes there, Patience when it should be answered at the latest.
	Work, Patience time.Duration
	// Lasts is when it has ended at the latest, whether that is reported or not.
	Lasts time.Duration
}

// Answer is the issuer's decision.
type Answer struct {
	Granted bool
	// Back is when the caller of a refused request may come back.
	Back time.Duration
}

// Issuer counts the requests at the servers that it issues permits for. It is not safe
// for concurrent use.
type Issuer struct {
	random  *rand.Rand
	servers map[string]map[uint64]entry
}

// entry is a request on its way to a server, or at it.
type entry struct {
	work time.Duration
	till time.Time
}

// NewIssuer returns an Issuer that knows of no request.
func NewIssuer(seed uint64) *Issuer {
	return &Issuer{random: rand.New(rand.NewPCG(seed, 41)), servers: map[string]map[uint64]entry{}}
}

// Ask decides whether a request may go to its server, and counts it if so. One that was
// granted a permit before has it still.
func (i *Issuer) Ask(now time.Time, q Request) Answer {
	at := i.servers[q.Server]
	if at == nil {
		at = map[uint64]entry{}
		i.servers[q.Server] = at
	}
	drop(now, at)
	delete(at, q.ID)
	wait := waitOf(at, q.Slots)
	if wait > 0 && wait+q.Work > q.Patience {
		return Answer{Back: i.back(wait + q.Work - q.Patience)}
	}
	at[q.ID] = entry{work: q.Work, till: now.Add(q.Lasts)}
	return Answer{Granted: true}
}

// End notes that a request has left its server.
func (i *Issuer) End(server string, id uint64) {
	delete(i.servers[server], id)
	if len(i.servers[server]) == 0 {
		delete(i.servers, server)
	}
}

// Count is how many requests the Issuer counts now, at all servers.
func (i *Issuer) Count() int {
	n := 0
	for _, at := range i.servers {
		n += len(at)
	}
	return n
}

// Expire forgets what has surely ended: its end may never be reported, as of requests by
// a daemon that lost power.
func (i *Issuer) Expire(now time.Time) {
	for server, at := range i.servers {
		if drop(now, at); len(at) == 0 {
			delete(i.servers, server)
		}
	}
}

func drop(now time.Time, at map[uint64]entry) {
	for id, e := range at {
		if !now.Before(e.till) {
			delete(at, id)
		}
	}
}

// waitOf is how long one more request waits for a slot: until as many of the others have
// ended as are too many, which all slots work off together.
func waitOf(at map[uint64]entry, slots int) time.Duration {
	slots = max(1, slots)
	if len(at) < slots {
		return 0
	}
	work := time.Duration(0)
	for _, e := range at {
		work += e.work
	}
	each := work / time.Duration(len(at))
	return each * time.Duration(len(at)+1-slots) / time.Duration(slots)
}

// back is when a caller may return for whom the queue is too long by so much.
func (i *Issuer) back(excess time.Duration) time.Duration {
	return time.Duration(float64(max(backLeast, excess)) * (1 + backSpread*(2*i.random.Float64()-1)))
}

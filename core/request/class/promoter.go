package class

import (
	"math"
	"time"
)

const (
	// outcomeTime is the time constant with which the outcomes of requests lose weight.
	outcomeTime = 5 * time.Second
	// assumedRequests is how many requests are assumed in addition to those counted, so that the
	// first few outcomes do not decide.
	assumedRequests = 10.0
)

// Promoter determines which share of the less urgent requests of a service are treated as of rank 0,
// so that each rank is served at least MinShare as often as all requests. The zero Promoter knows no
// outcomes. It is not safe for concurrent use.
type Promoter struct{ all, urgent outcomes }

// outcomes counts requests, recent ones with more weight.
type outcomes struct {
	ended, served float64
	at            time.Time
}

func (o *outcomes) add(now time.Time, served bool) {
	decay := math.Exp(-float64(now.Sub(o.at)) / float64(outcomeTime))
	o.ended, o.served, o.at = 1+decay*o.ended, decay*o.served, now
	if served {
		o.served++
	}
}

// share returns the share of the requests that were served, given what is assumed of it.
func (o *outcomes) share(assumed float64) float64 {
	return (o.served + assumedRequests*assumed) / (o.ended + assumedRequests)
}

// Record counts the end of a request, which was served in time or not. A promoted request has rank 0.
func (p *Promoter) Record(now time.Time, rank int, served bool) {
	p.all.add(now, served)
	if rank == 0 {
		p.urgent.add(now, served)
	}
}

// Share returns the share of the requests of each lower rank that are to be treated as of rank 0. It is
// MinShare of what is served of all requests, by how often a request of rank 0 is served. Where that is
// hardly known, rank 0 counts as served like all, which promotes most.
func (p *Promoter) Share() float64 {
	all := p.all.share(1)
	return MinShare * min(1, all/p.urgent.share(all))
}

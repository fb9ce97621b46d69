package class

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant with which requests lose weight in a Demand.
	demandTime = 10 * time.Second
	// minDemandShare is the share of a service's recent requests from which a priority counts as in
	// demand. The queue of a server has room for fewer without a reserve, and a route that is configured
	// but hardly requested must not make nearly all requests of the service less urgent.
	minDemandShare = 0.05
)

// Demand counts the recent requests for services by priority. Create it with NewDemand. It is not safe
// for concurrent use.
type Demand struct{ services map[string]*serviceDemand }

type serviceDemand struct {
	requests map[int]float64 // by priority
	total    float64
	at       time.Time
}

// NewDemand returns a Demand without any requests.
func NewDemand() *Demand { return &Demand{services: map[string]*serviceDemand{}} }

// Add counts a request.
func (d *Demand) Add(now time.Time, service string, priority int) {
	s := d.services[service]
	if s == nil {
		s = &serviceDemand{requests: map[int]float64{}, at: now}
		d.services[service] = s
	}
	if decay := math.Exp(-float64(now.Sub(s.at)) / float64(demandTime)); decay < 1 {
		s.total *= decay
		for p := range s.requests {
			s.requests[p] *= decay
		}
		s.at = now
	}
	s.requests[priority]++
	s.total++
}

// Has reports whether a priority is in demand at a service.
func (d *Demand) Has(service string, priority int) bool {
	s := d.services[service]
	return s != nil && s.requests[priority] >= minDemandShare*s.total && s.requests[priority] > 0
}

// Prune removes the services that no longer exist.
func (d *Demand) Prune(exists func(service string) bool) {
	for service := range d.services {
		if !exists(service) {
			delete(d.services, service)
		}
	}
}

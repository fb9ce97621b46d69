package queue

import "math"

const (
	// serviceTimeCV is the coefficient of variation of the service times of one kind of
	// request at one server. The work of requests differs, and other processes on the host
	// slow the server down from time to time.
	serviceTimeCV = 0.65
	// admitFraction is the fraction of the latency target within which an answer must be
	// expected for a request to be admitted. Other requests are refused.
	admitFraction = 0.8
	// maxRequestsPerSlot bounds, per slot, how many requests run or wait at a server in the model.
	maxRequestsPerSlot = 16
	// maxModelSlots bounds the slots of the model. A server with more is modelled as several equal ones that
	// share its load.
	maxModelSlots = 256
	// maxWeight is from which on the weights are scaled down, long before they overflow.
	maxWeight = 1e100
)

// Server is the queueing model of a server.
type Server struct {
	slots       int
	parts       float64 // how many servers of so many slots the server counts as
	serviceTime float64 // seconds
	maxRate     float64 // requests a second; 0 means no limit
	// lateShares is indexed by the number of other requests that an arriving request finds at the
	// server. An entry is the share of the requests with so many others ahead that are answered
	// after their latency target. A request with more others ahead than there are entries for is
	// refused.
	lateShares []float64
}

// New returns a model of a server with a number of slots, at which a request takes serviceTime
// seconds and should be answered within latencyTarget seconds. The server must not be sent more
// than maxRate requests a second, unless maxRate is 0.
func New(slots int, serviceTime, latencyTarget, maxRate float64) Server {
	s := Server{slots: min(max(1, slots), maxModelSlots), serviceTime: serviceTime, maxRate: maxRate}
	s.parts = max(1, float64(slots)/maxModelSlots)
	if serviceTime <= 0 {
		return s
	}
	for ahead := range s.slots * maxRequestsPerSlot {
		wait := max(0, float64(ahead+1-s.slots)/float64(s.slots)*serviceTime)
		if ahead >= s.slots && wait+serviceTime > admitFraction*latencyTarget {
			break
		}
		s.lateShares = append(s.lateShares, exceedingShare(serviceTime, latencyTarget-wait))
	}
	return s
}

// exceedingShare returns the share of requests whose service time exceeds a limit, assuming a
// log-normal distribution with the given mean.
func exceedingShare(mean, limit float64) float64 {
	if limit <= 0 {
		return 1
	}
	variance := math.Log(1 + serviceTimeCV*serviceTimeCV)
	logMedian := math.Log(mean) - variance/2
	return 0.5 * math.Erfc((math.Log(limit)-logMedian)/math.Sqrt(2*variance))
}

// LostRate returns how many requests a second are not answered within their latency target if they
// arrive at the given rate.
func (s Server) LostRate(rate float64) float64 {
	if rate <= 0 || s.serviceTime <= 0 {
		return 0
	}
	sent := rate
	if s.maxRate > 0 {
		sent = min(rate, s.maxRate)
	}
	return rate - sent + sent*s.lostShare(sent*s.serviceTime/s.parts)
}

// lostShare returns the share of requests that are refused or late under an offered load, which
// is given in busy slots. It is the mean of the shares of the requests that find each number of
// others at the server, weighted by how often this happens.
func (s Server) lostShare(offeredLoad float64) float64 {
	weight, total, lost := 1.0, 0.0, 0.0
	for ahead, lateShare := range s.lateShares {
		total += weight
		lost += weight * lateShare
		weight *= offeredLoad / float64(min(ahead+1, s.slots))
		if weight > maxWeight {
			weight, total, lost = 1, total/weight, lost/weight
		}
	}
	return (lost + weight) / (total + weight) // the last weight is for a full queue, which refuses the request
}

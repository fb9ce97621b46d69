package queue

import "math"

const (
	// spread is the standard deviation of the time that requests of one kind take
	// at one server, over its mean: the work differs, and neighbours on the host
	// slow it down by spells.
	spread = 0.65
	// patience is the part of the aim within which an answer must be expected for a
	// request to be let in: what comes on top is refused.
	patience = 0.8
	// longest bounds the queues that are looked at, in requests for each slot.
	longest = 16
)

// Server is a server with what its requests take there.
type Server struct {
	slots int
	work  float64 // seconds
	most  float64 // requests a second; 0 means no bound
	// late is the share of the requests that find so many others ahead which are
	// answered after their aim; a request that finds more than all of these is
	// refused.
	late []float64
}

// New returns a server with so many slots, at which a request takes work seconds
// and should be answered within aim seconds. It must not be sent more than most
// requests a second, unless that is 0.
func New(slots int, work, aim, most float64) Server {
	s := Server{slots: max(1, slots), work: work, most: most}
	if work <= 0 {
		return s
	}
	for ahead := range s.slots * longest {
		wait := max(0, float64(ahead+1-s.slots)/float64(s.slots)*work)
		if ahead >= s.slots && wait+work > patience*aim {
			break
		}
		s.late = append(s.late, takesLonger(work, aim-wait))
	}
	return s
}

// takesLonger is the share of requests whose work takes longer than a time, taking
// its times for log-normal.
func takesLonger(work, than float64) float64 {
	if than <= 0 {
		return 1
	}
	variance := math.Log(1 + spread*spread)
	median := math.Log(work) - variance/2
	return 0.5 * math.Erfc((math.Log(than)-median)/math.Sqrt(2*variance))
}

// Lost is how many requests a second are not answered within their aim, of a rate.
func (s Server) Lost(rate float64) float64 {
	if rate <= 0 || s.work <= 0 {
		return 0
	}
	sent := rate
	if s.most > 0 {
		sent = min(rate, s.most)
	}
	return rate - sent + sent*s.lostShare(sent*s.work)
}

// lostShare is the share of requests that are refused or late when the server is
// offered so many slots' work: that of the requests which find each number of
// others ahead, weighed by how often they do.
func (s Server) lostShare(offered float64) float64 {
	weight, all, lost := 1.0, 0.0, 0.0
	for ahead, late := range s.late {
		all += weight
		lost += weight * late
		weight *= offered / float64(min(ahead+1, s.slots))
	}
	return (lost + weight) / (all + weight) // the last weight is that of a full queue
}

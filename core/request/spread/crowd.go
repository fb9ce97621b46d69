package spread

import (
	"time"

	"catkinstep/core/version/fleet"
)

const (
	// crowdLearn is the weight of one report in what servers usually have.
	crowdLearn = 0.2
	// crowdLasts is how long that counts without a report: longer than the queues
	// take to empty when nothing more is sent.
	crowdLasts = 2 * time.Second
)

// group is the servers of one service in one data centre, among which requests are
// spread alike.
type group struct{ service, dataCentre string }

// crowd is how many requests of others the servers of a group have, as the last ones that
// reported it. When more comes than all of them can run, a daemon that has heard nothing
// of a server lately would take it for idle, and send it requests that will be late.
type crowd struct {
	mean float64
	at   time.Time
}

func (s *Spread) crowd(v fleet.Server) *crowd {
	g := group{service: v.Service, dataCentre: v.DataCentre}
	c := s.crowds[g]
	if c == nil {
		c = &crowd{}
		s.crowds[g] = c
	}
	return c
}

// add takes in a report.
func (c *crowd) add(now time.Time, requests float64) {
	c.mean += crowdLearn * (requests - c.mean)
	c.at = now
}

// expected is what a server has of which nothing is known now.
func (c *crowd) expected(now time.Time) float64 {
	return c.mean * max(0, 1-float64(now.Sub(c.at))/float64(crowdLasts))
}

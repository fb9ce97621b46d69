package spread

import (
	"time"
)

const (
	// groupLearn is the weight of one report in what servers usually have.
	groupLearn = 0.2
	// groupLasts is how long that counts without a report: longer than the queues
	// take to empty when nothing more is sent.
	groupLasts = 2 * time.Second
	// farGuess is how loaded a data centre of which nothing is known is taken to be,
	// as a part of how loaded this one is: most overloads are everywhere, but one that
	// is not should be found out by a few requests that would be refused here.
	farGuess = 0.75
)

// group is the servers of one service in one data centre, among which requests are
// spread alike.
type group struct{ service, dataCentre string }

// groupLoad is how many requests of others the servers of a group have, as the last ones that
// reported it. When more comes than all of them can run, a daemon that has heard nothing
// of a server lately would take it for idle, and send it requests that will be late.
type groupLoad struct {
	mean float64
	at   time.Time
}

// usualLoads are the usual loads of each data centre for one choice, worked out when
// they are first asked for: a choice may look at hundreds of servers.
type usualLoads struct {
	spread *Spread
	now    time.Time
	need   Need
	known  []usualLoad
}

type usualLoad struct {
	dataCentre string
	load       float64
}

func (u *usualLoads) of(dataCentre string) float64 {
	for _, k := range u.known {
		if k.dataCentre == dataCentre {
			return k.load
		}
	}
	load := u.spread.usualLoad(u.now, u.need, dataCentre)
	u.known = append(u.known, usualLoad{dataCentre: dataCentre, load: load})
	return load
}

// usualLoad is how many requests of others a server of a data centre is expected to have
// of which nothing is known now.
func (s *Spread) usualLoad(now time.Time, n Need, dataCentre string) float64 {
	load, known := s.groupLoad(group{service: n.Service.Name, dataCentre: dataCentre}).expected(now)
	if dataCentre == n.Near || known == 1 {
		return load
	}
	near, _ := s.groupLoad(group{service: n.Service.Name, dataCentre: n.Near}).expected(now)
	return load + (1-known)*farGuess*near
}

func (s *Spread) groupLoad(g group) *groupLoad {
	c := s.groups[g]
	if c == nil {
		c = &groupLoad{}
		s.groups[g] = c
	}
	return c
}

// add takes in a report.
func (c *groupLoad) add(now time.Time, requests float64) {
	c.mean += groupLearn * (requests - c.mean)
	c.at = now
}

// expected is what servers of the group have, by how much of that is still known.
func (c *groupLoad) expected(now time.Time) (load, known float64) {
	known = max(0, 1-float64(now.Sub(c.at))/float64(groupLasts))
	return c.mean * known, known
}

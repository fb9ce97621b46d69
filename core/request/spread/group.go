package spread

import (
	"time"
)

const (
	// groupLoadWeight is the weight of one report in the mean load of a group.
	groupLoadWeight = 0.2
	// groupLoadValidity is the time without reports after which the mean load of a group
	// counts as zero: longer than the queues take to drain when nothing more is sent.
	groupLoadValidity = 2 * time.Second
	// unknownLoadShare is the assumed load of a data centre without reports, as a share of
	// the local load. Most overloads affect all data centres. It is less than 1 so that a
	// few requests that would be refused here discover a data centre that is not overloaded.
	unknownLoadShare = 0.75
)

// serverGroup identifies the servers of one service in one data centre, over which requests
// are spread evenly.
type serverGroup struct{ service, dataCentre string }

// groupLoad is the mean number of requests from other daemons at a server of a group,
// averaged over recent reports. Without it, a daemon that has no recent report of a server
// would assume that the server is idle, and in an overload would send it requests that
// are answered late.
type groupLoad struct {
	mean      float64
	updatedAt time.Time
}

// loadCache holds the expected load of each data centre during one choice, which may
// consider hundreds of servers. Each load is computed on first use.
type loadCache struct {
	balancer *Balancer
	now      time.Time
	req      Requirements
	entries  []cachedLoad
}

type cachedLoad struct {
	dataCentre string
	load       float64
}

func (c *loadCache) forDataCentre(dataCentre string) float64 {
	for _, e := range c.entries {
		if e.dataCentre == dataCentre {
			return e.load
		}
	}
	load := c.balancer.expectedLoad(c.now, c.req, dataCentre)
	c.entries = append(c.entries, cachedLoad{dataCentre: dataCentre, load: load})
	return load
}

// expectedLoad returns the expected number of requests from other daemons at a server of a
// data centre for which there is no recent report.
func (b *Balancer) expectedLoad(now time.Time, req Requirements, dataCentre string) float64 {
	load, confidence := b.groupLoad(serverGroup{service: req.Service.Name, dataCentre: dataCentre}).expected(now)
	if dataCentre == req.LocalDataCentre || confidence == 1 {
		return load
	}
	localLoad, _ := b.groupLoad(serverGroup{service: req.Service.Name, dataCentre: req.LocalDataCentre}).expected(now)
	return load + (1-confidence)*unknownLoadShare*localLoad
}

func (b *Balancer) groupLoad(g serverGroup) *groupLoad {
	load := b.groupLoads[g]
	if load == nil {
		load = &groupLoad{}
		b.groupLoads[g] = load
	}
	return load
}

// add updates the mean with the load from one report.
func (g *groupLoad) add(now time.Time, load float64) {
	g.mean += groupLoadWeight * (load - g.mean)
	g.updatedAt = now
}

// expected returns the mean load scaled by its confidence, and that confidence, which
// decreases from 1 to 0 with the time since the last report.
func (g *groupLoad) expected(now time.Time) (load, confidence float64) {
	confidence = max(0, 1-float64(now.Sub(g.updatedAt))/float64(groupLoadValidity))
	return g.mean * confidence, confidence
}

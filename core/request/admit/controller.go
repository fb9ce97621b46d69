package admit

import "time"

const (
	// overloadedFraction is the fraction of a server's load reports that must show a long
	// queue for the server to count as overloaded.
	overloadedFraction = 0.3
	// overloadTTL is how long after an overload a limit may still start: queues drain within
	// the time of one or two requests.
	overloadTTL = 2 * time.Second
	// contentionTTL is how long a server counts as contended after an overload. Requests
	// to a contended server need permits, which keep its queue short; the short queue
	// must not end the contention at once.
	contentionTTL = 10 * time.Second
	// raiseFactor and lowerFactor adjust the estimated capacity of a server once a round:
	// up when its queue is short under a limit, down when its queue is long.
	raiseFactor = 1.25
	lowerFactor = 0.95
	// minCorrection and maxCorrection bound the product of these adjustments.
	minCorrection = 0.7
	maxCorrection = 16.0
)

// Controller detects overloaded servers and corrects the estimates of their capacity by
// feedback. The estimated service time of requests and the estimated speed of a server may
// be wrong. Limits based on them alone could refuse requests for ever that an idle server
// could answer, because refused requests yield no measurements. So a limit starts only after
// the server's own load reports show a long queue, and these reports also correct the estimate of
// its capacity.
type Controller struct {
	servers map[string]*serverState
}

// serverState counts a server's load reports since the last round, and holds what was derived
// from earlier ones.
type serverState struct {
	loadReports, longQueueReports int
	correction                    float64
	overloadedAt                  time.Time
	limited                       bool
}

// NewController returns a Controller without any reports.
func NewController() *Controller { return &Controller{servers: map[string]*serverState{}} }

// Report counts load reports of a server, and how many of them show a long queue.
func (c *Controller) Report(server string, loadReports, longQueueReports int) {
	s := c.servers[server]
	if s == nil {
		s = &serverState{correction: 1}
		c.servers[server] = s
	}
	s.loadReports += loadReports
	s.longQueueReports += longQueueReports
}

// EndRound updates all servers from the reports since the last round.
func (c *Controller) EndRound(now time.Time) {
	for server, s := range c.servers {
		s.endRound(now)
		if !s.limited && s.correction == 1 && now.Sub(s.overloadedAt) > contentionTTL {
			delete(c.servers, server)
		}
	}
}

func (s *serverState) endRound(now time.Time) {
	if s.loadReports == 0 {
		return
	}
	overloaded := float64(s.longQueueReports) >= overloadedFraction*float64(s.loadReports)
	switch {
	case overloaded:
		s.overloadedAt = now
		s.correction = max(minCorrection, s.correction*lowerFactor)
	case s.limited:
		s.correction = min(maxCorrection, s.correction*raiseFactor)
	default:
		s.correction = 1
	}
	s.loadReports, s.longQueueReports = 0, 0
}

// Contended reports whether a server was overloaded recently, so that requests to it should
// need permits from a daemon that sees its whole queue.
func (c *Controller) Contended(now time.Time, server string) bool {
	s := c.servers[server]
	return s != nil && !s.overloadedAt.IsZero() && now.Sub(s.overloadedAt) < contentionTTL
}

// Capacity returns the load that may be sent to a server, given its estimated capacity and
// the load offered to it, and whether the load must be limited.
func (c *Controller) Capacity(now time.Time, server string, estimated, offered float64) (float64, bool) {
	s := c.servers[server]
	if s == nil {
		return 0, false
	}
	capacity := estimated * s.correction
	s.limited = offered > capacity && (s.limited || now.Sub(s.overloadedAt) < overloadTTL)
	return capacity, s.limited
}

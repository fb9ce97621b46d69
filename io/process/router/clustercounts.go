package router

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/rate"
	"catkinstep/core/process/speed"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// clusterCounts are the leader's sums of all daemons' request counts and server statistics.
type clusterCounts struct {
	meter     *rate.Meter
	slowdowns *speed.Estimator
	// latestSlowdowns are the slowdowns at the end of the last window.
	latestSlowdowns map[string]float64
	// queueReports are the reports on the servers' queues since the last window was closed.
	queueReports []keeper.QueueReport
}

// serverStats are the measurements of a server since the last report.
type serverStats struct {
	speed.Sample
	// loadReports and longQueueReports are the numbers of responses that reported the load, and
	// that reported a long queue.
	loadReports, longQueueReports int
}

// serverStatsFrom converts another daemon's message.
func serverStatsFrom(p *wire.Pace) serverStats {
	return serverStats{Sample: speed.Sample{Slowdown: float64(p.Factor), Responses: int(p.Answers)}, loadReports: int(p.Heard), longQueueReports: int(p.Full)}
}

// with returns the sum of both.
func (s serverStats) with(other serverStats) serverStats {
	return serverStats{Sample: s.With(other.Sample), loadReports: s.loadReports + other.loadReports, longQueueReports: s.longQueueReports + other.longQueueReports}
}

// toWire returns the message for other daemons.
func (s serverStats) toWire(server string) *wire.Pace {
	return &wire.Pace{Server: server, Factor: float32(s.Slowdown), Answers: uint32(s.Responses), Heard: uint32(s.loadReports), Full: uint32(s.longQueueReports)}
}

func newClusterCounts() *clusterCounts {
	return &clusterCounts{meter: rate.New(keeper.Buckets), slowdowns: speed.New()}
}

// add adds the counts of one daemon.
func (c *clusterCounts) add(message *wire.Gossip) {
	for _, x := range message.Heat {
		c.meter.Add(x.Service, int(x.Bucket), int(x.Requests), millis(x.WorkMillis), millis(x.AimMillis))
	}
	for _, p := range message.Paces {
		stats := serverStatsFrom(p)
		c.slowdowns.Add(p.Server, stats.Sample)
		if stats.loadReports > 0 {
			c.queueReports = append(c.queueReports, keeper.QueueReport{Server: p.Server, LoadReports: stats.loadReports, LongQueueReports: stats.longQueueReports})
		}
	}
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// closeWindow closes the current window and returns the load of each service.
func (c *clusterCounts) closeWindow(now time.Time, cfg config.Config, servers *fleet.Fleet, rateLimits map[string]float64) []keeper.LoadMsg {
	c.slowdowns.Retain(func(server string) bool { _, ok := servers.Find(server); return ok })
	slowdowns := c.slowdowns.Slowdowns()
	c.latestSlowdowns = slowdowns
	var out []keeper.LoadMsg
	for _, l := range c.meter.CloseWindow(now) {
		service, _ := cfg.Service(l.Service)
		out = append(out, keeper.LoadMsg{Service: l.Service, BusySlots: l.BusySlots, ServiceTimeSeconds: l.ServiceTime.Seconds(), LatencyTarget: l.LatencyTarget,
			Slowdowns: slowdowns, ColdRate: service.ColdRate, RateLimits: rateLimits, Reports: c.queueReports})
		c.queueReports = nil // sent once: the reports cover the holders of all services
	}
	return out
}

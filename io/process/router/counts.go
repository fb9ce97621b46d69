package router

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/speed"
)

// countReport describes the last report of this daemon's counts. The next report depends on it.
type countReport struct {
	sentAt time.Time
	// relayedStats are the server statistics that other daemons of the data centre have
	// sent since the last report. They are relayed with the next one.
	relayedStats []*wire.Pace
	// leaderEpoch is the epoch of the leader that received the report.
	leaderEpoch uint64
}

// sendCounts reports the requests for keys and the slowdowns of servers, twice
// a second. The report goes to a relay of the data centre and from there to the leader, which
// receives one message per relay instead of one per daemon.
func (c *control) sendCounts(now time.Time, isRelay bool) {
	if now.Sub(c.lastCountReport.sentAt) < countReportInterval {
		return
	}
	message := c.newGossip(now)
	previous := c.lastCountReport
	c.lastCountReport = countReport{sentAt: now, leaderEpoch: c.r.current.Load().table.Epoch}
	message.Heat, message.Paces = c.r.takeCounts(previous.relayedStats, c.lastCountReport.leaderEpoch != previous.leaderEpoch)
	if c.keeper != nil {
		c.addCounts(message)
		return
	}
	target := c.members.AddressOf(c.r.current.Load().table.Leader.Daemon)
	if relays := c.members.LocalRelays(now); !isRelay && len(relays) > 0 {
		target = relays[0]
	}
	if target != "" && hasCounts(message) {
		go c.r.sendGossip(target, message)
	}
}

// hasCounts reports whether a gossip message contains counts of requests or statistics of
// servers.
func hasCounts(message *wire.Gossip) bool {
	return len(message.Heat)+len(message.Paces) > 0
}

// addCounts adds the counts of one or more daemons to the leader's sums.
func (c *control) addCounts(message *wire.Gossip) { c.clusterCounts.add(message) }

// receiveCounts handles another daemon's counts. The leader adds them up; a relay forwards
// them with its own.
func (c *control) receiveCounts(now time.Time, message *wire.Gossip) {
	switch {
	case c.keeper != nil:
		c.addCounts(message)
	case hasCounts(message) && message.DataCentre == c.r.self.DataCentre && c.members.IsRelay(now):
		c.r.addBucketLoads(message.Heat)
		c.lastCountReport.relayedStats = append(c.lastCountReport.relayedStats, message.Paces...)
	}
}

// addBucketLoads adds the loads on buckets that another daemon counted to this daemon's.
func (r *Router) addBucketLoads(loads []*wire.Heat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range loads {
		k := bucketKey{service: x.Service, bucket: x.Bucket}
		r.bucketLoads[k] = r.bucketLoads[k].with(x.Requests, millis(x.WorkMillis), millis(x.AimMillis))
	}
}

// takeCounts returns the request counts and the server statistics since the last call,
// including those relayed from other daemons, and resets them. For a new leader, which has
// no statistics yet, the slowdowns cover earlier responses as well.
func (r *Router) takeCounts(relayed []*wire.Pace, newLeader bool) ([]*wire.Heat, []*wire.Pace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []*wire.Heat
	for k, load := range r.bucketLoads {
		loads = append(loads, &wire.Heat{Service: k.service, Bucket: k.bucket, Requests: load.requests,
			WorkMillis: uint32(load.serviceTime.Milliseconds()), AimMillis: uint32(load.latencyTarget.Milliseconds())})
	}
	clear(r.bucketLoads)
	keyed := map[string]bool{}
	for _, s := range r.current.Load().keyedServices() {
		keyed[s] = true
	}
	statsByServer := map[string]serverStats{}
	for _, p := range relayed {
		statsByServer[p.Server] = statsByServer[p.Server].with(serverStatsFrom(p))
	}
	for _, p := range r.balancer.TakeStats(newLeader) {
		if server, ok := r.current.Load().fleet.Find(p.Server); ok && keyed[server.Service] {
			stats := serverStats{Sample: speed.Sample{Slowdown: p.Slowdown, Responses: p.Responses}, loadReports: p.LoadReports, longQueueReports: p.LongQueueReports}
			statsByServer[p.Server] = statsByServer[p.Server].with(stats)
		}
	}
	var reports []*wire.Pace
	for id, stats := range statsByServer {
		reports = append(reports, stats.toWire(id))
	}
	return loads, reports
}

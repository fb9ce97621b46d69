package spread

import (
	"time"

	"catkinstep/core/version/fleet"
)

// routeStats holds the measurements of a route.
type routeStats struct {
	typicalSeconds float64 // service time at a server with a slowdown of 1
	responseKB     float64 // mean size of a response
	responses      int
}

// serviceStats holds the measurements of a service.
type serviceStats struct {
	// meanSeconds is the mean service time of the requests of all routes at a server with a
	// slowdown of 1.
	meanSeconds float64
	responses   int
}

// ServerStats is the measured slowdown and load of a server.
type ServerStats struct {
	Server string
	// Slowdown is the mean service time relative to a server of typical speed, and Responses
	// is the number of responses that it is based on.
	Slowdown  float64
	Responses int
	// LoadReports counts the reports of the server's load since the stats were last taken,
	// and LongQueueReports those of them with at least as many requests waiting as there are
	// slots. Requests that were not run because the server was full count in both. Those that it
	// declined at a short queue count in neither.
	LoadReports, LongQueueReports int
}

// TakeStats returns the stats gathered since the last call, in no particular order, and
// resets the counts. With all set, the slowdowns cover earlier responses as well, for a
// receiver that has no stats yet.
func (b *Balancer) TakeStats(all bool) []ServerStats {
	var out []ServerStats
	for id, st := range b.servers {
		stats := ServerStats{Server: id, Responses: st.newSlowdowns, LoadReports: st.loadReports, LongQueueReports: st.longQueueReports}
		switch {
		case all:
			stats.Slowdown, stats.Responses = st.slowdown, st.slowdownSamples
		case st.newSlowdowns > 0:
			stats.Slowdown = st.newSlowdownSum / float64(st.newSlowdowns)
		}
		if stats.Responses > 0 || stats.LoadReports > 0 {
			out = append(out, stats)
		}
		st.loadReports, st.longQueueReports, st.newSlowdowns, st.newSlowdownSum = 0, 0, 0, 0
	}
	return out
}

// ServiceTime returns the expected time of a request at a server without queueing.
func (b *Balancer) ServiceTime(now time.Time, req Requirements, server fleet.Server) time.Duration {
	typicalSeconds := b.typicalSeconds(req)
	return seconds(typicalSeconds * b.currentSlowdown(now, b.stateOf(server), b.meanSeconds(req)))
}

// LatencyBudget returns how long a request may take in total if it has to queue.
func (b *Balancer) LatencyBudget(req Requirements) time.Duration { return b.latencyBudget(req) }

// TypicalServiceTime returns the service time of a request at a server with a slowdown of 1.
func (b *Balancer) TypicalServiceTime(req Requirements) time.Duration {
	return seconds(b.typicalSeconds(req))
}

// currentSlowdown returns the expected slowdown of a server. A request that has been in
// flight for much longer than the mean of the service raises it at once, since a server that has
// become very slow sends no responses from which to update the estimate.
func (b *Balancer) currentSlowdown(now time.Time, st *serverState, meanSeconds float64) float64 {
	estimate := st.slowdown
	if st.slowdownFromReports.known() {
		estimate = st.slowdownFromReports.expected(now)
	}
	if len(st.startTimes) > 0 && meanSeconds > 0 {
		estimate = max(estimate, now.Sub(st.startTimes[0]).Seconds()/meanSeconds/2)
	}
	return min(maxSlowdown, estimate)
}

// recordResponse updates the route's response size and typical service time, and the server's
// slowdown.
func (b *Balancer) recordResponse(req Requirements, st *serverState, took time.Duration, report *Report) {
	if report != nil {
		stats := b.routeStats(req)
		stats.responseKB += responseWeight * (float64(report.Bytes)/1024 - stats.responseKB)
	}
	if report != nil && report.Waiting > 0 {
		return // the request may have queued, so its latency says little about the service time
	}
	stats := b.routeStats(req)
	t := took.Seconds()
	slowdown := b.slowdownDuring(st, stats, t, report)
	st.slowdownSamples = min(st.slowdownSamples+1, maxSlowdownSamples)
	stats.responses++
	weight := max(responseWeight/4, 1/float64(stats.responses+1))
	stats.typicalSeconds += weight * (t/slowdown - stats.typicalSeconds)
	stats.typicalSeconds = max(0.001, stats.typicalSeconds)
	b.recordServiceTime(req.Service.Name, t/slowdown)
}

// recordServiceTime updates the mean service time of a service.
func (b *Balancer) recordServiceTime(service string, t float64) {
	stats := b.services[service]
	if stats == nil {
		stats = &serviceStats{}
		b.services[service] = stats
	}
	stats.responses++
	stats.meanSeconds += max(responseWeight/4, 1/float64(stats.responses)) * (t - stats.meanSeconds)
}

// meanSeconds returns the mean service time of all requests to a request's service. The requests
// that run or wait at a server may be of other routes, and take much longer than this one.
func (b *Balancer) meanSeconds(req Requirements) float64 {
	if stats := b.services[req.Service.Name]; stats != nil {
		return stats.meanSeconds
	}
	return b.typicalSeconds(req)
}

// slowdownDuring returns the server's slowdown during a request that took t seconds. It is
// the reported one if there is one, else an estimate from the times of its responses.
func (b *Balancer) slowdownDuring(st *serverState, stats *routeStats, t float64, report *Report) float64 {
	if report != nil && report.Slowdown > 0 {
		return report.Slowdown
	}
	st.slowdown += responseWeight * (t/stats.typicalSeconds - st.slowdown)
	st.slowdown = max(minSlowdown, min(maxSlowdown, st.slowdown))
	st.addSlowdown(st.slowdown)
	return st.slowdown
}

func (b *Balancer) routeStats(req Requirements) *routeStats {
	stats := b.routes[req.Route]
	if stats == nil {
		stats = &routeStats{typicalSeconds: initialTimeShare * req.LatencyTarget.Seconds(), responseKB: initialResponseKB}
		b.routes[req.Route] = stats
	}
	return stats
}

func (b *Balancer) typicalSeconds(req Requirements) float64 { return b.routeStats(req).typicalSeconds }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

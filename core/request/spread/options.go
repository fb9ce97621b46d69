package spread

import "time"

const (
	// initialTimeShare is the assumed typical service time of a route before its first
	// response, as a share of its latency target.
	initialTimeShare = 0.5
	// responseWeight is the weight of one response in the moving averages of a server's
	// slowdown and of a route's response size. In the average of a route's service time, which
	// many servers contribute to, one response has at least a quarter of this weight.
	responseWeight = 0.08
	// maxSlowdownSamples limits the number of responses on which a server's slowdown is
	// reported to be based. With responseWeight, older ones contribute little to the average.
	maxSlowdownSamples = 25
	// outcomeWeight is the weight of one outcome in the moving average of a server's failures.
	outcomeWeight = 0.15
	// reportHalfWeightAge is the age at which a report of a server's load has half its weight.
	// It is about the service time of a request, after which the queue has changed.
	reportHalfWeightAge = 400 * time.Millisecond
	// peerLoadValidity is how long another daemon's count of its requests is used. The
	// interval between two counts grows with the number of daemons in the data centre. With up
	// to twenty daemons, a count is used until the next one has arrived.
	peerLoadValidity = 2 * reportHalfWeightAge
	// maxLocalSlowdown bounds the slowdown of a local server that can serve a request now.
	// If the best local server has a free slot and a slowdown below this, remote servers are not
	// considered. Servers of one service differ in speed by a factor of up to three.
	maxLocalSlowdown = 1.6
	// maxSlowdown and minSlowdown bound a server's slowdown, so that one outlier does not
	// favour or exclude the server for long.
	maxSlowdown = 25.0
	minSlowdown = 0.25
	// remoteCostPerKB is the surcharge on the cost of a remote server for each kilobyte of its
	// response, and of a large request body. Costs are times, so a remote server must save this much time to be chosen over
	// a local one. The surcharge stands for the price of traffic between data centres, not for
	// the network latency, which is only a millisecond or two.
	remoteCostPerKB = 100 * time.Millisecond
	// minLargeBody is the size in bytes from which a request body counts for that surcharge.
	minLargeBody = 8 << 10
	// surelyInTimeShare is the share of the time left until a request's latency target within
	// which the expected response is surely in time.
	surelyInTimeShare = 0.6
	// stopSafety is how many times the expected latency must be left until this daemon ends for a request to be
	// sent: some take longer than expected, and would be cut.
	stopSafety = 1.5
	// rankCost times a server's rank for this daemon (see package subset) is the surcharge on
	// its cost, as a share of the typical service time. From maxRank on the surcharge no longer
	// grows: any of these servers may look idle and yet have a queue of requests from other
	// daemons.
	rankCost = 0.4
	maxRank  = 3
	// earlyResetShare is the share of the typical service time within which a connection
	// reset means that the server accepts no more requests. A later reset means that the
	// server was lost while the request may have been running there.
	earlyResetShare = 0.1
	// initialResponseKB is the assumed response size of a route before its first response.
	initialResponseKB = 1.0
	// jitter is the largest random increase of a cost, as a share of it. It spreads daemons
	// with the same information over servers of about equal cost.
	jitter = 0.15
	// failingThreshold is the failure rate above which a server gets only a few requests, as
	// probes.
	failingThreshold = 0.35
	// probeShare is the share of requests that may be sent to a failing server as probes.
	probeShare = 0.04
	// connectionRefusedPause is how long no requests are sent to a server that refused a
	// connection.
	connectionRefusedPause = 400 * time.Millisecond
	// connectFailedPause is how long no requests are sent to a server after a connection
	// attempt failed. Then a single request tries again, since each attempt may delay its
	// caller by the full connection timeout.
	connectFailedPause = 300 * time.Millisecond
	// minRetryAfter is the shortest delay after which a caller whose request this daemon
	// refused is asked to retry, before the delay is randomised.
	minRetryAfter = 60 * time.Millisecond
	// deferredBudgetShare is the latency budget of deferred requests, as a share of that of others.
	// Queues are kept as long as deferred requests may wait, so that the others find room.
	deferredBudgetShare = 0.6
	// coldBurstShare is the share of a cold server's burst allowance that the bursts of all
	// daemons may use together. The allowance is the limit by ColdFactor and ColdSlack less
	// ColdRate.
	coldBurstShare = 0.75
	// assumedColdTime is how long a server that may have restarted counts as cold, unless its
	// entry in the server list says how long it stays cold.
	assumedColdTime = 3 * time.Second
)

// Limits are the limits on the load of a server, and what a daemon needs to know in order to
// compute its share of them: the number of daemons and its own position.
type Limits struct {
	// ColdFactor and ColdSlack limit the requests that all daemons of the site together send
	// to a cold server to ColdRate*ColdFactor+ColdSlack in any second.
	ColdFactor float64
	ColdSlack  float64
	// Daemons is the number of daemons of the site, and Members are their names.
	Daemons int
	Members Members
	// LocalDaemons is the number of daemons in this daemon's data centre, and LocalIndex is
	// its position among them, from 0.
	LocalDaemons, LocalIndex int
}

// Members are the daemons of the site, as one of them knows them.
type Members struct {
	// Self is this daemon's name, and Others are the names of all others that may send requests.
	Self   string
	Others []string
	// Complete is set once this daemon has read the list of all daemons. Until then there may be
	// any number of others.
	Complete bool
}

// WithMembers returns the limits with other daemons.
func (l Limits) WithMembers(m Members) Limits {
	l.Daemons, l.Members = len(m.Others)+1, m
	return l
}

// WithLocalDaemons returns the limits with another number of daemons in the data centre and
// position among them.
func (l Limits) WithLocalDaemons(count, index int) Limits {
	l.LocalDaemons, l.LocalIndex = count, index
	return l
}

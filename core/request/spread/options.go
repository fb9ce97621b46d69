package spread

import "time"

const (
	// initialTimeShare is the assumed typical service time of a route before its first
	// answer, as a share of its latency target.
	initialTimeShare = 0.5
	// answerWeight is the weight of one answer in a server's slowdown and in the mean answer
	// size. The least weight in a route's typical service time is a quarter of it.
	answerWeight = 0.08
	// maxSlowdownSamples is the maximum number of answers that a server's slowdown is
	// reported to be based on: with the weight above, older ones contribute little.
	maxSlowdownSamples = 25
	// outcomeWeight is the weight of one outcome in the failure rate.
	outcomeWeight = 0.15
	// reportDecay is the age at which a report of a server's load has half its weight. It is
	// about the service time of a request, after which the queue has changed.
	reportDecay = 400 * time.Millisecond
	// peerLoadValidity is how long another daemon's count of its requests is used: until
	// the next count is due in a data centre of twenty daemons.
	peerLoadValidity = 2 * reportDecay
	// maxLocalSlowdown is the slowdown from which a local server with a free slot no longer
	// keeps remote servers from being considered. Servers of one service differ in speed by
	// a factor of up to three.
	maxLocalSlowdown = 1.6
	// maxSlowdown and minSlowdown bound a server's slowdown, so that one outlier does not
	// favour or exclude the server for long.
	maxSlowdown = 25.0
	minSlowdown = 0.25
	// remoteCostPerKB is the time that a remote server must save for each kilobyte of its
	// answer. It represents the price of traffic between data centres; the network latency
	// itself is only a millisecond or two.
	remoteCostPerKB = 100 * time.Millisecond
	// rankCost is the cost of a server for each group of daemons that prefers it more than
	// this one does, as a share of the typical service time. It grows up to maxRank only:
	// beyond that, a server that looks idle may equally well have a queue of requests from
	// other daemons.
	rankCost = 0.4
	maxRank  = 3
	// earlyResetShare is the share of the typical service time within which a connection
	// reset means that the server accepts no more requests. A later reset means that the
	// server was lost while it ran the request.
	earlyResetShare = 0.1
	// initialAnswerKB is the assumed answer size of a route before its first answer.
	initialAnswerKB = 1.0
	// jitter randomises the costs, so that daemons with the same information spread over
	// servers of about equal cost.
	jitter = 0.15
	// failingThreshold is the failure rate above which a server gets only a few requests, as
	// probes.
	failingThreshold = 0.35
	// probeShare is the share of requests that may be sent to a failing server as probes.
	probeShare = 0.04
	// refusedPause is how long no requests are sent to a server that refused a connection.
	refusedPause = 400 * time.Millisecond
	// connectFailedPause is how long no requests are sent to a server after a connection
	// attempt failed. Then a single request tries again, since each attempt may delay its
	// caller by the full connection timeout.
	connectFailedPause = 300 * time.Millisecond
	// minRetryAfter is the minimum retry delay of a refusal, before it is randomised.
	minRetryAfter = 60 * time.Millisecond
	// coldBurstShare is the share of a cold server's limit beyond its steady rate that the
	// bursts of all daemons may use together.
	coldBurstShare = 0.75
	// assumedColdTime is how long a server that may have restarted counts as cold, unless
	// its entry says how long it is cold.
	assumedColdTime = 3 * time.Second
)

// Limits bound the load that all daemons of a site together may put on a server.
type Limits struct {
	// ColdFactor and ColdSlack limit the requests to a cold server to
	// ColdRate*ColdFactor+ColdSlack in any second.
	ColdFactor float64
	ColdSlack  float64
	// Daemons is the number of daemons of the site.
	Daemons int
	// Index is this daemon's position among them, from 0.
	Index int
	// LocalDaemons is the number of daemons in this daemon's data centre, and LocalIndex is
	// its position among them, from 0.
	LocalDaemons, LocalIndex int
}

// WithDaemons returns the limits with another number of daemons and position among them.
func (l Limits) WithDaemons(count, index int) Limits {
	l.Daemons, l.Index = max(1, count), index
	return l
}

// WithLocalDaemons returns the limits with another number of daemons in the data centre and
// position among them.
func (l Limits) WithLocalDaemons(count, index int) Limits {
	l.LocalDaemons, l.LocalIndex = count, index
	return l
}

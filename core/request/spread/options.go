package spread

import "time"

const (
	// firstGuess is taken for the time of a kind of request before the first
	// answer: about half of the usual aim.
	firstGuessShare = 0.5
	// learn is the weight of one answer in the usual times.
	learn = 0.08
	// paceMemory is how many answers a server's factor stands for: what the
	// weights above leave of older ones is little.
	paceMemory = 25
	// forget is the weight of one outcome in the share of failures.
	forget = 0.15
	// reportFades is how fast a report of a server's load loses its weight: about
	// the time that a request runs, after which the queue is another one.
	reportFades = 400 * time.Millisecond
	// peerLoadLasts is how long another daemon's count of its requests holds: until
	// the next one should have come, in a data centre of twenty daemons.
	peerLoadLasts = 2 * reportFades
	// freeFactor is how slow a near server with a free slot may be for far ones not
	// to be looked at: servers of one service differ by up to three times.
	freeFactor = 1.6
	// slowest and fastest bound a server's factor, so that one odd answer does
	// not rule it in or out for long.
	slowest = 25.0
	fastest = 0.25
	// farPerKilobyte is the price of an answer from another data centre, as the
	// time that it must save for each kilobyte: bytes between data centres are
	// dear, and the way itself takes a millisecond or two only.
	farPerKilobyte = 100 * time.Millisecond
	// rankStep is the price of a server for each group of daemons that turns to it
	// before this one, as a part of the usual time of the request, and rankMost from
	// which on it is not raised: a server thought to be idle that far away may as well
	// have a queue of others' requests.
	rankStep = 0.4
	rankMost = 3
	// turnedAwayShare is the part of a request's usual time within which a reset
	// means that the server took no more, and not that it was lost with the request.
	turnedAwayShare = 0.1
	// firstKilobytes is taken for the size of answers before the first.
	firstKilobytes = 1.0
	// jitter spreads daemons that know the same over servers that look alike.
	jitter = 0.15
	// sickShare is the share of failures from which a server gets a trickle only.
	sickShare = 0.35
	// trickle is how often a sick server is tried, as a share of its requests.
	trickle = 0.04
	// refusedPause is how long a server that refuses connections is left alone.
	refusedPause = 400 * time.Millisecond
	// silentPause is how long a server to which no connection could be made is left
	// alone before one request tries again: each try costs its caller the time that
	// a connection may take.
	silentPause = 300 * time.Millisecond
	// retryAtLeast is the shortest wait that a refusal asks for.
	retryAtLeast = 60 * time.Millisecond
	// coldMargin is the part of what a cold server bears beyond its rate that the
	// daemons' first requests may use up together.
	coldMargin = 0.75
	// restartDoubt is how long a server that may have restarted counts as cold
	// before its entry says so or not.
	restartDoubt = 3 * time.Second
)

// Limits are what the daemons of a site may do to a server together.
type Limits struct {
	// ColdFactor and ColdSlack allow a cold server ColdRate*ColdFactor+ColdSlack
	// requests in any second.
	ColdFactor float64
	ColdSlack  float64
	// Daemons is how many daemons there are.
	Daemons int
	// Index is where this daemon stands among them, from 0.
	Index int
	// Near is how many daemons there are in this one's data centre, and NearIndex where
	// it stands among them, from 0.
	Near, NearIndex int
}

// WithDaemons returns the limits among another number of daemons.
func (l Limits) WithDaemons(n, index int) Limits {
	l.Daemons, l.Index = max(1, n), index
	return l
}

// WithNear returns the limits among another number of daemons of the data centre.
func (l Limits) WithNear(n, index int) Limits {
	l.Near, l.NearIndex = n, index
	return l
}

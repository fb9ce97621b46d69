package keeper

import "time"

const (
	// DefaultGrantTTL is how long a grant lasts. While a server does not respond, its keys
	// are unavailable for that long. A leader that is frozen must be replaced, and its
	// grants renewed, within that time; replacing it takes two seconds.
	DefaultGrantTTL = 3500 * time.Millisecond
	// renewalsPerTTL is how often a grant is renewed within its TTL: three renewals in a
	// row may be lost before the grant expires.
	renewalsPerTTL = 4
	// maxClockRatio bounds how much longer a grant lasts on a server whose clock is slow.
	maxClockRatio = 1.02
	// expiryMargin covers a call that arrives just as its connection is closed.
	expiryMargin = 200 * time.Millisecond
	// defaultLeaderLease is how long a leader that cannot confirm its epoch goes on
	// renewing grants, so that a data centre that is cut off together with its leader
	// keeps its keys. A new leader that cannot reach the previous one assumes that it
	// goes on for all of that time.
	defaultLeaderLease = 30 * time.Second
	// maxGrantCall bounds a grant call, from writing it to closing its connection.
	maxGrantCall = time.Second
	// maxGrantDelay is how long after the leader's decision a grant may still arrive.
	maxGrantDelay = sendWindow + maxGrantCall
	// checksPerLease is how often per leader lease the epoch is read from the store if no
	// watch has reported it.
	checksPerLease = 3
	// callRetryDelay is the pause before the next call to a server after a failed one.
	callRetryDelay = 300 * time.Millisecond
	// sendWindow is how long after the decision a call may be written. It keeps a host that
	// was frozen in between from sending outdated calls.
	sendWindow = 500 * time.Millisecond
	// suspendThreshold is the time between two ticks beyond which this host may have been
	// frozen and this leader replaced. The epoch is then checked before any other call.
	suspendThreshold = time.Second
	// fleetSettleTime is how long the list of servers must be unchanged before the keys of
	// a new service are divided: at startup servers register one after the other.
	fleetSettleTime = 700 * time.Millisecond
	// saveInterval is the shortest time between saves of changes that may be lost without
	// harm: a new leader would only release and grant once more.
	saveInterval = time.Second
	// storeRetryDelay is the pause before a read after a save or read without an answer.
	storeRetryDelay = 400 * time.Millisecond
	// balanceInterval is the time between two balancing rounds of a service; the load
	// counts that they use are updated as often.
	balanceInterval = 500 * time.Millisecond
	// firstKeysInterval is the time between two rounds that give keys to servers without
	// any: moves that reduce present losses come first.
	firstKeysInterval = 1500 * time.Millisecond
	// coldRateShare is the share of a cold server's request rate that its first keys may
	// use: the daemons divide the rate among themselves and don't use all of it.
	coldRateShare = 0.5
	// loadHorizon is how long the counted load is assumed to last. It is longer than a key
	// stays hot, since most of the load is steady, but much shorter than steady load lasts.
	loadHorizon = 8 * time.Second
	// initialMoveDuration is how long a move is assumed to close a range before the first
	// move of the service, and moveDurationWeight the weight of one move in the
	// exponential average.
	initialMoveDuration = 200 * time.Millisecond
	moveDurationWeight  = 0.1
	// minMoveCost is the least cost of a move, in requests, and moveCostPerDaemon its cost
	// per daemon: a move changes the table three times, and all daemons fetch each change.
	minMoveCost       = 1.0
	moveCostPerDaemon = 0.05
	// allKeysHandoverCost is what handing over all keys would cost, in requests: servers
	// hand over what they know of each key.
	allKeysHandoverCost = 30.0
	// maxCandidates is how many sources and targets are considered for a move.
	maxCandidates = 4
	// hotBucketShare is the least share of its server's load with which a bucket may move
	// alone.
	hotBucketShare = 0.05
	// lossTolerance is the largest difference in lost requests a second that counts as none.
	lossTolerance = 0.05
	// unresponsivePeriod is how long a server that did not answer a call gets no more keys.
	// One that died while its entry stays listed would otherwise get some back at once,
	// and each attempt makes these keys unavailable for a whole grant TTL.
	unresponsivePeriod = 10 * time.Second
	// minMoveLimit bounds the concurrent moves of a small service: requests for a range are
	// refused while those that run on it end, for up to a second. Large services may move
	// one range per serversPerMove servers, as balancing them would take minutes otherwise.
	minMoveLimit   = 3
	serversPerMove = 12
	// publishInterval is the shortest time between two published tables: with many
	// concurrent moves, each step of each move would publish one.
	publishInterval = 50 * time.Millisecond
	// Buckets is the number of key ranges of equal length for which load is counted: ten
	// for each of 200 servers, so that keys can be distributed evenly among them.
	Buckets = 2048
	// limitInterval is the time between two rounds of limits for overloaded holders; the
	// counts that they are computed from are updated as often.
	limitInterval = 500 * time.Millisecond
	// baseFillShare is the share of a holder's slots that limited requests may keep busy when
	// hundreds of daemons send to it and none of them knows its queue: with more, most
	// answers would be late. When few daemons send to it, each knows the queue well enough
	// to refuse requests itself, so limits allow up to knownQueueExtraFill more.
	baseFillShare       = 0.9
	knownQueueExtraFill = 0.3
	// permitExtraFill is the addition to baseFillShare where daemons need permits, which
	// keep a holder's queue short. Permits are issued in order of arrival, so with a larger
	// share requests for hot keys would take all of them.
	permitExtraFill = 0.15
	// fenceShift is the number of low bits that count the fences of one epoch (2^24).
	fenceShift = 24
)

// Option configures a Keeper.
type Option func(*Keeper)

// WithGrantTTL sets how long a grant lasts.
func WithGrantTTL(d time.Duration) Option { return func(k *Keeper) { k.grantTTL = d } }

// WithLeaderLease sets how long a leader that cannot confirm its epoch goes on
// renewing grants.
func WithLeaderLease(d time.Duration) Option { return func(k *Keeper) { k.leaderLease = d } }

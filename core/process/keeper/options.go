package keeper

import (
	"time"

	"catkinstep/core/process/lease"
)

const (
	// DefaultGrantTTL is how long a grant lasts. While a server does not respond, its keys
	// are unavailable for that long. If the leader's host is suspended, another leader must
	// take over and renew the grants before they expire; taking over takes two seconds.
	DefaultGrantTTL = 3500 * time.Millisecond
	// renewalsPerTTL is how often a grant is renewed within its TTL: three renewals in a
	// row may be lost before the grant expires.
	renewalsPerTTL = 4
	// maxClockRatio bounds how much longer a grant lasts on a server whose clock is slow.
	maxClockRatio = lease.MaxClockRatio
	// expiryMargin covers a call that arrives just as its connection is closed.
	expiryMargin = 200 * time.Millisecond
	// defaultLeaderLease is how long a leader that cannot confirm its epoch goes on
	// renewing grants, so that a data centre that is cut off together with its leader
	// keeps its keys. A new leader that cannot reach the previous one assumes that it
	// goes on for all of that time.
	defaultLeaderLease = 30 * time.Second
	// maxGrantCallDuration bounds a grant call, from writing it to closing its connection.
	maxGrantCallDuration = time.Second
	// maxGrantDelay is how long after the leader's decision a grant may still arrive.
	maxGrantDelay = sendWindow + maxGrantCallDuration
	// checksPerLease is how often per leader lease the epoch is read from the store if no
	// watch has reported it.
	checksPerLease = 3
	// callRetryDelay is the pause before the next call to a server after a failed one.
	callRetryDelay = 300 * time.Millisecond
	// sendWindow is how long after the leader's decision a call may be written. It keeps a host
	// that was suspended in between from sending outdated calls.
	sendWindow = 500 * time.Millisecond
	// suspendThreshold is the time between two ticks beyond which this host may have been
	// suspended and this leader replaced. The epoch is then checked before any other call.
	suspendThreshold = time.Second
	// fleetSettleTime is how long the number of servers must be unchanged before the keys of
	// a new service are divided: at startup servers register one after the other.
	fleetSettleTime = 700 * time.Millisecond
	// saveInterval is the shortest time between saves of changes that may be lost without
	// harm: a new leader that lacks them only repeats releases and grants.
	saveInterval = time.Second
	// storeRetryDelay is the pause before a read after a save or read without an answer.
	storeRetryDelay = 400 * time.Millisecond
	// balanceInterval is the time between two balancing rounds of a service; the load
	// counts that they use are updated as often.
	balanceInterval = 500 * time.Millisecond
	// firstKeysInterval is the time between two rounds that give keys to servers without
	// any. It is longer than balanceInterval, since moves that reduce the number of lost
	// requests come first.
	firstKeysInterval = 1500 * time.Millisecond
	// coldRateShare bounds the request rate of a cold server's first keys, as a share of the
	// rate that the server can handle. The daemons divide that rate among themselves and
	// leave part of it unused, so the full rate is not available to callers.
	coldRateShare = 0.5
	// loadHorizon is how long the counted load is assumed to last when the benefit of a move
	// is computed. It is a compromise: hot keys cool down sooner, but most of the load is
	// steady and lasts much longer.
	loadHorizon = 8 * time.Second
	// initialMoveDuration is the average time for which a move closes a range until a move of
	// the service has been measured. moveDurationWeight is the weight of each measured move in
	// the exponential moving average.
	initialMoveDuration = 200 * time.Millisecond
	moveDurationWeight  = 0.1
	// minMoveCost is the lowest cost of a move, and moveCostPerDaemon its cost for each daemon,
	// both in lost requests: a move changes the table three times, and all daemons fetch each
	// change.
	minMoveCost       = 1.0
	moveCostPerDaemon = 0.05
	// allKeysHandoverCost is what a handover of all keys would cost, in lost requests. The
	// handover cost of a move is proportional to the number of keys that move, since a
	// handover contains what the holder knows of each key.
	allKeysHandoverCost = 30.0
	// maxCandidates is how many sources and targets are considered for a move.
	maxCandidates = 4
	// hotBucketShare is the share of its server's load from which a bucket counts as hot. A
	// hot bucket may move without its neighbours.
	hotBucketShare = 0.05
	// lossTolerance is the difference, in lost requests a second, up to which two targets of
	// a move count as equally good.
	lossTolerance = 0.05
	// unresponsivePeriod is how long a server that did not answer a call gets no more keys.
	// A server whose process has ended may still be listed. Without this pause it would be
	// given keys again at once, which would be unavailable for a grant TTL each time.
	unresponsivePeriod = 10 * time.Second
	// minMoveLimit is how many ranges of a small service may move concurrently. There are few,
	// because requests for a moving range are refused until those that run on it have ended,
	// which takes up to a second. Large services may move one range for each serversPerMove
	// servers, since balancing them would take minutes otherwise.
	minMoveLimit   = 3
	serversPerMove = 12
	// serversPerMoveWhileLimited replaces serversPerMove while requests are refused because holders
	// are overloaded: more is lost by the imbalance then than by closed ranges.
	serversPerMoveWhileLimited = 6
	// publishInterval is the shortest time between two published tables: with many
	// concurrent moves, each step of each move would publish one.
	publishInterval = 50 * time.Millisecond
	// Buckets is the number of buckets, intervals of equal length into which all keys are
	// divided to count their load. There are ten for each of 200 servers, so that keys can
	// be distributed evenly among that many.
	Buckets = 2048
	// rateLimitHeadroom is how many more requests than a holder takes, by the limit that it has named,
	// may ask the leader for its tokens: so many that none is left over.
	rateLimitHeadroom = 1.5
	// limitInterval is the time between two rounds of limits for overloaded holders; the
	// counts that they are computed from are updated as often.
	limitInterval = 500 * time.Millisecond
	// baseBusyShare is the share of a holder's slots that limited requests may keep busy when
	// hundreds of daemons send to it and none of them knows its queue. With a larger share,
	// most of the holder's answers would be late.
	baseBusyShare = 0.9
	// knownQueueExtraShare is the most that is added to baseBusyShare when few daemons send to
	// a holder. Each of them then knows the queue well enough to refuse requests itself.
	knownQueueExtraShare = 0.3
	// permitExtraShare is added to baseBusyShare where daemons need permits, which keep a
	// holder's queue short. Permits are issued in order of arrival, so with a larger share
	// requests for hot keys would take all of them.
	permitExtraShare = 0.15
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

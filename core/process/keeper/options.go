package keeper

import "time"

const (
	// DefaultHold is how long a grant lasts. A server that falls silent keeps
	// its keys from everybody for that long; a leader that is frozen must be
	// replaced, and its grants renewed, within it. Replacing takes two seconds.
	DefaultHold = 3500 * time.Millisecond
	// renewShare is the part of a hold after which it is renewed: three
	// renewals may be lost before the keys are.
	renewShare = 4
	// clockRate bounds how much longer a hold lasts by the server's clock.
	clockRate = 1.02
	// flightSlack covers a call that arrives just as its connection is given up.
	flightSlack = 200 * time.Millisecond
	// defaultLeaderLease is how long a leader that cannot confirm its epoch goes on
	// renewing, so that a data centre that is cut off together with its leader
	// keeps its keys. A new leader takes that time for granted when it cannot
	// reach the old one.
	defaultLeaderLease = 30 * time.Second
	// grantTime bounds one grant, from its writing to the end of its connection.
	grantTime = time.Second
	// onTheWay is how long after a leader decided on a grant it may still arrive.
	onTheWay = sendWithin + grantTime
	// confirmShare is the part of the right after which the epoch is read anew if
	// no watch has shown it.
	confirmShare = 3
	// retryCall paces calls to a server that did not answer the last one.
	retryCall = 300 * time.Millisecond
	// sendWithin is how long after it was decided a call may be written. A host
	// that was frozen in between finds out by it.
	sendWithin = 500 * time.Millisecond
	// wokeAfter is a pause between two ticks after which this host may have been
	// frozen and replaced; it asks before it does anything more.
	wokeAfter = time.Second
	// settle is how long the list of servers must be unchanged before keys that
	// nobody holds are divided: servers register one after the other at a start.
	settle = 700 * time.Millisecond
	// saveEvery paces writes of what may be lost without harm, since a new leader
	// would only release and grant once more.
	saveEvery = time.Second
	// rereadAfter paces reads after a save or read without an answer.
	rereadAfter = 400 * time.Millisecond
	// balanceEvery is the pause between two rounds of moves for balance of one
	// service: the counts that they are decided by change as often.
	balanceEvery = 500 * time.Millisecond
	// firstKeysEvery is the pause between two rounds in which servers without keys get
	// some: that can wait for a loss that is in sight.
	firstKeysEvery = 1500 * time.Millisecond
	// coldStart is the part of what a cold server bears that its first keys may
	// bring: the daemons divide its rate among them, and not all of it is used.
	coldStart = 0.5
	// loadLasts is how long a load is taken to stay as it was counted: longer than a
	// key stays hot, since most of the load lasts, and much shorter than it lasts.
	loadLasts = 8 * time.Second
	// moveTakes is how long a range that moves is taken to be closed before the first
	// move of its service was seen, and moveLearn the weight of one move in that time.
	moveTakes = 200 * time.Millisecond
	moveLearn = 0.1
	// moveCosts is what a move must save at least, in requests, and moveCostsEach
	// what it costs for each daemon: it changes the table three times, and all of
	// them fetch each change.
	moveCosts     = 1.0
	moveCostsEach = 0.05
	// allKeysCost is what a change of hands of all keys costs, in requests: servers
	// hand over what they know of each key.
	allKeysCost = 30.0
	// candidates is how many servers are weighed on either side of a move.
	candidates = 4
	// hotShare is the part of a server's load from which a bucket may leave alone.
	hotShare = 0.05
	// sameLoss is the difference in lost requests a second that says nothing.
	sameLoss = 0.05
	// unresponsiveFor is how long a server that did not answer a call gets no further keys:
	// one that died while its entry stays listed would else get some back at once,
	// and each try costs their callers a whole hold.
	unresponsiveFor = 10 * time.Second
	// movesAtOnce bounds the moves under way for balance; a range is refused while
	// the work that runs on it ends, up to a second. Large services may move one
	// for each serversAMove servers, or it would take minutes to even them out.
	movesAtOnce  = 3
	serversAMove = 12
	// publishEvery is the shortest pause between two tables that are published to all
	// daemons: many moves at once would send one for each step of each.
	publishEvery = 50 * time.Millisecond
	// Buckets is the number of stretches of equal length that loads are counted in:
	// ten for each of 200 servers, so that keys can be dealt out evenly among them.
	Buckets = 2048
	// limitEvery is the pause between two rounds of limits for overloaded holders: the
	// counts that they are worked out from change as often.
	limitEvery = 500 * time.Millisecond
	// fullAt is the part of a holder's slots that limits let requests fill where hundreds
	// of daemons send to it, none of which knows its queue: with more, most answers from
	// it would be late. Few daemons know it well enough to refuse by it themselves, and
	// only what is beyond fullAt and knownMore is kept from them.
	fullAt    = 0.9
	knownMore = 0.3
	// permitsMore is the same where daemons need permits, which keep a holder's queue
	// short. They are given to whoever comes first: were hot keys let through further,
	// they would take them all.
	permitsMore = 0.15
	// fenceShift leaves room for so many fences in one epoch (2^24).
	fenceShift = 24
)

// Option changes a Keeper that New makes.
type Option func(*Keeper)

// WithHold sets how long a grant lasts.
func WithHold(d time.Duration) Option { return func(k *Keeper) { k.hold = d } }

// WithLeaderLease sets how long a leader that cannot confirm its epoch goes on renewing.
func WithLeaderLease(d time.Duration) Option { return func(k *Keeper) { k.leaderLease = d } }

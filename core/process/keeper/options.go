package keeper

import "time"

const (
	// defaultHold is how long a grant lasts. A server that falls silent keeps
	// its keys from everybody for that long; a leader that is frozen must be
	// replaced, and its grants renewed, within it. Replacing takes two seconds.
	defaultHold = 3500 * time.Millisecond
	// renewShare is the part of a hold after which it is renewed: three
	// renewals may be lost before the keys are.
	renewShare = 4
	// clockRate bounds how much longer a hold lasts by the server's clock.
	clockRate = 1.02
	// flightSlack covers a call that arrives just as its connection is given up.
	flightSlack = 200 * time.Millisecond
	// defaultRight is how long a leader that cannot confirm its epoch goes on
	// renewing, so that a data centre that is cut off together with its leader
	// keeps its keys. A new leader takes that time for granted when it cannot
	// reach the old one.
	defaultRight = 30 * time.Second
	// callTime bounds one call to a server; a release waits for running work.
	callTime = time.Second
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
	// balanceEvery is the pause between two moves for balance of one service; a
	// moved range is refused for as long as the work that runs on it, which
	// takes up to a second.
	balanceEvery = 1500 * time.Millisecond
	// unevenness is how far above its share a server's load must be for a move:
	// below it the requests refused during the move cost more than the waiting.
	unevenness = 1.3
	// Buckets is the number of stretches of equal length that loads are counted in.
	Buckets = 512
	// fenceShift leaves room for so many fences in one epoch (2^24).
	fenceShift = 24
)

// Option changes a Keeper that New makes.
type Option func(*Keeper)

// WithHold sets how long a grant lasts.
func WithHold(d time.Duration) Option { return func(k *Keeper) { k.hold = d } }

// WithRight sets how long a leader without word of its epoch goes on renewing.
func WithRight(d time.Duration) Option { return func(k *Keeper) { k.right = d } }

package leader

import "time"

// Option changes a Leader that New makes.
type Option func(*settings)

type settings struct {
	suspectAfter time.Duration
	forgetAfter  time.Duration
	settleFor    time.Duration
	returnAfter  time.Duration
	balanceEvery time.Duration
	balanceMoves int
	freeEvery    time.Duration
	proveWithin  time.Duration
	formFor      time.Duration
}

func defaults() settings {
	return settings{
		suspectAfter: 700 * time.Millisecond,
		forgetAfter:  30 * time.Second,
		settleFor:    500 * time.Millisecond,
		returnAfter:  2 * time.Second,
		balanceEvery: 5 * time.Second,
		balanceMoves: 4,
		freeEvery:    300 * time.Millisecond,
		proveWithin:  250 * time.Millisecond,
		formFor:      4 * time.Second,
	}
}

// WithSuspectAfter sets the silence after which a daemon gets no new work. It
// stays a member until it is forgotten; only its dispatching moves.
func WithSuspectAfter(d time.Duration) Option { return func(s *settings) { s.suspectAfter = d } }

// WithForgetAfter sets the silence after which a daemon is no member any more.
func WithForgetAfter(d time.Duration) Option { return func(s *settings) { s.forgetAfter = d } }

// WithBalance sets how often owners are evened out by load, and how many
// shards may move each time.
func WithBalance(every time.Duration, moves int) Option {
	return func(s *settings) { s.balanceEvery, s.balanceMoves = every, moves }
}

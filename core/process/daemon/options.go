package daemon

import (
	"time"

	"catkinstep/core/process/leader"
)

// Option changes a Model that New makes.
type Option func(*settings)

type settings struct {
	beatEvery    time.Duration
	beatPatience time.Duration
	syncEvery    time.Duration
	readEvery    time.Duration
	readAtMost   time.Duration
	rankDelay    time.Duration
	aloneAfter   time.Duration
	aloneDelay   time.Duration
	seed         uint64
	leader       []leader.Option
}

func defaults() settings {
	return settings{
		beatEvery:    250 * time.Millisecond,
		beatPatience: 700 * time.Millisecond,
		syncEvery:    500 * time.Millisecond,
		readEvery:    200 * time.Millisecond,
		readAtMost:   5 * time.Second,
		rankDelay:    200 * time.Millisecond,
		aloneAfter:   3 * time.Second,
		aloneDelay:   5 * time.Second,
		seed:         1,
	}
}

// WithSeed seeds the choices of peers and the jitter.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithBeat sets how often heartbeats go out, and the silence after which the
// leader is taken for lost. The patience must hold at least two beats.
func WithBeat(every, patience time.Duration) Option {
	return func(s *settings) { s.beatEvery, s.beatPatience = every, patience }
}

// WithSync sets how often objects are exchanged with a random peer.
func WithSync(every time.Duration) Option { return func(s *settings) { s.syncEvery = every } }

// WithLeader passes options on to the leader that this daemon may become.
func WithLeader(opts ...leader.Option) Option {
	return func(s *settings) { s.leader = append(s.leader, opts...) }
}

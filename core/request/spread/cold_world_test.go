package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/token"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// coldWorld is the daemons of a site, all of which always have requests for one server, which has
// just started. Daemons are killed and come back, are paused, or are added, and each learns of the
// others late.
type coldWorld struct {
	random  *rand.Rand
	service config.Service
	server  fleet.Server
	daemons []*coldDaemon
	starts  []time.Duration // of requests at the server
}

// coldDaemon is one daemon. It is away from awayFrom to awayUntil, and has forgotten everything when
// it is back if it was killed. From knownAt on, the other daemons know it.
type coldDaemon struct {
	name                string
	balancer            *Balancer
	awayFrom, awayUntil time.Duration
	killed              bool
	knownAt             time.Duration
	// delay is how late it learns of other daemons. After a restart it knows only itself
	// for that long.
	delay     time.Duration
	startedAt time.Duration
}

// The world lasts as long as the server is cold, and a little longer for the daemons that come late.
const (
	coldStep = 20 * time.Millisecond
	// limitsInterval is the time between two updates of what a daemon knows of the others.
	limitsInterval = 100 * time.Millisecond
	coldDuration   = 4 * time.Second
	// coldWorlds is how many worlds are played for each size.
	coldWorlds = 25
)

func newColdWorld(seed uint64, daemons int, rate float64) *coldWorld {
	w := &coldWorld{random: rand.New(rand.NewPCG(seed, 5)), service: config.Service{Name: "s", ColdRate: rate}, server: fleet.Server{ID: fmt.Sprintf("s%d", seed), Service: "s", Slots: 3, StartMillis: 1}}
	lostShare, addedShare := w.random.Float64(), 0.3*w.random.Float64()
	for i := range daemons {
		d := &coldDaemon{name: fmt.Sprintf("d%03d", i), delay: w.between(0, time.Second), startedAt: -time.Hour, knownAt: -time.Hour}
		switch p := w.random.Float64(); {
		case p < lostShare:
			d.awayFrom = w.between(0, coldDuration)
			d.awayUntil = d.awayFrom + w.between(100*time.Millisecond, 2*time.Second)
			d.killed = w.random.IntN(2) == 0
		case p > 1-addedShare && i > 0:
			d.awayFrom, d.awayUntil = -time.Hour, w.between(0, coldDuration)
			d.killed, d.knownAt = true, d.awayUntil
		}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		w.start(d, 0)
		if d.startedAt < 0 {
			d.balancer.FillColdBucket(w.server)
		}
	}
	return w
}

func (w *coldWorld) between(from, until time.Duration) time.Duration {
	return from + time.Duration(w.random.Int64N(int64(until-from)))
}

// start gives a daemon a Balancer that knows how long the server is cold.
func (w *coldWorld) start(d *coldDaemon, at time.Duration) {
	d.balancer = New(w.random.Uint64(), w.limits(d, at))
	d.balancer.AssumeCold(w.server, t0.Add(time.Hour))
	d.balancer.stateOf(w.server).coldBucket = token.Bucket{}
}

// limits returns what a daemon knows of the others.
func (w *coldWorld) limits(d *coldDaemon, at time.Duration) Limits {
	m := Members{Self: d.name, Complete: at >= d.startedAt+d.delay}
	for _, other := range w.daemons {
		if other != d && m.Complete && at >= other.knownAt+d.delay {
			m.Others = append(m.Others, other.name)
		}
	}
	return Limits{ColdFactor: 1.5, ColdSlack: 5}.WithMembers(m)
}

// play returns the largest number of requests that the server got in a second.
func (w *coldWorld) play() int {
	for at := time.Duration(0); at < coldDuration; at += coldStep {
		for _, i := range w.random.Perm(len(w.daemons)) {
			w.step(w.daemons[i], at)
		}
	}
	most := 0
	for i, start := range w.starts {
		n := 0
		for _, other := range w.starts[i:] {
			if other < start+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (w *coldWorld) step(d *coldDaemon, at time.Duration) {
	if at >= d.awayFrom && at < d.awayUntil {
		return
	}
	if d.killed && at >= d.awayUntil && d.startedAt < d.awayUntil {
		d.startedAt = d.awayUntil
		w.start(d, at)
	}
	if at%limitsInterval == 0 {
		d.balancer.SetLimits(w.limits(d, at))
	}
	now := t0.Add(at)
	req := Requirements{Route: "r", Service: w.service, LatencyTarget: time.Second, ReceivedAt: now, Deadline: now.Add(time.Hour), LocalDataCentre: "x"}
	for d.balancer.Evaluate(now, req, w.server).Reason != ColdServer {
		d.balancer.Begin(now, w.server, req)
		d.balancer.End(now, w.server, req, now, Cancelled, nil)
		w.starts = append(w.starts, at)
	}
}

// Guards against a cold server that gets more than it can handle while daemons are lost, paused,
// restarted and added, and learn of each other late.
func TestColdLimitOverAllDaemons(t *testing.T) {
	for _, tc := range []struct {
		daemons int
		rate    float64
	}{{2, 20}, {3, 20}, {9, 3.5}, {19, 3.5}, {90, 3.5}, {195, 20}} {
		Convey(fmt.Sprintf("%d daemons send at most what the server can handle in any second", tc.daemons), t, func() {
			limit, worst, broken, sum := tc.rate*1.5+5, 0, 0, 0
			for seed := range uint64(coldWorlds) {
				w := newColdWorld(seed, tc.daemons, tc.rate)
				most := w.play()
				sum += len(w.starts)
				if float64(most) > limit {
					broken++
				}
				worst = max(worst, most)
			}
			t.Logf("%d daemons: at most %d in a second where %.2f are allowed; too many in %d of %d worlds; %d requests in a world", tc.daemons, worst, limit, broken, coldWorlds, sum/coldWorlds)
			So(float64(worst), ShouldBeLessThanOrEqualTo, limit)
		})
	}
}

package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/limit"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// limitedWorld is the daemons of a site and one server that names a limit. The daemons have more
// requests for it than it takes. Some daemons are cut off, or killed and come back; leaders are lost.
type limitedWorld struct {
	random  *rand.Rand
	service config.Service
	server  fleet.Server
	limit   limit.Limit
	daemons []*limitedDaemon
	// leaders are in the order of their terms. All but the last go on for as long as they live.
	leaders []*limitedLeader
	starts  []time.Duration // of requests at the server
	asked   int             // tokens that leaders were asked for
}

// limitedDaemon is one daemon. From cutFrom to cutUntil it is in another part of the site.
type limitedDaemon struct {
	name                 string
	balancer             *Balancer
	cutFrom, cutUntil    time.Duration
	startsAt             time.Duration // zero unless it is killed and comes back
	heard                *limitedLeader
	lastContact, startAt time.Duration
}

// limitedLeader is a daemon that leads since a time, until it is lost.
type limitedLeader struct {
	*limitedDaemon
	since, lostAt time.Duration
	issuer        *limit.Issuer
}

const (
	limitedStep     = 20 * time.Millisecond
	limitedDuration = 30 * time.Second
	limitedWindow   = 4 * time.Second
	limitedWorlds   = 12
	// contactTimeout is how long after its last contact a daemon counts the leader as reachable, and
	// shareDelay how late the leader learns whom it has contact with.
	contactTimeout = 1250 * time.Millisecond
	shareDelay     = 2 * time.Second
	// overloadFactor is how many more requests with keys there are than the server takes.
	overloadFactor = 5.0
)

func newLimitedWorld(seed uint64, daemons int, perSecond float64, keyed, faults bool) *limitedWorld {
	w := &limitedWorld{random: rand.New(rand.NewPCG(seed, 6)), service: config.Service{Name: "s", Keyed: keyed},
		server: fleet.Server{ID: fmt.Sprintf("s%d", seed), Service: "s", Slots: 3, StartMillis: 1}, limit: limit.Limit{Server: "s", StartMillis: 1, PerSecond: perSecond}}
	cutFrom := w.between(5*time.Second, 10*time.Second)
	cutUntil, cutShare := cutFrom+w.between(2*time.Second, 12*time.Second), w.random.Float64()
	for i := range daemons {
		d := &limitedDaemon{name: fmt.Sprintf("d%04d", i), cutFrom: limitedDuration}
		if faults && w.random.Float64() < cutShare {
			d.cutFrom, d.cutUntil = cutFrom, cutUntil
		}
		if faults && w.random.IntN(5) == 0 {
			d.startsAt = w.between(2*time.Second, limitedDuration)
		}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		w.start(d, 0)
	}
	w.elect(0)
	if faults {
		w.leaders[0].lostAt = w.between(12*time.Second, limitedDuration)
	}
	return w
}

func (w *limitedWorld) between(from, until time.Duration) time.Duration {
	return from + time.Duration(w.random.Int64N(int64(until-from)))
}

func (w *limitedWorld) start(d *limitedDaemon, at time.Duration) {
	m := Members{Self: d.name, Complete: true}
	for _, other := range w.daemons {
		if other != d {
			m.Others = append(m.Others, other.name)
		}
	}
	d.balancer = New(w.random.Uint64(), Limits{}.WithMembers(m))
	d.balancer.SetRateLimit(w.server, w.limit.PerSecond)
	d.startAt = at
}

func (w *limitedWorld) elect(at time.Duration) {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	w.leaders = append(w.leaders, &limitedLeader{limitedDaemon: d, since: at, lostAt: time.Hour, issuer: limit.NewIssuer()})
}

func (d *limitedDaemon) isCut(at time.Duration) bool { return at >= d.cutFrom && at < d.cutUntil }

// reaches reports whether a daemon can talk to a leader.
func (d *limitedDaemon) reaches(l *limitedLeader, at time.Duration) bool {
	return at < l.lostAt && d.isCut(at) == l.isCut(at)
}

// reachableShare is the share of the daemons that a leader has contact with, as far as it knows.
func (w *limitedWorld) reachableShare(l *limitedLeader, at time.Duration) float64 {
	if at-l.since < shareDelay {
		return 1
	}
	n := 0
	for _, d := range w.daemons {
		if d.reaches(l, at) || d.reaches(l, at-shareDelay) {
			n++
		}
	}
	return float64(n) / float64(len(w.daemons))
}

// play returns the largest number of requests that the server got in a window.
func (w *limitedWorld) play() int {
	demand := overloadFactor * w.limit.PerSecond * limitedStep.Seconds()
	for at := time.Duration(0); at < limitedDuration; at += limitedStep {
		if l := w.leaders[len(w.leaders)-1]; at > l.lostAt+2*time.Second {
			w.elect(at)
		}
		for _, d := range w.daemons {
			w.keepContact(d, at)
		}
		if !w.service.Keyed { // any of a daemon's requests may go there
			for _, d := range w.daemons {
				w.send(d, at)
			}
			continue
		}
		for n := w.random.Float64(); n < demand; n++ {
			w.send(w.daemons[w.random.IntN(len(w.daemons))], at)
		}
	}
	most, first := 0, 0
	for i, start := range w.starts {
		for w.starts[first] <= start-limitedWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// keepContact updates what a daemon knows of the leader: the newest one that it reaches.
func (w *limitedWorld) keepContact(d *limitedDaemon, at time.Duration) {
	if d.startsAt > 0 && at >= d.startsAt && d.startAt < d.startsAt {
		w.start(d, at)
		d.heard = nil
	}
	for _, l := range w.leaders {
		if at >= l.since && d.reaches(l, at) {
			d.heard, d.lastContact = l, at
		}
	}
}

func (w *limitedWorld) send(d *limitedDaemon, at time.Duration) {
	now := t0.Add(at)
	req := Requirements{Route: "r", Service: w.service, LatencyTarget: time.Second, ReceivedAt: now, Deadline: now.Add(time.Hour), LocalDataCentre: "x"}
	if d.balancer.Evaluate(now, req, w.server).Refused() || w.service.Keyed && !w.takeToken(d, at) {
		return
	}
	d.balancer.Begin(now, w.server, req)
	d.balancer.End(now, w.server, req, now, Cancelled, nil)
	w.starts = append(w.starts, at)
}

func (w *limitedWorld) takeToken(d *limitedDaemon, at time.Duration) bool {
	now := t0.Add(at)
	if d.heard == nil || at-d.lastContact > contactTimeout {
		_, ok := d.balancer.TryTakeIsolated(now, w.server)
		return ok
	}
	if !d.reaches(d.heard, at) {
		d.balancer.DenyUntil(w.server, now.Add(100*time.Millisecond))
		return false
	}
	w.asked++
	retryAfter, ok := d.heard.issuer.Acquire(now, w.limit, w.reachableShare(d.heard, at))
	if !ok {
		d.balancer.DenyUntil(w.server, now.Add(retryAfter))
	}
	return ok
}

// Guards against daemons that together send a server more than it says that it takes, also while
// daemons are cut off, restart, or lose the leader, and against a limit that is not used.
func TestServerLimitOverAllDaemons(t *testing.T) {
	for _, daemons := range []int{3, 8, 91, 1500} {
		for _, perSecond := range []float64{1.2, 11.7} {
			for _, keyed := range []bool{false, true} {
				Convey(fmt.Sprintf("%d daemons keep to %.1f requests a second, keyed: %v", daemons, perSecond, keyed), t, func() {
					allowed, worst, calm := int(1.5*perSecond*limitedWindow.Seconds()+5), 0, 0.0
					worlds := limitedWorlds
					if daemons > 1000 {
						worlds = 2
					}
					for seed := range uint64(worlds) {
						worst = max(worst, newLimitedWorld(seed, daemons, perSecond, keyed, true).play())
						w := newLimitedWorld(seed, daemons, perSecond, keyed, false)
						worst = max(worst, w.play())
						calm += float64(len(w.starts)) / limitedDuration.Seconds() / perSecond / float64(worlds)
					}
					t.Logf("%d daemons, %.1f a second, keyed %v: at most %d in a window, %d allowed; %.0f%% of the limit used without faults", daemons, perSecond, keyed, worst, allowed, 100*calm)
					So(worst, ShouldBeLessThanOrEqualTo, allowed)
					So(calm, ShouldBeGreaterThan, 0.8)
				})
			}
		}
	}
}

package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/space"
)

// hotter is 4.7 times the allowance, by a workspace that usually asks for 0.625 of it.
const hotter = 7.5

// boundLoads are loads that come by all daemons of a site, at allowances of several sizes.
func boundLoads(site int, rate float64, seed uint64) []load {
	second := time.Second
	allowance := space.Allowance{Rate: rate, Burst: rate}
	base := load{site: site, daemons: site, allowance: allowance, rate: hot(8*second, 15*second, hotter), cut: never, restarted: never, seed: seed}
	with := func(name string, change func(*load)) load {
		l := base
		l.name = fmt.Sprintf("%s, %d daemons, %g/s", name, site, rate)
		change(&l)
		return l
	}
	at := func(when time.Duration, every int) func(int, time.Duration) bool {
		return func(d int, now time.Duration) bool { return now == when && d%every == 0 }
	}
	between := func(from, until time.Duration) func(time.Duration) bool {
		return func(now time.Duration) bool { return now >= from && now < until }
	}
	return []load{
		with("hot, nothing else", func(*load) {}),
		with("starts hot without a leader", func(l *load) {
			l.rate, l.restarted, l.leaderless = hot(0, 7*second, hotter), at(0, 1), between(-second, 1500*time.Millisecond)
		}),
		with("second leader at once", func(l *load) {
			l.rate, l.restarted = hot(0, 7*second, hotter), at(0, 1)
			l.leaderless = func(now time.Duration) bool {
				return now < 1500*time.Millisecond || now == 1800*time.Millisecond
			}
		}),
		with("leader lost twice while hot", func(l *load) {
			l.rate = hot(6*second, 18*second, hotter)
			l.leaderless = func(now time.Duration) bool {
				return between(8*second, 8*second+leaderChange)(now) || between(14*second, 14*second+leaderChange)(now)
			}
		}),
		with("all restart with the leader", func(l *load) {
			l.rate, l.restarted, l.leaderless = hot(6*second, 24*second, hotter), at(18*second, 1), between(18*second, 18*second+leaderChange)
		}),
		with("half restart with the leader", func(l *load) {
			l.rate, l.restarted, l.leaderless = hot(6*second, 24*second, hotter), at(18*second, 2), between(18*second, 18*second+leaderChange)
		}),
		with("some are held and sent together", func(l *load) {
			l.rate = hot(8*second, 24*second, hotter)
			l.held = func(now time.Duration) time.Duration { return max(0, 4*second-now%(8*second)) }
		}),
	}
}

// boundSeeds is how many seeds of each load are played.
const boundSeeds = 5

// Guards against more requests of a workspace than its allowance, whatever its size and that of the
// site: while nothing else happens, at starts, at losses of the leader, and if requests wait before
// they are sent.
func TestAllowanceBound(t *testing.T) {
	Convey("No load has more in any window than may run", t, func() {
		for _, rate := range []float64{1.2, 8, 20, 150, 320} {
			for i := range boundLoads(90, rate, 0) {
				most, over, name := 0.0, 0, ""
				for seed := range uint64(boundSeeds) {
					l := boundLoads(90, rate, seed)[i]
					o := play(l, newPooled(l.site))
					name, most = l.name, max(most, o.overrun)
					if o.overrun > 1 {
						over++
					}
				}
				t.Logf("%-55s most %.2f, over in %d of %d seeds", name, most, over, boundSeeds)
				SoMsg(name, over, ShouldEqual, 0)
			}
		}
	})
}

package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/space"
)

// outageLoads are loads of a workspace that keeps to its allowance while its site loses the leader, or all daemons
// restart.
func outageLoads(site int, rate float64) []load {
	base := load{site: site, daemons: site, allowance: space.Allowance{Rate: rate, Burst: rate}, rate: usual, cut: never, restarted: never}
	lost, all := base, base
	lost.name = fmt.Sprintf("leader lost, usual load, %d daemons, %g/s", site, rate)
	lost.lost = 10 * time.Second
	all.name = fmt.Sprintf("all restart, usual load, %d daemons, %g/s", site, rate)
	all.leaderless = func(at time.Duration) bool { return at >= 10*time.Second && at < 11500*time.Millisecond }
	all.restarted = func(_ int, at time.Duration) bool { return at == 10*time.Second }
	return []load{lost, all}
}

// Guards against refusals of a workspace that keeps to its allowance, since a leader or all daemons were lost.
func TestAllowanceInOutage(t *testing.T) {
	Convey("It is refused next to nothing", t, func() {
		for _, site := range []int{19, 90, 600} {
			for _, rate := range []float64{20, 320} {
				for _, l := range outageLoads(site, rate) {
					o := play(l, newPooled(l.site))
					t.Logf("%-45s refused wrongly %.3f", l.name, o.refusedWrongly)
					SoMsg(l.name, o.refusedWrongly, ShouldBeLessThanOrEqualTo, maxRefusedWithin)
				}
			}
		}
	})
}

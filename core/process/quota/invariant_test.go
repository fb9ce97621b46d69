package quota

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/space"
)

// The flags play more by hand.
var (
	invariantSeeds = flag.Int("quota.seeds", 24, "how many seeds TestAllowanceInvariant plays")
	invariantFor   = flag.Duration("quota.for", 20*time.Second, "how long TestAllowanceInvariant plays each seed")
	allChanges     = flag.Bool("quota.changes", false, "play all changes of TestAllowanceChanges, not only those that take little time")
	invariantHosts = flag.Int("quota.hosts", 0, "number of daemons in TestAllowanceInvariant; 0: several")
)

// drawnAllowance is between 1.2 and 5,000 requests a second, with a burst of up to three seconds of it.
func drawnAllowance(random *rand.Rand) space.Allowance {
	rate := 1.2 * math.Pow(5000/1.2, random.Float64())
	return space.Allowance{Rate: rate, Burst: rate * []float64{0, 0.5, 1, 3}[random.IntN(4)]}
}

// playMisfortunes plays a seed: callers ask for several times the allowance of some daemons while anything
// happens that may, one thing after the other and several at a time.
func playMisfortunes(seed uint64, n int, d time.Duration) (h *hosts, story []string) {
	random := rand.New(rand.NewPCG(seed, 46))
	h = newHosts(seed, n, drawnAllowance(random))
	h.useDelay = []time.Duration{0, tokenTTL}[random.IntN(2)]
	var callers []int
	for i := range n {
		if i == 0 || random.Float64() < []float64{0.05, 0.5, 1}[seed%3] {
			callers = append(callers, i)
		}
	}
	next, pause := h.now, []time.Duration{time.Second, 4 * time.Second, 12 * time.Second}[seed/3%3]
	h.run(d, h.workspace.Allowance.Rate*(1+6*random.Float64()), callers, func() {
		if h.now.Before(next) {
			return
		}
		story = append(story, fmt.Sprintf("%v %s", h.now.Sub(t0), h.misfortune()))
		next = h.now.Add(time.Duration(random.Float64() * float64(2*pause)))
	})
	return h, story
}

// Guards against more requests of a workspace than its allowance, whatever starts, leads, freezes, is cut
// off or lost, and however late messages arrive.
func TestAllowanceInvariant(t *testing.T) {
	Convey("All daemons together keep to any allowance in any window, at 8 to 1,500 daemons", t, func() {
		most := 0.0
		for seed := range uint64(*invariantSeeds) {
			n := []int{8, 19, 90, 8, 19, 300}[seed%6]
			if seed == 23 {
				n = 1500
			}
			if *invariantHosts > 0 {
				n = *invariantHosts
			}
			h, story := playMisfortunes(seed, n, *invariantFor)
			fullest := h.fullest(h.workspace.Allowance, t0, h.now)
			most = max(most, fullest)
			if fullest > 1 || testing.Verbose() {
				t.Logf("seed %d: %d daemons, %+v: fullest %.2f, %d of %d sent", seed, n, h.workspace.Allowance, fullest, len(h.sent), h.asked)
			}
			if fullest > 1 {
				t.Log(story)
			}
			So(fullest, ShouldBeLessThanOrEqualTo, 1)
		}
		t.Logf("fullest window of all: %.2f", most)
	})
}

// Guards against more requests than a new allowance, of which the hosts learn one by one, whether it is
// lower or higher than the one before.
func TestAllowanceChanges(t *testing.T) {
	Convey("A lower one holds a window after all hosts know it, a higher one at any time, while hosts restart or not", t, func() {
		for _, n := range []int{8, 90, 1500} {
			for _, rate := range []float64{20, 320, 5000} {
				for _, factor := range []float64{0.1, 0.5, 2, 10} {
					if !*allChanges && (n == 1500 && (rate != 20 || factor == 2) || rate == 5000) {
						continue
					}
					h := newHosts(uint64(n), n, space.Allowance{Rate: rate, Burst: rate})
					next := space.Allowance{Rate: rate * factor, Burst: rate * factor}
					callers, asked := lastOf(n, max(1, n/4)), 3*rate*max(1, factor)
					h.run(2*loanTime(n)+time.Second, 0, callers, nil)
					h.run(8*time.Second, asked, callers, nil)
					changedAt := h.now
					h.setAllowance(next)
					h.run(learnTime+quotaWindow, asked, callers, nil)
					if n < 1500 {
						h.start(h.random.IntN(n))
					}
					h.run(12*time.Second, asked, callers, nil)
					settled := changedAt.Add(learnTime + quotaWindow)
					before, after := h.fullest(h.workspace.Allowance, changedAt, settled), h.fullest(next, settled, h.now)
					if factor < 1 {
						before = h.fullest(space.Allowance{Rate: rate, Burst: rate}, changedAt, settled)
					}
					t.Logf("%4d daemons, %4g/s to %4g/s: fullest %.2f, then %.2f", n, rate, next.Rate, before, after)
					So(before, ShouldBeLessThanOrEqualTo, 1)
					So(after, ShouldBeLessThanOrEqualTo, 1)
				}
			}
		}
	})
}

// Guards against refusals of workspaces that keep to their allowance, at any size of allowance and site.
func TestAllowanceIsUsable(t *testing.T) {
	Convey("A workspace that asks for four fifths of its allowance and keeps to it is refused next to nothing", t, func() {
		for _, n := range []int{8, 90, 300, 1500} {
			for _, rate := range []float64{1.2, 20, 320, 5000} {
				for _, share := range []float64{0.06, 1} {
					h := newHosts(1, n, space.Allowance{Rate: rate, Burst: rate})
					callers := lastOf(n, max(1, int(share*float64(n))))
					h.run(2*loanTime(n)+time.Second, 0, callers, nil)
					h.keeps, h.ideal = true, h.workspace.Allowance.Burst
					h.run(10*time.Second, 0.8*rate, callers, nil)
					h.run(time.Second, 0, callers, nil) // until all are sent
					wrongly := h.asked - len(h.sent)
					t.Logf("%4d daemons, %4d with callers, %4g/s: %d asked, %d sent, %d refused wrongly", n, len(callers), rate, h.asked, len(h.sent), wrongly)
					So(wrongly, ShouldBeLessThanOrEqualTo, int(maxRefusedWithin*float64(h.asked))+1)
				}
			}
		}
	})
}

// lastOf returns the last k of n daemons.
func lastOf(n, k int) []int {
	var out []int
	for i := range k {
		out = append(out, n-1-i)
	}
	return out
}

package admit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

// Guards against a hot key that takes all the capacity of its server from the other keys.
func TestFairShare(t *testing.T) {
	Convey("Small demands are met in full, the large one gets the rest", t, func() {
		So(FairShare([]float64{0.2, 30, 0.3, 0.5}, 3), ShouldEqual, 2)
	})
	Convey("Equal demands share equally", t, func() {
		So(FairShare([]float64{2, 2, 2, 2}, 3), ShouldEqual, 0.75)
	})
	Convey("Demands within the capacity are not cut", t, func() {
		So(FairShare([]float64{0.2, 0.3}, 3), ShouldEqual, 0.3)
		So(FairShare(nil, 3), ShouldEqual, 0)
	})
}

// simulate sends requests with Poisson arrivals from many daemons to one server of three slots. It
// returns how many requests for the hot key and for the other keys were answered within the latency target.
func simulate(limiters []*Limiter, hotRate, otherRate float64) (hotOnTime, otherOnTime int) {
	const serviceTime, latencyTarget, queueLimit, duration = 670 * time.Millisecond, 1500 * time.Millisecond, 12, 20 * time.Second
	random := rand.New(rand.NewPCG(5, 5))
	slotFreeAt := make([]time.Duration, 3)
	for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() / (hotRate + otherRate) * float64(time.Second)) {
		isHot := random.Float64() < hotRate/(hotRate+otherRate)
		bucket := 1
		if isHot {
			bucket = 0
		}
		if _, ok := limiters[random.IntN(len(limiters))].Admit(t0.Add(at%time.Second), Request{Service: "s", Bucket: bucket}); !ok {
			continue
		}
		slot := 0
		for i, freeAt := range slotFreeAt {
			if freeAt < slotFreeAt[slot] {
				slot = i
			}
		}
		startsAt := max(at, slotFreeAt[slot])
		if startsAt-at > time.Duration(float64(queueLimit)/3*float64(serviceTime)) {
			continue // the server's queue is full
		}
		runTime := time.Duration(float64(serviceTime) * random.ExpFloat64())
		slotFreeAt[slot] = startsAt + runTime
		switch {
		case startsAt+runTime-at > latencyTarget:
		case isHot:
			hotOnTime++
		default:
			otherOnTime++
		}
	}
	return hotOnTime, otherOnTime
}

// Guards against daemons that together overfill the queue of a server, since none of them sees the
// requests of the others.
func TestHotKeyOverManyDaemons(t *testing.T) {
	Convey("With limits, more requests are answered in time, above all those for the other keys", t, func() {
		const hotRate, otherRate, slots, serviceSeconds = 100.0, 2.0, 3.0, 0.67
		demands := []float64{hotRate * serviceSeconds, otherRate * serviceSeconds}
		share := FairShare(demands, 0.85*slots)
		unlimited, limited := make([]*Limiter, 195), make([]*Limiter, 195)
		for i := range unlimited {
			unlimited[i], limited[i] = NewLimiter(uint64(i)), NewLimiter(uint64(i))
			limited[i].SetLimits(t0, []Limit{{Service: "s", Bucket: 0, Fraction: share / demands[0]}})
		}
		hotUnlimited, otherUnlimited := simulate(unlimited, hotRate, otherRate)
		hotLimited, otherLimited := simulate(limited, hotRate, otherRate)
		So(otherLimited, ShouldBeGreaterThan, 5*max(1, otherUnlimited))
		So(hotLimited+otherLimited, ShouldBeGreaterThan, 2*(hotUnlimited+otherUnlimited))
	})
}

func TestLimiter(t *testing.T) {
	Convey("Requests without a limit, for other buckets or services, or under an expired limit are admitted", t, func() {
		l := NewLimiter(1)
		_, ok := l.Admit(t0, Request{Service: "s", Bucket: 1})
		So(ok, ShouldBeTrue)
		l.SetLimits(t0, []Limit{{Service: "s", Bucket: 1}})
		_, ok = l.Admit(t0, Request{Service: "s", Bucket: 2})
		So(ok, ShouldBeTrue)
		_, ok = l.Admit(t0, Request{Service: "t", Bucket: 1})
		So(ok, ShouldBeTrue)
		_, ok = l.Admit(t0.Add(limitTTL), Request{Service: "s", Bucket: 1})
		So(ok, ShouldBeTrue)
		_, ok = l.Admit(t0, Request{Service: "s", Bucket: 1})
		So(ok, ShouldBeFalse)
	})
	Convey("Callers are asked to retry at a rate that can be served", t, func() {
		l := NewLimiter(1)
		l.SetLimits(t0, []Limit{{Service: "s", Bucket: 1, Fraction: 0.5}, {Service: "s", Bucket: 2, Fraction: 0.001}})
		sum, refused := 0.0, 0
		for range 1000 {
			if retryAfter, ok := l.Admit(t0, Request{Service: "s", Bucket: 1}); !ok {
				sum += retryAfter.Seconds()
				refused++
			}
		}
		So(refused, ShouldBeBetween, 400, 600)
		So(math.Abs(sum/float64(refused)-2*minRetryAfter.Seconds()), ShouldBeLessThan, 0.02)
		retryAfter, ok := l.Admit(t0, Request{Service: "s", Bucket: 2})
		So(ok, ShouldBeFalse)
		So(retryAfter, ShouldBeBetween, maxRetryAfter/2, 2*maxRetryAfter)
	})
}

// Guards against a heavy workspace that takes what an overloaded holder can run.
func TestDeferredRequestsAreAdmittedLess(t *testing.T) {
	Convey("Of the requests under a limit, the deferred ones are refused first", t, func() {
		l := NewLimiter(1)
		l.SetLimits(t0, []Limit{{Service: "s", Bucket: 1, Fraction: 0.5}})
		admitted := map[bool]int{}
		for range 1000 {
			for _, deferred := range []bool{false, true} {
				if _, ok := l.Admit(t0, Request{Service: "s", Bucket: 1, Deferred: deferred}); ok {
					admitted[deferred]++
				}
			}
		}
		So(admitted[false], ShouldBeBetween, 450, 550)
		So(admitted[true], ShouldBeBetween, 200, 300)
	})
	Convey("They are admitted where there is no limit", t, func() {
		_, ok := NewLimiter(1).Admit(t0, Request{Service: "s", Bucket: 1, Deferred: true})
		So(ok, ShouldBeTrue)
	})
}

// Guards against limits from a wrong estimate, which refused requests can never correct.
func TestLimitsFollowServerReports(t *testing.T) {
	const estimated, offered = 3.0, 12.0
	round := func(c *Controller, i, loadReports, longQueueReports int) (float64, bool) {
		now := t0.Add(time.Duration(i) * time.Second / 2)
		c.Report("a", loadReports, longQueueReports)
		c.EndRound(now)
		return c.Capacity(now, "a", estimated, offered)
	}
	Convey("A server that reports no long queue is not limited, whatever its estimated capacity", t, func() {
		c := NewController()
		_, limited := c.Capacity(t0, "a", estimated, offered)
		So(limited, ShouldBeFalse)
		for i := range 10 {
			_, limited = round(c, i, 5, 0)
			So(limited, ShouldBeFalse)
		}
	})
	Convey("A server that reports a long queue is limited", t, func() {
		capacity, limited := round(NewController(), 0, 5, 4)
		So(limited, ShouldBeTrue)
		So(capacity, ShouldBeBetween, 0.8*estimated, estimated)
	})
	Convey("A server that can take more gets more, until nothing is refused", t, func() {
		c := NewController()
		_, limited := round(c, 0, 5, 4)
		So(limited, ShouldBeTrue)
		rounds := 1
		for ; limited && rounds < 20; rounds++ {
			_, limited = round(c, rounds, 5, 0)
		}
		So(rounds, ShouldBeLessThan, 10)
	})
	Convey("A server whose queue stays long gets less", t, func() {
		c := NewController()
		first, _ := round(c, 0, 5, 5)
		last := first
		for i := 1; i < 6; i++ {
			last, _ = round(c, i, 5, 5)
		}
		So(last, ShouldBeLessThan, 0.9*first)
		So(last, ShouldBeGreaterThan, 0.6*estimated)
	})
}

// Guards against a server that is limited because of a long queue which it reported long ago.
func TestOldReportsSetNoLimit(t *testing.T) {
	Convey("A report of a long queue expires", t, func() {
		c := NewController()
		c.Report("a", 4, 4)
		c.EndRound(t0)
		_, limited := c.Capacity(t0.Add(overloadTTL), "a", 3, 12)
		So(limited, ShouldBeFalse)
		_, limited = c.Capacity(t0.Add(overloadTTL/2), "a", 3, 12)
		So(limited, ShouldBeTrue)
	})
}

// Guards against a contention that ends because the permits have kept the queue short.
func TestContendedOutlastsLongQueue(t *testing.T) {
	Convey("A server stays contended for a while after its last long queue", t, func() {
		c := NewController()
		So(c.Contended(t0, "a"), ShouldBeFalse)
		c.Report("a", 4, 4)
		c.EndRound(t0)
		for _, d := range []time.Duration{time.Second, contentionTTL - time.Second} {
			c.Report("a", 4, 0)
			c.EndRound(t0.Add(d))
			So(c.Contended(t0.Add(d), "a"), ShouldBeTrue)
		}
		c.Report("a", 4, 0)
		c.EndRound(t0.Add(contentionTTL))
		So(c.Contended(t0.Add(contentionTTL), "a"), ShouldBeFalse)
	})
}

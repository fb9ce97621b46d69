package rate

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	window        = 500 * time.Millisecond
	serviceTime   = 90 * time.Millisecond
	latencyTarget = 300 * time.Millisecond
)

// traffic sends requests with Poisson arrivals, at a rate for each bucket.
type traffic struct {
	random *rand.Rand
	meter  *Meter
	now    time.Time
	rates  []float64
}

func newTraffic(rates []float64) *traffic {
	t := &traffic{random: rand.New(rand.NewPCG(5, 7)), meter: New(len(rates)), now: time.Unix(1000, 0), rates: rates}
	t.meter.CloseWindow(t.now)
	return t
}

// run simulates a number of windows and returns the load of the last one.
func (t *traffic) run(windows int) (l Load) {
	for range windows {
		for i, r := range t.rates {
			n := poisson(t.random, r*window.Seconds())
			t.meter.Add("s", i, n, time.Duration(n)*serviceTime, time.Duration(n)*latencyTarget)
		}
		t.now = t.now.Add(window)
		l = t.meter.CloseWindow(t.now)[0]
	}
	return l
}

// poisson draws a number from the Poisson distribution.
func poisson(random *rand.Rand, mean float64) (n int) {
	for t := random.ExpFloat64(); t < mean; t += random.ExpFloat64() {
		n++
	}
	return n
}

func sum(slots []float64) (total float64) {
	for _, s := range slots {
		total += s
	}
	return total
}

func uniform(n int, rate float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = rate
	}
	return out
}

// Guards against a load that is underestimated in the first seconds.
func TestStart(t *testing.T) {
	Convey("The whole load is measured after two windows", t, func() {
		l := newTraffic(uniform(100, 3)).run(2)
		So(sum(l.BusySlots), ShouldBeBetween, 0.75*100*3*serviceTime.Seconds(), 1.25*100*3*serviceTime.Seconds())
		So(l.ServiceTime, ShouldEqual, serviceTime)
		So(l.LatencyTarget, ShouldEqual, latencyTarget)
	})
}

// Guards against a bucket that becomes hot, or cools down, without being noticed within two windows.
func TestHotBucket(t *testing.T) {
	Convey("A hot bucket is detected within two windows, and so is the end of its load", t, func() {
		traffic := newTraffic(uniform(100, 0.5))
		traffic.run(20)
		traffic.rates[7] = 60
		So(traffic.run(2).BusySlots[7], ShouldBeBetween, 0.6*60*serviceTime.Seconds(), 1.4*60*serviceTime.Seconds())
		traffic.rates[7] = 0
		So(traffic.run(2).BusySlots[7], ShouldBeLessThan, 0.1*60*serviceTime.Seconds())
	})
	Convey("Random variation makes no bucket hot", t, func() {
		traffic := newTraffic(uniform(100, 0.5))
		traffic.run(20)
		for range 20 {
			l := traffic.run(1)
			for _, s := range l.BusySlots {
				So(s, ShouldBeLessThan, 8*0.5*serviceTime.Seconds())
			}
		}
	})
}

// Guards against a range of hot keys that is not detected, because the count of each single bucket
// stays within random variation.
func TestHotNeighbours(t *testing.T) {
	Convey("The whole range is detected within two windows, and the rates of other buckets stay the same", t, func() {
		const from, to, typical, hot = 700, 780, 0.3, 3.0
		traffic := newTraffic(uniform(2048, typical))
		traffic.run(20)
		for b := from; b < to; b++ {
			traffic.rates[b] = hot
		}
		l := traffic.run(2)
		hotSlots := (to - from) * hot * serviceTime.Seconds()
		So(sum(l.BusySlots[from:to]), ShouldBeBetween, 0.7*hotSlots, 1.2*hotSlots)
		otherSlots := (2048 - to + from) * typical * serviceTime.Seconds()
		So(sum(l.BusySlots)-sum(l.BusySlots[from:to]), ShouldBeBetween, 0.85*otherSlots, 1.15*otherSlots)
		Convey("The end of the load is detected", func() {
			for b := from; b < to; b++ {
				traffic.rates[b] = typical
			}
			So(sum(traffic.run(2).BusySlots[from:to]), ShouldBeLessThan, 0.5*hotSlots)
		})
	})
}

// Load: one bucket becomes hot, for seconds, while the total stays. Guards against a hot bucket
// that counts as the least that its counts make plausible until the average has followed.
func TestHotBucketIsNotUnderestimated(t *testing.T) {
	Convey("In the third to eighth second its mean measured rate is at least 0.85 of the true one", t, func() {
		traffic := newTraffic(uniform(2048, 180.0/2048))
		traffic.run(40)
		traffic.rates = uniform(2048, 108.0/2048)
		traffic.rates[7] = 72
		traffic.run(4)
		measured := 0.0
		for range 12 {
			measured += traffic.run(1).BusySlots[7] / serviceTime.Seconds() / 12
		}
		t.Logf("%.1f of 72 requests a second measured", measured)
		So(measured, ShouldBeBetween, 0.85*72, 1.1*72)
	})
}

// Load: steady, two minutes. Guards against averages that start again because of random variation,
// whose noise would move keys.
func TestSteadyRatesAreNoSteps(t *testing.T) {
	Convey("No bucket's average starts again", t, func() {
		for _, rate := range []float64{0.1, 1, 10} {
			traffic := newTraffic(uniform(2048, rate))
			traffic.run(240)
			for _, age := range traffic.meter.services["s"].ages {
				So(age, ShouldEqual, 240)
			}
		}
	})
}

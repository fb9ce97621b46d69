package admit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

// Guards against a hot key that takes the place of all others at its holder.
func TestLevel(t *testing.T) {
	Convey("Small demands are met in full, the large one gets the rest", t, func() {
		So(Level([]float64{0.2, 30, 0.3, 0.5}, 3), ShouldEqual, 2)
	})
	Convey("Equal ones share equally", t, func() {
		So(Level([]float64{2, 2, 2, 2}, 3), ShouldEqual, 0.75)
	})
	Convey("What fits is not cut", t, func() {
		So(Level([]float64{0.2, 0.3}, 3), ShouldEqual, 0.3)
		So(Level(nil, 3), ShouldEqual, 0)
	})
}

// answered plays requests of many daemons to one holder that come by chance, and returns how many of
// the hot key's and of the other keys' were answered within their aim.
func answered(gates []*Gate, hot, others float64) (hotInAim, othersInAim int) {
	const work, aim, most, length = 670 * time.Millisecond, 1500 * time.Millisecond, 12, 20 * time.Second
	random := rand.New(rand.NewPCG(5, 5))
	slots := make([]time.Duration, 3) // when each is free
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / (hot + others) * float64(time.Second)) {
		isHot := random.Float64() < hot/(hot+others)
		number := 1
		if isHot {
			number = 0
		}
		if _, ok := gates[random.IntN(len(gates))].Admit(t0.Add(at%time.Second), "s", number); !ok {
			continue
		}
		slot := 0
		for i, f := range slots {
			if f < slots[slot] {
				slot = i
			}
		}
		begin := max(at, slots[slot])
		if begin-at > time.Duration(float64(most)/3*float64(work)) {
			continue // the server's queue is full
		}
		took := time.Duration(float64(work) * random.ExpFloat64())
		slots[slot] = begin + took
		switch {
		case begin+took-at > aim:
		case isHot:
			hotInAim++
		default:
			othersInAim++
		}
	}
	return hotInAim, othersInAim
}

// Guards against daemons that fill a holder's queue, each knowing nothing of the others.
func TestHotKeyOverManyDaemons(t *testing.T) {
	Convey("What is let through is answered in time, the other keys' requests first", t, func() {
		const hot, others, slots, work = 100.0, 2.0, 3.0, 0.67
		demands := []float64{hot * work, others * work}
		level := Level(demands, 0.85*slots)
		open, limited := make([]*Gate, 195), make([]*Gate, 195)
		for i := range open {
			open[i], limited[i] = NewGate(uint64(i)), NewGate(uint64(i))
			limited[i].Set(t0, []Limit{{Service: "s", Bucket: 0, Part: level / demands[0]}})
		}
		hotBefore, othersBefore := answered(open, hot, others)
		hotAfter, othersAfter := answered(limited, hot, others)
		So(othersAfter, ShouldBeGreaterThan, 5*max(1, othersBefore))
		So(hotAfter+othersAfter, ShouldBeGreaterThan, 2*(hotBefore+othersBefore))
	})
}

func TestGate(t *testing.T) {
	Convey("Nothing is refused without a limit, for other keys, or by an old one", t, func() {
		g := NewGate(1)
		_, ok := g.Admit(t0, "s", 1)
		So(ok, ShouldBeTrue)
		g.Set(t0, []Limit{{Service: "s", Bucket: 1}})
		_, ok = g.Admit(t0, "s", 2)
		So(ok, ShouldBeTrue)
		_, ok = g.Admit(t0, "t", 1)
		So(ok, ShouldBeTrue)
		_, ok = g.Admit(t0.Add(lasts), "s", 1)
		So(ok, ShouldBeTrue)
		_, ok = g.Admit(t0, "s", 1)
		So(ok, ShouldBeFalse)
	})
	Convey("Callers are asked back at a rate that can be served", t, func() {
		g := NewGate(1)
		g.Set(t0, []Limit{{Service: "s", Bucket: 1, Part: 0.5}, {Service: "s", Bucket: 2, Part: 0.001}})
		sum, refused := 0.0, 0
		for range 1000 {
			if back, ok := g.Admit(t0, "s", 1); !ok {
				sum += back.Seconds()
				refused++
			}
		}
		So(refused, ShouldBeBetween, 400, 600)
		So(math.Abs(sum/float64(refused)-2*backSoonest.Seconds()), ShouldBeLessThan, 0.02)
		back, ok := g.Admit(t0, "s", 2)
		So(ok, ShouldBeFalse)
		So(back, ShouldBeBetween, backLatest/2, 2*backLatest)
	})
}

// Guards against limits by a wrong guess, which those who are refused can never correct.
func TestLimitsFollowWhatHoldersReport(t *testing.T) {
	const thought, offered = 3.0, 12.0
	round := func(c *Control, i, answers, full int) (float64, bool) {
		now := t0.Add(time.Duration(i) * time.Second / 2)
		c.Report("a", answers, full)
		c.Round(now)
		return c.Capacity(now, "a", thought, offered)
	}
	Convey("A holder that reports no queue is not limited, whatever is thought of it", t, func() {
		c := NewControl()
		_, limited := c.Capacity(t0, "a", thought, offered)
		So(limited, ShouldBeFalse)
		for i := range 10 {
			_, limited = round(c, i, 5, 0)
			So(limited, ShouldBeFalse)
		}
	})
	Convey("A full one is", t, func() {
		capacity, limited := round(NewControl(), 0, 5, 4)
		So(limited, ShouldBeTrue)
		So(capacity, ShouldBeBetween, 0.8*thought, thought)
	})
	Convey("One that turns out to bear more gets more, until nothing is refused", t, func() {
		c := NewControl()
		_, limited := round(c, 0, 5, 4)
		So(limited, ShouldBeTrue)
		rounds := 1
		for ; limited && rounds < 20; rounds++ {
			_, limited = round(c, rounds, 5, 0)
		}
		So(rounds, ShouldBeLessThan, 10)
	})
	Convey("One whose queue stays long gets less", t, func() {
		c := NewControl()
		first, _ := round(c, 0, 5, 5)
		last := first
		for i := 1; i < 6; i++ {
			last, _ = round(c, i, 5, 5)
		}
		So(last, ShouldBeLessThan, 0.9*first)
		So(last, ShouldBeGreaterThan, 0.6*thought)
	})
}

// Guards against a holder that is limited for a long queue which it reported long ago.
func TestOldReportsLimitNobody(t *testing.T) {
	Convey("A long queue counts for a moment only", t, func() {
		c := NewControl()
		c.Report("a", 4, 4)
		c.Round(t0)
		_, limited := c.Capacity(t0.Add(fullLasts), "a", 3, 12)
		So(limited, ShouldBeFalse)
		_, limited = c.Capacity(t0.Add(fullLasts/2), "a", 3, 12)
		So(limited, ShouldBeTrue)
	})
}

// Guards against a watch of a holder's queue that ends since it has kept the queue short.
func TestContendedOutlastsTheQueue(t *testing.T) {
	Convey("A holder stays contended for a while after its last long queue", t, func() {
		c := NewControl()
		So(c.Contended(t0, "a"), ShouldBeFalse)
		c.Report("a", 4, 4)
		c.Round(t0)
		for _, d := range []time.Duration{time.Second, contendedLasts - time.Second} {
			c.Report("a", 4, 0)
			c.Round(t0.Add(d))
			So(c.Contended(t0.Add(d), "a"), ShouldBeTrue)
		}
		c.Report("a", 4, 0)
		c.Round(t0.Add(contendedLasts))
		So(c.Contended(t0.Add(contendedLasts), "a"), ShouldBeFalse)
	})
}

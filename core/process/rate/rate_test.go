package rate

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	window = 500 * time.Millisecond
	work   = 90 * time.Millisecond
	aim    = 300 * time.Millisecond
)

// callers send requests by chance, so many a second for each bucket.
type callers struct {
	random *rand.Rand
	meter  *Meter
	now    time.Time
	rates  []float64
}

func newCallers(rates []float64) *callers {
	c := &callers{random: rand.New(rand.NewPCG(5, 7)), meter: New(len(rates)), now: time.Unix(1000, 0), rates: rates}
	c.meter.Roll(c.now)
	return c
}

// pass plays some windows and returns the last load.
func (c *callers) pass(windows int) (l Load) {
	for range windows {
		for i, r := range c.rates {
			n := drawn(c.random, r*window.Seconds())
			c.meter.Add("s", i, n, time.Duration(n)*work, time.Duration(n)*aim)
		}
		c.now = c.now.Add(window)
		l = c.meter.Roll(c.now)[0]
	}
	return l
}

// drawn draws how many requests come where so many are expected.
func drawn(r *rand.Rand, expected float64) (n int) {
	for t := r.ExpFloat64(); t < expected; t += r.ExpFloat64() {
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

func even(n int, rate float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = rate
	}
	return out
}

// Guards against a load that is underestimated in the first seconds.
func TestStart(t *testing.T) {
	Convey("The whole load is seen after two windows", t, func() {
		l := newCallers(even(100, 3)).pass(2)
		So(sum(l.Slots), ShouldBeBetween, 0.75*100*3*work.Seconds(), 1.25*100*3*work.Seconds())
		So(l.Each, ShouldEqual, work)
		So(l.Aim, ShouldEqual, aim)
	})
}

// Everybody asks for one key for a few seconds.
func TestHotKey(t *testing.T) {
	Convey("It is seen within two windows, and so is its end", t, func() {
		c := newCallers(even(100, 0.5))
		c.pass(20)
		c.rates[7] = 60
		So(c.pass(2).Slots[7], ShouldBeBetween, 0.6*60*work.Seconds(), 1.4*60*work.Seconds())
		c.rates[7] = 0
		So(c.pass(2).Slots[7], ShouldBeLessThan, 0.1*60*work.Seconds())
	})
	Convey("Chance alone makes no bucket hot", t, func() {
		c := newCallers(even(100, 0.5))
		c.pass(20)
		for range 20 {
			l := c.pass(1)
			for _, s := range l.Slots {
				So(s, ShouldBeLessThan, 8*0.5*work.Seconds())
			}
		}
	})
}

// Guards against a stretch of hot keys that is overlooked, since no bucket alone stands out from chance.
func TestHotNeighbours(t *testing.T) {
	Convey("The stretch is seen as a whole within two windows, and the others stay as they are", t, func() {
		const from, to, before, hot = 700, 780, 0.3, 3.0
		c := newCallers(even(2048, before))
		c.pass(20)
		for b := from; b < to; b++ {
			c.rates[b] = hot
		}
		l := c.pass(2)
		busy := (to - from) * hot * work.Seconds()
		So(sum(l.Slots[from:to]), ShouldBeBetween, 0.7*busy, 1.2*busy)
		others := (2048 - to + from) * before * work.Seconds()
		So(sum(l.Slots)-sum(l.Slots[from:to]), ShouldBeBetween, 0.85*others, 1.15*others)
		Convey("So is its end", func() {
			for b := from; b < to; b++ {
				c.rates[b] = before
			}
			So(sum(c.pass(2).Slots[from:to]), ShouldBeLessThan, 0.5*busy)
		})
	})
}

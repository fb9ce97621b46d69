package permit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

func newRequest(id uint64) Request {
	return Request{Server: "a", ID: id, Slots: 3, ServiceTime: 600 * time.Millisecond, LatencyBudget: 1200 * time.Millisecond, TTL: 4 * time.Second}
}

func TestAcquire(t *testing.T) {
	Convey("Permits are granted while a response can come in time", t, func() {
		i, granted := NewIssuer(1), uint64(0)
		for id := range uint64(20) {
			d := i.Acquire(t0, newRequest(id))
			if !d.Granted {
				So(d.RetryAfter, ShouldBeGreaterThan, 0)
				break
			}
			granted++
		}
		So(granted, ShouldEqual, 6) // three run, and three wait for one of them to end
		Convey("A permit is granted again when a request has ended", func() {
			i.Release("a", 2)
			So(i.Acquire(t0, newRequest(30)).Granted, ShouldBeTrue)
			So(i.Acquire(t0, newRequest(31)).Granted, ShouldBeFalse)
		})
		Convey("A request that may take longer gets a permit, and so does one to another server", func() {
			r := newRequest(30)
			r.LatencyBudget = 3 * time.Second
			So(i.Acquire(t0, r).Granted, ShouldBeTrue)
			r = newRequest(31)
			r.Server = "b"
			So(i.Acquire(t0, r).Granted, ShouldBeTrue)
		})
		Convey("A request that asks again keeps its permit", func() {
			So(i.Acquire(t0, newRequest(1)).Granted, ShouldBeTrue)
		})
	})
	Convey("A request is never refused while a slot is free", t, func() {
		r := newRequest(1)
		r.LatencyBudget = 0
		So(NewIssuer(1).Acquire(t0, r).Granted, ShouldBeTrue)
	})
	Convey("Few daemons can see a queue without permits, many cannot", t, func() {
		So(QueueVisibility(9, 3), ShouldEqual, 1)
		So(QueueVisibility(195, 3), ShouldBeLessThan, 0.1)
	})
	Convey("Permits do not pay off for short requests", t, func() {
		So(Worthwhile(5*time.Millisecond), ShouldBeFalse)
		So(Worthwhile(500*time.Millisecond), ShouldBeTrue)
	})
}

// Guards against a server that stays full of requests whose daemon lost power and never reports
// their end.
func TestUnreportedEndsExpire(t *testing.T) {
	Convey("Requests are not counted after their TTL", t, func() {
		i := NewIssuer(1)
		for id := range uint64(6) {
			i.Acquire(t0, newRequest(id))
		}
		So(i.Acquire(after(3*time.Second), newRequest(9)).Granted, ShouldBeFalse)
		So(i.Acquire(after(4*time.Second), newRequest(9)).Granted, ShouldBeTrue)
		So(i.Count(), ShouldEqual, 1)
		i.Expire(after(9 * time.Second))
		So(i.Count(), ShouldEqual, 0)
		So(i.servers, ShouldBeEmpty)
	})
}

// simulate sends requests with Poisson arrivals to one server of three slots, and returns the
// fraction that is answered within the latency target. Callers give up after twice that time, which
// cancels their requests at the server. Permits take a round trip between data centres.
func simulate(offeredLoad float64, issuer *Issuer) float64 {
	const serviceTime, latencyTarget, networkDelay, duration = 600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Millisecond, 500 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	slotFreeAt := make([]time.Duration, 3)
	type release struct {
		at time.Duration
		id uint64
	}
	var releases []release
	id, sent, onTime := uint64(0), 0, 0
	for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() * float64(serviceTime) / (3 * offeredLoad)) {
		sent++
		id++
		for len(releases) > 0 && releases[0].at+networkDelay <= at {
			issuer.Release("a", releases[0].id)
			releases = releases[1:]
		}
		r := newRequest(id)
		if issuer != nil && !issuer.Acquire(after(at), r).Granted {
			continue
		}
		slot := slices.Index(slotFreeAt, slices.Min(slotFreeAt))
		startsAt := max(at+networkDelay, slotFreeAt[slot])
		givesUpAt := at + 2*latencyTarget
		if startsAt >= givesUpAt {
			releases = append(releases, release{givesUpAt, id})
			continue
		}
		doneAt := min(givesUpAt, startsAt+time.Duration(random.ExpFloat64()*float64(serviceTime)))
		slotFreeAt[slot] = doneAt
		if doneAt-at <= latencyTarget {
			onTime++
		}
		if issuer != nil {
			releases = append(releases, release{doneAt, id})
			slices.SortFunc(releases, func(a, b release) int { return int(a.at - b.at) })
		}
	}
	return float64(onTime) / float64(sent)
}

// Guards against a server that runs requests whose callers have given up, because each of hundreds
// of daemons does not see the requests of the others.
func TestOverloadedServer(t *testing.T) {
	Convey("Permits raise the fraction answered in time by half under overload, and keep it at a low load", t, func() {
		for _, offeredLoad := range []float64{1.1, 1.4} {
			without, with := simulate(offeredLoad, nil), simulate(offeredLoad, NewIssuer(1))
			t.Logf("offered %.1f: in time %.2f without permits, %.2f with", offeredLoad, without, with)
			So(with, ShouldBeGreaterThan, 1.5*without)
		}
		without, with := simulate(0.5, nil), simulate(0.5, NewIssuer(1))
		t.Logf("offered 0.5: in time %.2f without permits, %.2f with", without, with)
		So(with, ShouldBeGreaterThan, 0.98*without)
	})
}

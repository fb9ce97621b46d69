package spread

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/class"
)

// rankedRequirements are those of a request of a route for each rank, whose latency target grows with
// the rank.
func rankedRequirements(now time.Time, rank int) Requirements {
	req := requirements(now)
	req.Route, req.Rank, req.Priority = []string{"first", "second", "third"}[rank], rank, rank
	req.LatencyTarget, req.Deadline = surgeTargets[rank], now.Add(time.Minute)
	return req
}

// newRankedBalancer returns a Balancer that has served requests of 50 ms of three ranks.
func newRankedBalancer() *Balancer {
	b, list := newBalancer(), servers(1)
	for i := range 300 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		req := rankedRequirements(now, i%len(surgeTargets))
		b.Evaluate(now, req, list[0])
		b.Begin(now, list[0], req)
		b.End(now.Add(surgeWork), list[0], req, now, Answered, &Report{Running: 1, Slots: 4, Slowdown: 1})
		b.routeStats(req).typicalSeconds = surgeWork.Seconds() // without what was assumed at first
	}
	return b
}

// wait is how long a request may wait for a slot.
func (b *Balancer) wait(req Requirements) time.Duration {
	return b.LatencyBudget(req) - b.TypicalServiceTime(req)
}

// Guards against less urgent requests that wait longer than more urgent ones, since their own targets
// are longer.
func TestWaitByRank(t *testing.T) {
	now := t0.Add(31 * time.Second)
	Convey("Each rank waits a share of what the rank before may", t, func() {
		b := newRankedBalancer()
		first := b.wait(rankedRequirements(now, 0))
		So(first, ShouldEqual, 710*time.Millisecond)
		So(b.wait(rankedRequirements(now, 1)).Seconds(), ShouldAlmostEqual, class.WaitShare*first.Seconds(), 0.001)
		So(b.wait(rankedRequirements(now, 2)).Seconds(), ShouldAlmostEqual, class.WaitShare*class.WaitShare*first.Seconds(), 0.001)
	})
	Convey("A promoted request waits as long as one of rank 0, though its target is longer", t, func() {
		b := newRankedBalancer()
		promoted := rankedRequirements(now, 2)
		promoted.Promoted = true
		So(b.wait(promoted).Seconds(), ShouldAlmostEqual, b.wait(rankedRequirements(now, 0)).Seconds(), 0.001)
	})
	Convey("A request never waits longer than by its own target", t, func() {
		b := newRankedBalancer()
		req := rankedRequirements(now, 2)
		req.LatencyTarget = 200 * time.Millisecond
		So(b.LatencyBudget(req), ShouldEqual, 150*time.Millisecond)
	})
	Convey("A deferred request waits less than others of its rank", t, func() {
		b := newRankedBalancer()
		deferred := rankedRequirements(now, 1)
		deferred.Deferred = true
		So(b.LatencyBudget(deferred), ShouldBeLessThan, b.LatencyBudget(rankedRequirements(now, 1)))
	})
	Convey("Without more urgent requests, its own target counts", t, func() {
		So(newBalancer().LatencyBudget(rankedRequirements(now, 2)), ShouldEqual, 1500*time.Millisecond)
	})
	Convey("A route without time to wait does not close the queue to less urgent ones", t, func() {
		b := newRankedBalancer()
		slow := rankedRequirements(now, 0)
		slow.Route, slow.LatencyTarget = "slow", 10*time.Millisecond
		before := b.wait(rankedRequirements(now, 1))
		b.routeStats(slow).typicalSeconds = 0.1
		b.Evaluate(now, slow, servers(1)[0])
		So(b.wait(rankedRequirements(now, 1)), ShouldEqual, before)
	})
	Convey("The shortest wait of a rank counts, until its route was not requested for long", t, func() {
		b := newRankedBalancer()
		short := rankedRequirements(now, 0)
		short.Route, short.LatencyTarget = "short", 200*time.Millisecond
		before := b.wait(rankedRequirements(now, 1))
		b.Evaluate(now, short, servers(1)[0])
		So(b.wait(rankedRequirements(now, 1)), ShouldBeLessThan, before/3)
		later := now.Add(2 * routeWaitRetention)
		b.Evaluate(later, rankedRequirements(later, 0), servers(1)[0])
		So(b.wait(rankedRequirements(now, 1)), ShouldEqual, before)
	})
}

// Guards against a rank whose requests have ended, and whose last wait still bounds the less urgent ranks.
func TestRankWithoutRequests(t *testing.T) {
	now := t0.Add(31 * time.Second)
	Convey("A rank without requests for long bounds no other", t, func() {
		b := newRankedBalancer()
		later := now.Add(routeWaitRetention + time.Second)
		for _, rank := range []int{1, 2} {
			b.Evaluate(later, rankedRequirements(later, rank), servers(1)[0])
		}
		So(b.LatencyBudget(rankedRequirements(later, 1)), ShouldEqual, 850*time.Millisecond)
		So(b.wait(rankedRequirements(later, 2)).Seconds(), ShouldAlmostEqual, class.WaitShare*0.8, 0.001)
		promoted := rankedRequirements(later, 2)
		promoted.Promoted = true
		So(b.LatencyBudget(promoted), ShouldEqual, 1500*time.Millisecond)
	})
}

// decline records that a full server declined a request of rank 0.
func decline(b *Balancer, now time.Time, waiting int) {
	server, req := servers(1)[0], rankedRequirements(now, 0)
	b.Begin(now, server, req)
	b.End(now, server, req, now, Declined, &Report{Running: 4, Waiting: waiting, Slots: 4, Slowdown: 1})
}

// queueOf sets how many requests of other daemons wait at the server.
func queueOf(b *Balancer, now time.Time, waiting int) {
	st := b.stateOf(servers(1)[0])
	st.reportedLoad, st.reportedAt = float64(4+waiting), now
}

// Guards against queues that are shorter than the budgets and are filled by requests of all ranks alike.
func TestQueuePlacesByRank(t *testing.T) {
	now := t0.Add(31 * time.Second)
	refusedAt := func(b *Balancer, rank, waiting int) bool {
		queueOf(b, now, waiting)
		return b.Evaluate(now, rankedRequirements(now, rank), servers(1)[0]).Refused()
	}
	Convey("Each rank leaves places of a queue of 12 to more urgent ones", t, func() {
		b := newRankedBalancer()
		decline(b, now, 12)
		for rank, places := range []int{12, 7, 4} {
			So(refusedAt(b, rank, places-1), ShouldBeFalse)
			if rank > 0 {
				So(refusedAt(b, rank, places), ShouldBeTrue)
			}
		}
		So(refusedAt(b, 0, 12), ShouldBeFalse) // as before
	})
	Convey("A decline by a server with room is no sign of a full queue", t, func() {
		b := newRankedBalancer()
		decline(b, now, 3)
		So(math.IsInf(b.queuePlaces(now, rankedRequirements(now, 2)), 1), ShouldBeTrue)
	})
	Convey("Neither is one of a request for a key that the server does not hold", t, func() {
		b := newRankedBalancer()
		server, req := servers(1)[0], rankedRequirements(now, 0)
		b.Begin(now, server, req)
		b.End(now, server, req, now, Misdirected, &Report{Running: 4, Waiting: 12, Slots: 4, Slowdown: 1})
		So(math.IsInf(b.queuePlaces(now, rankedRequirements(now, 2)), 1), ShouldBeTrue)
	})
	Convey("The fewest places count, and the bound rises while no server declines", t, func() {
		b := newRankedBalancer()
		decline(b, now, 12)
		decline(b, now, 14)
		So(b.queuePlaces(now, rankedRequirements(now, 1)), ShouldAlmostEqual, 7.2)
		So(b.queuePlaces(now.Add(queueBoundDoubling), rankedRequirements(now, 1)), ShouldAlmostEqual, 14.4)
		decline(b, now.Add(queueBoundDoubling), 14)
		So(b.queuePlaces(now.Add(queueBoundDoubling), rankedRequirements(now, 1)), ShouldAlmostEqual, 8.4)
	})
	Convey("A promoted request may fill the queue", t, func() {
		b := newRankedBalancer()
		decline(b, now, 12)
		promoted := rankedRequirements(now, 2)
		promoted.Promoted = true
		queueOf(b, now, 11)
		So(b.Evaluate(now, promoted, servers(1)[0]).Refused(), ShouldBeFalse)
	})
	Convey("A permit is asked for with the time that the places take", t, func() {
		b := newRankedBalancer()
		decline(b, now, 12)
		So(b.PermitBudget(now, rankedRequirements(now, 0), servers(1)[0]), ShouldEqual, b.LatencyBudget(rankedRequirements(now, 0)))
		So(b.PermitBudget(now, rankedRequirements(now, 1), servers(1)[0]).Seconds(), ShouldAlmostEqual, 0.05+7.2*0.05/4, 0.002)
	})
}

// Guards against less urgent requests that fill the queues of holders of which their daemons have no recent
// report.
func TestUnreportedHolderByRank(t *testing.T) {
	Convey("A holder counts as loaded as others, except for requests of rank 0", t, func() {
		b, now := newRankedBalancer(), t0.Add(31*time.Second)
		list := servers(2)
		for range 30 {
			b.Begin(now, list[0], rankedRequirements(now, 0))
			b.End(now, list[0], rankedRequirements(now, 0), now, Declined, &Report{Running: 4, Waiting: 12, Slots: 4, Slowdown: 1})
		}
		for rank, refused := range []bool{false, true, true} {
			So(b.Evaluate(now, rankedRequirements(now, rank), list[1]).Refused(), ShouldEqual, refused)
		}
	})
}

// Guards against less urgent callers who come back before the queue has room for them, or before more
// urgent ones.
func TestRetryAfterByRank(t *testing.T) {
	now := t0.Add(31 * time.Second)
	retryAfter := func(b *Balancer, rank int) (mean time.Duration) {
		for range 200 {
			c := b.Evaluate(now, rankedRequirements(now, rank), servers(1)[0])
			So(c.Reason, ShouldEqual, AllBusy)
			mean += c.RetryAfter / 200
		}
		return mean
	}
	Convey("It is the time in which the queue falls to the places of the rank", t, func() {
		b := newRankedBalancer()
		decline(b, now, 12)
		queueOf(b, now, 19)
		So(retryAfter(b, 1).Seconds(), ShouldAlmostEqual, (20-7.2)*0.05/4, 0.01)
		So(retryAfter(b, 2).Seconds(), ShouldAlmostEqual, (20-4.32)*0.05/4, 0.01)
	})
	Convey("Without a bound for the queue, or with one learnt long ago, only the wait counts", t, func() {
		b := newRankedBalancer()
		server, req := servers(1)[0], rankedRequirements(now, 1)
		So(b.excessWait(now, req, server, 0, 0, 0.0125), ShouldEqual, 0)
		queueOf(b, now, 69)
		So(retryAfter(b, 1).Seconds(), ShouldAlmostEqual, 0.875-0.426, 0.02)
		decline(b, now.Add(-1000*queueBoundDoubling), 12)
		So(b.excessWait(now, req, server, 0, 0, 0.0125), ShouldEqual, 0)
	})
	Convey("It is the time in which the wait falls to that of the rank, and never before a more urgent one", t, func() {
		b := newRankedBalancer()
		queueOf(b, now, 69) // a wait of 0.875 s
		first := retryAfter(b, 0)
		So(first.Seconds(), ShouldAlmostEqual, 0.8/3, 0.01)
		So(retryAfter(b, 1).Seconds(), ShouldAlmostEqual, 0.875-0.426, 0.02)
		So(retryAfter(b, 2), ShouldBeGreaterThan, retryAfter(b, 1))
	})
}

// Guards against a service with one rank that is treated otherwise than before there were ranks.
func TestOneRankHasNoBounds(t *testing.T) {
	now := t0.Add(31 * time.Second)
	Convey("Neither learnt bounds nor routes of other ranks change the budget of rank 0", t, func() {
		b := newRankedBalancer()
		req := rankedRequirements(now, 0)
		want := time.Duration(0.95 * float64(req.LatencyTarget))
		for range 5 {
			decline(b, now, 4)
		}
		So(b.LatencyBudget(req), ShouldEqual, want)
		So(b.PermitBudget(now, req, servers(1)[0]), ShouldEqual, want)
		So(math.IsInf(b.queuePlaces(now, req), 1), ShouldBeTrue)
	})
}

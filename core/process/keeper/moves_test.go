package keeper

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// Guards against concurrent moves from one server, which together close most of its keys.
func TestOneMoveAtATimePerServer(t *testing.T) {
	Convey("No server is the source or target of two concurrent balancing moves", t, func() {
		l, _, h := newBalancedModel(200)
		r := h.keeper.Table().Services[0].Ranges[0]
		for i := range 4 { // four hot buckets in different parts of the range overload the holder
			l.requestRates[Bucket(r.From)+i*(Bucket(r.To)-Bucket(r.From))/4] = 40
		}
		mostMoves := 0
		for range 20 {
			h.update(l.report(h.now, time.Second/2))
			h.advance(time.Second/2, alwaysResult(grant.Done), alwaysResult(grant.NotSent)) // no holder releases its range
			moves := map[grant.Holder]int{}
			for _, rs := range h.keeper.services[0].ranges {
				if rs.step != held {
					moves[rs.Holder]++
					moves[rs.Next]++
				}
			}
			for _, n := range moves {
				mostMoves = max(mostMoves, n)
			}
		}
		So(mostMoves, ShouldEqual, 1)
	})
}

// Guards against cold servers that get the keys of lost servers because the cold ones have no
// load yet, and then refuse most of the requests.
func TestKeysOfLostServersDoNotOverloadColdServers(t *testing.T) {
	Convey("Cold servers get no more requests than they can handle", t, func() {
		l, servers, h := newBalancedModel(200)
		l.coldRate = 4
		l.advance(h, time.Second)
		replaced := slices.Clone(servers[:7])
		for _, srv := range servers[7:] {
			delete(l.slowdowns, srv.ID)
			cold := testServer("cold"+srv.ID, false)
			cold.ColdLeft, cold.Slots = 3*time.Second, 4
			l.slowdowns[cold.ID] = 1
			replaced = append(replaced, cold)
		}
		h.setFleet(replaced...)
		h.advance(balanceInterval/2, alwaysResult(grant.Done), alwaysResult(grant.Done))
		for _, srv := range replaced[7:] {
			So(l.requestRateOf(h.keeper.Table(), srv.ID), ShouldBeLessThanOrEqualTo, l.coldRate)
		}
	})
}

// Guards against a cold server that gets half of the load of the busiest server.
func TestColdServerGetsFewKeys(t *testing.T) {
	Convey("A cold server first gets no more than it can handle, and more once it is warm", t, func() {
		l, servers, h := newBalancedModel(400)
		cold := testServer("cold", false)
		cold.ColdLeft, cold.Slots = 3*time.Second, 4
		l.slowdowns[cold.ID], l.coldRate = 1, 11
		h.setFleet(append(slices.Clone(servers), cold)...)
		l.advance(h, 3*time.Second)
		rate := l.requestRateOf(h.keeper.Table(), cold.ID)
		t.Logf("while cold it gets %.1f requests a second", rate)
		So(rate, ShouldBeBetween, 0, 11)
		cold.ColdLeft = 0
		h.setFleet(append(slices.Clone(servers), cold)...)
		l.advance(h, 5*time.Second)
		warm := l.requestRateOf(h.keeper.Table(), cold.ID)
		t.Logf("once warm it gets %.1f requests a second", warm)
		So(warm, ShouldBeGreaterThan, rate)
	})
}

// Guards against moves that save less than it costs to publish them to many daemons.
func TestFewerMovesWithManyDaemons(t *testing.T) {
	Convey("With many daemons there are fewer moves, and still fewer requests are lost than at equal utilisation", t, func() {
		moves := func(daemons int) (n int) {
			l, servers := newLoadModel(13, 120, 0.18, 0.37) // 120 requests a second of 0.18 s on 13 servers
			h := newHarness(grant.Range{}, WithGrantTTL(3500*time.Millisecond))
			h.keeper.services = nil
			h.update(FleetMsg{Fleet: fleet.New(servers), KeyedServices: []string{testService}, DaemonCount: daemons})
			h.endEarlierTerm()
			l.advance(h, 30*time.Second)
			lost, lostAtEqualUtilisation := l.lostPerSecond(h.keeper.Table())
			So(lost, ShouldBeLessThan, lostAtEqualUtilisation)
			for _, c := range h.cmds {
				if entry, ok := c.(LogCmd); ok && entry.Reason == "balance" {
					n++
				}
			}
			return n
		}
		few, many := moves(8), moves(80)
		t.Logf("%d moves with 8 daemons, %d with 80", few, many)
		So(many, ShouldBeLessThan, few)
	})
}

// Guards against a server that is overloaded because it gets the keys of all lost servers.
func TestKeysOfLostServersAreDistributed(t *testing.T) {
	Convey("No server's utilisation is much higher than the mean", t, func() {
		l, servers, h := newBalancedModel(250)
		for _, srv := range servers[7:] {
			delete(l.slowdowns, srv.ID)
		}
		h.setFleet(servers[:7]...)
		h.advance(10*time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		highest, mean := l.utilisation(h.keeper.Table())
		t.Logf("highest utilisation %.2f, mean of all servers %.2f", highest, mean)
		So(highest, ShouldBeLessThan, 1.6*mean)
	})
}

// Guards against a renewal whose result is dropped because its range was merged with another
// while the call was in flight.
func TestOnlySettledRangesAreMerged(t *testing.T) {
	start := func() *harness {
		a := holderOf(testServer("a", false))
		table := grant.Table{Epoch: 2, Seq: 10, Leader: grant.Leader{Daemon: "d", Incarnation: 1}, Services: []grant.ServiceRanges{{Service: testService,
			Ranges: []grant.Range{{From: 0, To: 32767, Holder: a}, {From: 32768, To: grant.LastKey, Holder: a}}}}}
		h := &harness{now: time.Unix(1000, 0)}
		h.keeper = New(h.now, table, 5, WithGrantTTL(2*time.Second))
		h.setFleet(testServer("a", false))
		return h
	}
	rangeCount := func(h *harness) int { return len(h.keeper.Table().Services[0].Ranges) }
	Convey("Ranges with a call in flight are not merged", t, func() {
		h := start()
		for range 80 { // no call is answered
			h.now = h.now.Add(50 * time.Millisecond)
			h.update(TickMsg{})
		}
		So(h.grantsTo("a"), ShouldHaveLength, 2)
		So(rangeCount(h), ShouldEqual, 2)
	})
	Convey("A moving range is not merged", t, func() {
		h := start()
		h.advance(balanceInterval/2, alwaysResult(grant.Done), alwaysResult(grant.Done))
		h.keeper.services[0].ranges[0].step = releasing
		h.keeper.balanceAtOnce(h.now)
		So(rangeCount(h), ShouldEqual, 2)
	})
	Convey("Once all calls are answered they are merged, and renewed by one call", t, func() {
		h := start()
		h.advance(3*time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(rangeCount(h), ShouldEqual, 1)
		last := h.grantsTo("a")[len(h.grantsTo("a"))-1]
		So(last.From, ShouldEqual, 0)
		So(last.To, ShouldEqual, grant.LastKey)
	})
}

// balanceAtOnce runs a balancing round without waiting for its interval.
func (k *Keeper) balanceAtOnce(now time.Time) {
	for _, s := range k.services {
		s.balancedAt = time.Time{}
		k.balance(now, s)
	}
}

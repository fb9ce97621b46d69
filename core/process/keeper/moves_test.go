package keeper

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// Guards against several moves that close most of what one server holds.
func TestOneMoveAtATimeForAServer(t *testing.T) {
	Convey("No server takes part in two moves for balance", t, func() {
		l, _, s := started(200)
		r := s.k.Table().Services[0].Ranges[0]
		for i := range 4 { // more than its holder can run, in several places
			l.rates[Bucket(r.From)+i*(Bucket(r.To)-Bucket(r.From))/4] = 40
		}
		most := 0
		for range 20 {
			s.tell(l.count(s.now, time.Second/2))
			s.pass(time.Second/2, always(grant.Done), always(grant.NotSent)) // no holder lets go
			taking := map[grant.Holder]int{}
			for _, sp := range s.k.shares[0].spans {
				if sp.step != held {
					taking[sp.Holder]++
					taking[sp.Next]++
				}
			}
			for _, n := range taking {
				most = max(most, n)
			}
		}
		So(most, ShouldEqual, 1)
	})
}

// Guards against idle cold servers that get the keys of lost ones, and refuse their callers.
func TestLostKeysDoNotGoToColdServers(t *testing.T) {
	Convey("Cold servers get what they bear", t, func() {
		l, list, s := started(200)
		l.coldRate = 4
		l.pass(s, time.Second)
		left := slices.Clone(list[:7])
		for _, v := range list[7:] {
			delete(l.speeds, v.ID)
			cold := named("cold"+v.ID, false)
			cold.ColdLeft, cold.Slots = 3*time.Second, 4
			l.speeds[cold.ID] = 1
			left = append(left, cold)
		}
		s.fleet(left...)
		s.pass(balanceEvery/2, always(grant.Done), always(grant.Done))
		for _, v := range left[7:] {
			So(l.rateOf(s.k.Table(), v.ID), ShouldBeLessThanOrEqualTo, l.coldRate)
		}
	})
}

// Guards against a cold server that gets half of the keys of the busiest one.
func TestColdServerGetsFewKeys(t *testing.T) {
	Convey("Its first keys bring no more than it bears, later ones come when it is warm", t, func() {
		l, list, s := started(400)
		cold := named("cold", false)
		cold.ColdLeft, cold.Slots = 3*time.Second, 4
		l.speeds[cold.ID], l.coldRate = 1, 11
		s.fleet(append(slices.Clone(list), cold)...)
		l.pass(s, 3*time.Second)
		rate := l.rateOf(s.k.Table(), cold.ID)
		t.Logf("cold it gets %.1f requests a second", rate)
		So(rate, ShouldBeBetween, 0, 11)
		cold.ColdLeft = 0
		s.fleet(append(slices.Clone(list), cold)...)
		l.pass(s, 5*time.Second)
		warm := l.rateOf(s.k.Table(), cold.ID)
		t.Logf("warm it gets %.1f requests a second", warm)
		So(warm, ShouldBeGreaterThan, rate)
	})
}

// Guards against moves that save next to nothing and are published to many daemons.
func TestMovesCostMoreWithManyDaemons(t *testing.T) {
	Convey("With many daemons keys move less, and still better than evenly", t, func() {
		moves := func(daemons int) (n int) {
			l, list := newLoad(13, 120, 0.18, 0.37)
			s := begin(grant.Range{}, WithHold(3500*time.Millisecond))
			s.k.shares = nil
			s.tell(FleetMsg{Fleet: fleet.New(list), Keyed: []string{oneService}, Daemons: daemons})
			s.tell(OldLeaderMsg{At: s.now})
			l.pass(s, 30*time.Second)
			lost, even := l.lost(s.k.Table())
			So(lost, ShouldBeLessThan, even)
			for _, c := range s.cmds {
				if note, ok := c.(NoteCmd); ok && note.Reason == "balance" {
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

// Guards against one overloaded server that gets the keys of all lost ones.
func TestKeysOfLostServersAreShared(t *testing.T) {
	Convey("No server gets much more than the others", t, func() {
		l, list, s := started(250)
		for _, v := range list[7:] {
			delete(l.speeds, v.ID)
		}
		s.fleet(list[:7]...)
		s.pass(10*time.Second, always(grant.Done), always(grant.Done))
		most, mean := l.busiest(s.k.Table())
		t.Logf("the busiest has %.2f of its slots busy, all together %.2f", most, mean)
		So(most, ShouldBeLessThan, 1.6*mean)
	})
}

// Guards against a renewal on its way that nobody waits for, since its range was joined with another.
func TestOnlyCalmRangesAreJoined(t *testing.T) {
	start := func() *story {
		a := holder(named("a", false))
		table := grant.Table{Epoch: 2, Seq: 10, Leader: grant.Leader{Daemon: "d", Incarnation: 1}, Services: []grant.ServiceRanges{{Service: oneService,
			Ranges: []grant.Range{{From: 0, To: 32767, Holder: a}, {From: 32768, To: grant.LastKey, Holder: a}}}}}
		s := &story{now: time.Unix(1000, 0)}
		s.k = New(s.now, table, 5, WithHold(2*time.Second))
		s.fleet(named("a", false))
		return s
	}
	ranges := func(s *story) int { return len(s.k.Table().Services[0].Ranges) }
	Convey("With a call out they stay apart", t, func() {
		s := start()
		for range 80 { // no call is answered
			s.now = s.now.Add(50 * time.Millisecond)
			s.tell(TickMsg{})
		}
		So(s.grantsTo("a"), ShouldHaveLength, 2)
		So(ranges(s), ShouldEqual, 2)
	})
	Convey("A range on its way to another server stays apart", t, func() {
		s := start()
		s.pass(balanceEvery/2, always(grant.Done), always(grant.Done))
		s.k.shares[0].spans[0].step = releasing
		s.k.balanceNow(s.now)
		So(ranges(s), ShouldEqual, 2)
	})
	Convey("Once all is answered they are one, and renewed as one", t, func() {
		s := start()
		s.pass(3*time.Second, always(grant.Done), always(grant.Done))
		So(ranges(s), ShouldEqual, 1)
		last := s.grantsTo("a")[len(s.grantsTo("a"))-1]
		So(last.From, ShouldEqual, 0)
		So(last.To, ShouldEqual, grant.LastKey)
	})
}

// balanceNow makes the next round of moves for balance come at once.
func (k *Keeper) balanceNow(now time.Time) {
	for _, s := range k.shares {
		s.balanced = time.Time{}
		k.balance(now, s)
	}
}

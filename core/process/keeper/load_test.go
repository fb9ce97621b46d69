package keeper

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/process/queue"
	"catkinstep/core/process/rate"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// load is a service whose keys are asked for unevenly, by callers that come by
// chance: what the leader counts in a second is noisy.
type load struct {
	random *rand.Rand
	rates  [Buckets]float64 // requests a second
	work   float64          // slot seconds of a request at a server of usual speed
	meter  *rate.Meter
	speeds map[string]float64
	slots  float64
	// coldRate is how many requests a second a cold server bears.
	coldRate float64
}

// newLoad spreads requests over the keys with a skew, neighbours alike.
func newLoad(servers int, perSecond, work, skew float64) (*load, []fleet.Server) {
	l := &load{random: rand.New(rand.NewPCG(3, 9)), work: work, meter: rate.New(Buckets), speeds: map[string]float64{}, slots: 4}
	total, weights := 0.0, [Buckets]float64{}
	for i := range weights {
		weights[i] = math.Pow(float64((i*7)%Buckets/16+1), -skew)
		total += weights[i]
	}
	for i := range weights {
		l.rates[i] = perSecond * weights[i] / total
	}
	var list []fleet.Server
	for i := range servers {
		id := fmt.Sprintf("s%03d", i)
		l.speeds[id] = []float64{0.6, 1, 1.4}[i%3]
		list = append(list, fleet.Server{ID: id, Address: id, Service: oneService, DataCentre: "x", Slots: 4, Born: 1})
	}
	return l, list
}

// count plays some time of requests, and returns what the leader makes of them.
func (l *load) count(now time.Time, d time.Duration) LoadMsg {
	for i, r := range l.rates {
		n := chance(l.random, r*d.Seconds())
		work := time.Duration(float64(n) * l.work * float64(time.Second))
		l.meter.Add(oneService, i, n, work, aimOverWork*work)
	}
	m := LoadMsg{Service: oneService, Factors: l.speeds, ColdRate: l.coldRate}
	for _, load := range l.meter.Roll(now) {
		m.Work, m.Each, m.Aim = load.Slots, load.Each.Seconds(), load.Aim
	}
	return m
}

// chance draws how many requests come where so many are expected.
func chance(r *rand.Rand, expected float64) (n int) {
	for t := r.ExpFloat64(); t < expected; t += r.ExpFloat64() {
		n++
	}
	return n
}

// aimOverWork is how much longer than its work a request may take.
const aimOverWork = 3

// busiest is the true share of its slots that the busiest server has busy, and
// mean that of all of them together.
func (l *load) busiest(t grant.Table) (most, mean float64) {
	busy, work, power := map[string]float64{}, 0.0, 0.0
	for _, r := range t.Shares[0].Ranges {
		for b := Bucket(r.From); b <= Bucket(r.To); b++ {
			w := l.rates[b] * l.work
			work += w
			busy[r.Holder.Server] += w * l.speeds[r.Holder.Server] / l.slots
		}
	}
	for _, f := range l.speeds {
		power += l.slots / f
	}
	for _, b := range busy {
		most = math.Max(most, b)
	}
	return most, work / power
}

// rateOf is how many requests a second a server gets.
func (l *load) rateOf(t grant.Table, server string) (rate float64) {
	for _, r := range t.Shares[0].Ranges {
		for b := Bucket(r.From); r.Holder.Server == server && b <= Bucket(r.To); b++ {
			rate += l.rates[b]
		}
	}
	return rate
}

// lost is how many requests a second are not answered in time, by the true rates,
// and even how many if all servers had the same share of their slots busy.
func (l *load) lost(t grant.Table) (lost, even float64) {
	_, mean := l.busiest(t)
	rates := map[string]float64{}
	for _, r := range t.Shares[0].Ranges {
		for b := Bucket(r.From); b <= Bucket(r.To); b++ {
			rates[r.Holder.Server] += l.rates[b]
		}
	}
	for id, f := range l.speeds {
		q := queue.New(int(l.slots), l.work*f, aimOverWork*l.work, 0)
		lost += q.Lost(rates[id])
		even += q.Lost(mean * l.slots / (l.work * f))
	}
	return lost, even
}

// Guards against a large service whose servers are overloaded beside idle ones for minutes.
func TestManyServersAreEvenedOut(t *testing.T) {
	for _, v := range []struct {
		servers    int
		rate, work float64
		seconds    int
	}{{13, 120, 0.18, 15}, {180, 681, 0.53, 15}} {
		Convey(fmt.Sprintf("With %d servers none is overloaded after %d seconds", v.servers, v.seconds), t, func() {
			l, list := newLoad(v.servers, v.rate, v.work, 0.37)
			s := begin(grant.Range{}, WithHold(3500*time.Millisecond))
			s.k.shares = nil
			s.fleet(list...)
			s.tell(OldLeaderMsg{At: s.now})
			l.pass(s, time.Duration(v.seconds)*time.Second)
			most, mean := l.busiest(s.k.Table())
			lost, even := l.lost(s.k.Table())
			t.Logf("%d servers: the busiest has %.2f of its slots busy, all together %.2f; %.2f requests a second are lost, %.2f if all were as busy",
				v.servers, most, mean, lost, even)
			So(most, ShouldBeLessThan, 0.9)
			So(lost, ShouldBeLessThan, even)
		})
	}
}

// pass plays requests and lets the leader act on what it counts.
func (l *load) pass(s *story, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.tell(l.count(s.now, time.Second/2))
		s.pass(time.Second/2, always(grant.Done), always(grant.Done))
	}
}

// started is a service of 13 servers whose keys have found their places.
func started(perSecond float64) (*load, []fleet.Server, *story) {
	l, list := newLoad(13, perSecond, 0.09, 0.37)
	s := begin(grant.Range{}, WithHold(3500*time.Millisecond))
	s.k.shares = nil
	s.fleet(list...)
	s.tell(OldLeaderMsg{At: s.now})
	l.pass(s, 15*time.Second)
	return l, list, s
}

// Guards against a hot key that stays with a slow holder until nobody asks for it any more.
func TestHotKeyGetsAFastServer(t *testing.T) {
	Convey("Within two seconds a fast server has it, and hardly anything else is lost", t, func() {
		l, _, s := started(200)
		hot := 0
		for b := range Buckets {
			if g, _ := s.k.Table().Owner(oneService, b*bucketKeys); l.speeds[g.Holder.Server] == 1.4 {
				hot = b
			}
		}
		l.rates[hot] = 65
		stays, _ := l.lost(s.k.Table())
		l.pass(s, 2*time.Second)
		g, _ := s.k.Table().Owner(oneService, hot*bucketKeys)
		So(l.speeds[g.Holder.Server], ShouldEqual, 0.6)
		lost, _ := l.lost(s.k.Table())
		t.Logf("%.1f requests a second would be lost where the key was, %.1f are", stays, lost)
		So(lost, ShouldBeLessThan, stays/2)
	})
}

// Guards against thousands of keys that nobody asks for changing hands with a hot one.
func TestHotBucketMovesAlone(t *testing.T) {
	Convey("Hardly any other key moves with it", t, func() {
		l, _, s := started(200)
		table, hot := s.k.Table(), -1
		for _, r := range table.Shares[0].Ranges {
			if l.speeds[r.Holder.Server] == 1.4 && Bucket(r.To)-Bucket(r.From) > 40 {
				hot = (Bucket(r.From) + Bucket(r.To)) / 2
			}
		}
		So(hot, ShouldBeGreaterThanOrEqualTo, 0)
		l.rates[hot] = 65
		s.cmds = nil
		l.pass(s, 2*time.Second)
		g, _ := s.k.Table().Owner(oneService, hot*bucketKeys)
		So(l.speeds[g.Holder.Server], ShouldEqual, 0.6)
		So(Bucket(g.To)-Bucket(g.From), ShouldBeLessThan, 4)
	})
}

// Guards against several moves that close most of what one server holds.
func TestOneMoveAtATimeForAServer(t *testing.T) {
	Convey("No server takes part in two moves for balance", t, func() {
		l, _, s := started(200)
		r := s.k.Table().Shares[0].Ranges[0]
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
			cold.Cold, cold.Slots = 3*time.Second, 4
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
		cold.Cold, cold.Slots = 3*time.Second, 4
		l.speeds[cold.ID], l.coldRate = 1, 11
		s.fleet(append(slices.Clone(list), cold)...)
		l.pass(s, 3*time.Second)
		rate := l.rateOf(s.k.Table(), cold.ID)
		t.Logf("cold it gets %.1f requests a second", rate)
		So(rate, ShouldBeBetween, 0, 11)
		cold.Cold = 0
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
		table := grant.Table{Epoch: 2, Seq: 10, Leader: grant.Leader{Daemon: "d", Incarnation: 1}, Shares: []grant.Share{{Service: oneService,
			Ranges: []grant.Range{{From: 0, To: 32767, Holder: a}, {From: 32768, To: grant.LastKey, Holder: a}}}}}
		s := &story{now: time.Unix(1000, 0)}
		s.k = New(s.now, table, 5, WithHold(2*time.Second))
		s.fleet(named("a", false))
		return s
	}
	ranges := func(s *story) int { return len(s.k.Table().Shares[0].Ranges) }
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

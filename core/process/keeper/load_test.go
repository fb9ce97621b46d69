package keeper

import (
	"fmt"
	"math"
	"math/rand/v2"
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
		list = append(list, fleet.Server{ID: id, Address: id, Service: oneService, DataCentre: "x", Slots: 4, StartMillis: 1})
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
	for _, load := range l.meter.CloseWindow(now) {
		m.Work, m.Each, m.Aim = load.BusySlots, load.ServiceTime.Seconds(), load.TargetLatency
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
	for _, r := range t.Services[0].Ranges {
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
	for _, r := range t.Services[0].Ranges {
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
	for _, r := range t.Services[0].Ranges {
		for b := Bucket(r.From); b <= Bucket(r.To); b++ {
			rates[r.Holder.Server] += l.rates[b]
		}
	}
	for id, f := range l.speeds {
		q := queue.New(int(l.slots), l.work*f, aimOverWork*l.work, 0)
		lost += q.LostRate(rates[id])
		even += q.LostRate(mean * l.slots / (l.work * f))
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
			if g, _ := s.k.Table().RangeOf(oneService, b*bucketKeys); l.speeds[g.Holder.Server] == 1.4 {
				hot = b
			}
		}
		l.rates[hot] = 65
		stays, _ := l.lost(s.k.Table())
		l.pass(s, 2*time.Second)
		g, _ := s.k.Table().RangeOf(oneService, hot*bucketKeys)
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
		for _, r := range table.Services[0].Ranges {
			if l.speeds[r.Holder.Server] == 1.4 && Bucket(r.To)-Bucket(r.From) > 40 {
				hot = (Bucket(r.From) + Bucket(r.To)) / 2
			}
		}
		So(hot, ShouldBeGreaterThanOrEqualTo, 0)
		l.rates[hot] = 65
		s.cmds = nil
		l.pass(s, 2*time.Second)
		g, _ := s.k.Table().RangeOf(oneService, hot*bucketKeys)
		So(l.speeds[g.Holder.Server], ShouldEqual, 0.6)
		So(Bucket(g.To)-Bucket(g.From), ShouldBeLessThan, 4)
	})
}

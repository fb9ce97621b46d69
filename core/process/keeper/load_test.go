package keeper

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// load is a service whose keys are asked for unevenly, by callers that come by
// chance: what the leader counts in a second is noisy.
type load struct {
	random *rand.Rand
	rates  [Buckets]float64 // requests a second
	work   float64          // slot seconds of a request at a server of usual speed
	slow   [Buckets]float64 // as the leader smooths its counts
	speeds map[string]float64
	slots  float64
}

// newLoad spreads requests over the keys with a skew, neighbours alike.
func newLoad(servers int, rate, work, skew float64) (*load, []fleet.Server) {
	l := &load{random: rand.New(rand.NewPCG(3, 9)), work: work, speeds: map[string]float64{}, slots: 4}
	total, weights := 0.0, [Buckets]float64{}
	for i := range weights {
		weights[i] = math.Pow(float64((i*7)%Buckets/16+1), -skew)
		total += weights[i]
	}
	for i := range weights {
		l.rates[i] = rate * weights[i] / total
	}
	var list []fleet.Server
	for i := range servers {
		id := fmt.Sprintf("s%03d", i)
		l.speeds[id] = []float64{0.6, 1, 1.4}[i%3]
		list = append(list, fleet.Server{ID: id, Address: id, Service: oneService, DataCentre: "x", Slots: 4, Born: 1})
	}
	return l, list
}

// second counts one second of requests.
func (l *load) second() LoadMsg {
	m := LoadMsg{Service: oneService, Work: make([]float64, Buckets), Factors: map[string]float64{}}
	for i, r := range l.rates {
		n := math.Max(0, r+math.Sqrt(r)*l.random.NormFloat64())
		l.slow[i] += 0.08 * (n - l.slow[i])
		m.Work[i] = l.slow[i] * l.work
	}
	for id, f := range l.speeds {
		m.Factors[id] = f
	}
	return m
}

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

// A large service starts with its keys dealt out by their number. Some servers
// get twice what they can run and refuse half of it, while others idle. A few
// moves a round, and none while any other key moves, left it so for minutes.
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
			for range v.seconds {
				s.tell(l.second())
				s.pass(time.Second, always(grant.Done), always(grant.Done))
			}
			most, mean := l.busiest(s.k.Table())
			t.Logf("%d servers: the busiest has %.2f of its slots busy, all together %.2f", v.servers, most, mean)
			So(most, ShouldBeLessThan, 1.6*mean)
		})
	}
}

// Two neighbouring ranges have one holder, and a renewal of one of them is still
// on its way. Were they made one range now, nobody would wait for that call any
// more: the server could hold those keys from it for longer than the leader
// thinks, while another server is given them.
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
		s.pass(500*time.Millisecond, always(grant.Done), always(grant.Done))
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

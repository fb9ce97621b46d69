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

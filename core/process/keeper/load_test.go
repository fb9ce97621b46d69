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

// loadModel simulates a service with uneven, random requests, so that the load that the leader
// counts is noisy.
type loadModel struct {
	rng                *rand.Rand
	requestRates       [Buckets]float64 // requests a second
	serviceTimeSeconds float64          // time that a request occupies a slot of a server of typical speed
	meter              *rate.Meter
	slowdowns          map[string]float64 // service times relative to a server of typical speed, by server ID
	slots              float64            // of each server
	// coldRate is how many requests a second a cold server can handle.
	coldRate float64
	// rateLimits are how many requests a second servers take, by server ID, if they have named it.
	rateLimits map[string]float64
}

// newLoadModel returns the model of a service that gets requestsPerSecond in total, and the
// servers of the service. The rates of the buckets follow a power law with exponent -skew;
// neighbouring buckets have similar rates.
func newLoadModel(servers int, requestsPerSecond, serviceTimeSeconds, skew float64) (*loadModel, []fleet.Server) {
	l := &loadModel{rng: rand.New(rand.NewPCG(3, 9)), serviceTimeSeconds: serviceTimeSeconds, meter: rate.New(Buckets), slowdowns: map[string]float64{}, slots: 4}
	total, weights := 0.0, [Buckets]float64{}
	for i := range weights {
		weights[i] = math.Pow(float64((i*7)%Buckets/16+1), -skew)
		total += weights[i]
	}
	for i := range weights {
		l.requestRates[i] = requestsPerSecond * weights[i] / total
	}
	var out []fleet.Server
	for i := range servers {
		id := fmt.Sprintf("s%03d", i)
		l.slowdowns[id] = []float64{0.6, 1, 1.4}[i%3]
		out = append(out, fleet.Server{ID: id, Address: id, Service: testService, DataCentre: "x", Slots: 4, StartMillis: 1})
	}
	return l, out
}

// report simulates the requests of a time span, and returns the load that the leader counts.
func (l *loadModel) report(now time.Time, d time.Duration) LoadMsg {
	for i, r := range l.requestRates {
		n := poisson(l.rng, r*d.Seconds())
		total := time.Duration(float64(n) * l.serviceTimeSeconds * float64(time.Second))
		l.meter.Add(testService, i, n, total, latencyTargetOverServiceTime*total)
	}
	m := LoadMsg{Service: testService, Slowdowns: l.slowdowns, ColdRate: l.coldRate, RateLimits: l.rateLimits}
	for _, load := range l.meter.CloseWindow(now) {
		m.BusySlots, m.ServiceTimeSeconds, m.LatencyTarget = load.BusySlots, load.ServiceTime.Seconds(), load.LatencyTarget
	}
	return m
}

// poisson draws the number of requests from a Poisson distribution.
func poisson(r *rand.Rand, expected float64) (n int) {
	for t := r.ExpFloat64(); t < expected; t += r.ExpFloat64() {
		n++
	}
	return n
}

// latencyTargetOverServiceTime is the ratio of the latency target to the service time.
const latencyTargetOverServiceTime = 3

// utilisation returns the highest utilisation of a server and the mean utilisation of all
// servers, at the true request rates. In the mean, each server's weight is the number of slots of
// typical speed that its slots are worth.
func (l *loadModel) utilisation(t grant.Table) (highest, mean float64) {
	utilisations, totalBusySlots, totalSlots := map[string]float64{}, 0.0, 0.0
	for _, r := range t.Services[0].Ranges {
		for b := Bucket(r.From); b <= Bucket(r.To); b++ {
			busySlots := l.requestRates[b] * l.serviceTimeSeconds
			totalBusySlots += busySlots
			utilisations[r.Holder.Server] += busySlots * l.slowdowns[r.Holder.Server] / l.slots
		}
	}
	for _, slowdown := range l.slowdowns {
		totalSlots += l.slots / slowdown
	}
	for _, b := range utilisations {
		highest = math.Max(highest, b)
	}
	return highest, totalBusySlots / totalSlots
}

// requestRateOf returns how many requests a second a server gets.
func (l *loadModel) requestRateOf(t grant.Table, server string) (rate float64) {
	for _, r := range t.Services[0].Ranges {
		for b := Bucket(r.From); r.Holder.Server == server && b <= Bucket(r.To); b++ {
			rate += l.requestRates[b]
		}
	}
	return rate
}

// lostPerSecond returns how many requests a second are lost at the true request rates, and how
// many would be lost if all servers had the same utilisation.
func (l *loadModel) lostPerSecond(t grant.Table) (lost, atEqualUtilisation float64) {
	_, mean := l.utilisation(t)
	rates := map[string]float64{}
	for _, r := range t.Services[0].Ranges {
		for b := Bucket(r.From); b <= Bucket(r.To); b++ {
			rates[r.Holder.Server] += l.requestRates[b]
		}
	}
	for id, slowdown := range l.slowdowns {
		q := queue.New(int(l.slots), l.serviceTimeSeconds*slowdown, latencyTargetOverServiceTime*l.serviceTimeSeconds, 0)
		lost += q.LostRate(rates[id])
		atEqualUtilisation += q.LostRate(mean * l.slots / (l.serviceTimeSeconds * slowdown))
	}
	return lost, atEqualUtilisation
}

// Guards against a large service in which some servers stay overloaded while others have free
// slots.
func TestManyServersAreBalanced(t *testing.T) {
	for _, params := range []struct {
		servers                       int
		perSecond, serviceTimeSeconds float64
		seconds                       int
	}{{13, 120, 0.18, 15}, {180, 681, 0.53, 15}} {
		Convey(fmt.Sprintf("With %d servers none is overloaded after %d seconds", params.servers, params.seconds), t, func() {
			l, servers := newLoadModel(params.servers, params.perSecond, params.serviceTimeSeconds, 0.37)
			h := newHarness(grant.Range{}, WithGrantTTL(3500*time.Millisecond))
			h.keeper.services = nil
			h.setFleet(servers...)
			h.endEarlierTerm()
			l.advance(h, time.Duration(params.seconds)*time.Second)
			highest, mean := l.utilisation(h.keeper.Table())
			lost, lostAtEqualUtilisation := l.lostPerSecond(h.keeper.Table())
			t.Logf("%d servers: highest utilisation %.2f, mean of all %.2f; %.2f requests a second are lost, %.2f at equal utilisation",
				params.servers, highest, mean, lost, lostAtEqualUtilisation)
			So(highest, ShouldBeLessThan, 0.9)
			So(lost, ShouldBeLessThan, lostAtEqualUtilisation)
		})
	}
}

// advance simulates requests, and the leader's reaction to the load that it counts.
func (l *loadModel) advance(h *harness, d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.update(l.report(h.now, time.Second/2))
		h.advance(time.Second/2, alwaysResult(grant.Done), alwaysResult(grant.Done))
	}
}

// newBalancedModel returns the model of a service with 13 servers whose requests have a service
// time of 90 ms, its servers, and the harness of a leader that has balanced it for 15 s.
func newBalancedModel(requestsPerSecond float64) (*loadModel, []fleet.Server, *harness) {
	l, servers := newLoadModel(13, requestsPerSecond, 0.09, 0.37)
	h := newHarness(grant.Range{}, WithGrantTTL(3500*time.Millisecond))
	h.keeper.services = nil
	h.setFleet(servers...)
	h.endEarlierTerm()
	l.advance(h, 15*time.Second)
	return l, servers, h
}

// Guards against a hot bucket that stays at a slow holder for as long as it is hot.
func TestHotBucketMovesToFastServer(t *testing.T) {
	Convey("Within two seconds a fast server holds the hot bucket, and fewer than half as many requests are lost as without the move", t, func() {
		l, _, h := newBalancedModel(200)
		hot := 0
		for b := range Buckets {
			if g, _ := h.keeper.Table().RangeOf(testService, b*keysPerBucket); l.slowdowns[g.Holder.Server] == 1.4 {
				hot = b
			}
		}
		l.requestRates[hot] = 65
		lostWithoutMove, _ := l.lostPerSecond(h.keeper.Table())
		l.advance(h, 2*time.Second)
		g, _ := h.keeper.Table().RangeOf(testService, hot*keysPerBucket)
		So(l.slowdowns[g.Holder.Server], ShouldEqual, 0.6)
		lost, _ := l.lostPerSecond(h.keeper.Table())
		t.Logf("%.1f requests a second would be lost without the move, %.1f are lost now", lostWithoutMove, lost)
		So(lost, ShouldBeLessThan, lostWithoutMove/2)
	})
}

// Guards against a hot bucket that takes thousands of keys with few requests along when it moves.
func TestHotBucketMovesAlone(t *testing.T) {
	Convey("A hot bucket moves to a fast server with at most three neighbouring buckets", t, func() {
		l, _, h := newBalancedModel(200)
		table, hot := h.keeper.Table(), -1
		for _, r := range table.Services[0].Ranges {
			if l.slowdowns[r.Holder.Server] == 1.4 && Bucket(r.To)-Bucket(r.From) > 40 {
				hot = (Bucket(r.From) + Bucket(r.To)) / 2
			}
		}
		So(hot, ShouldBeGreaterThanOrEqualTo, 0)
		l.requestRates[hot] = 65
		h.cmds = nil
		l.advance(h, 2*time.Second)
		g, _ := h.keeper.Table().RangeOf(testService, hot*keysPerBucket)
		So(l.slowdowns[g.Holder.Server], ShouldEqual, 0.6)
		So(Bucket(g.To)-Bucket(g.From), ShouldBeLessThan, 4)
	})
}

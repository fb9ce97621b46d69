package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// latestLimits returns the admitted fractions of the latest limits, by bucket.
func latestLimits(h *harness) map[int]float64 {
	out := map[int]float64{}
	for _, c := range h.cmds {
		if l, ok := c.(LimitCmd); ok {
			clear(out)
			for _, limit := range l.Limits {
				out[limit.Bucket] = limit.Fraction
			}
		}
	}
	return out
}

// admitted returns the load of each server under the limits, as a share of its slots.
func (l *loadModel) admitted(h *harness, fractions map[int]float64) map[string]float64 {
	out := map[string]float64{}
	for _, r := range h.keeper.Table().Services[0].Ranges {
		for b := Bucket(r.From); r.IsOpen() && b <= Bucket(r.To); b++ {
			fraction, limited := fractions[b]
			if !limited {
				fraction = 1
			}
			out[r.Holder.Server] += l.requestRates[b] * l.serviceTimeSeconds * l.slowdowns[r.Holder.Server] / l.slots * fraction
		}
	}
	return out
}

// advanceReporting simulates requests for a time span, with the servers' queue reports. All
// grants and releases have the given result.
func (l *loadModel) advanceReporting(h *harness, d time.Duration, result grant.Result) {
	for end := h.now.Add(d); h.now.Before(end); {
		m := l.report(h.now, time.Second/2)
		for server, busyShare := range l.admitted(h, latestLimits(h)) {
			longQueueReports := 0
			if busyShare > 1 {
				longQueueReports = 4
			}
			m.Reports = append(m.Reports, QueueReport{Server: server, LoadReports: 4, LongQueueReports: longQueueReports})
		}
		h.update(m)
		h.advance(time.Second/2, alwaysResult(result), alwaysResult(result))
	}
}

// Guards against a hot key, requested by all daemons at once, that fills its holder's queue so
// that requests for the other keys there are late too.
func TestOnlyHotBucketIsLimited(t *testing.T) {
	Convey("The hot bucket is limited to what its holder can run, and no other bucket is limited", t, func() {
		l, _, h := newBalancedModel(200)
		before := latestLimits(h)
		So(before, ShouldBeEmpty)
		const hot = 700
		l.requestRates[hot] = 400
		l.advanceReporting(h, 2*time.Second, grant.Done)
		fractions := latestLimits(h)
		So(fractions, ShouldHaveLength, 1)
		So(fractions[hot], ShouldBeBetween, 0.05, 0.4)
		Convey("The limit ends with the load", func() {
			l.requestRates[hot] = 1
			l.advanceReporting(h, 2*time.Second, grant.Done)
			So(latestLimits(h), ShouldBeEmpty)
		})
	})
}

// Guards against neighbouring hot keys, held by few servers, whose requests wait in long queues
// until the keys have moved to more servers.
func TestHotNeighboursAreLimited(t *testing.T) {
	Convey("No server is sent much more than its slots can run", t, func() {
		l, _, h := newBalancedModel(200)
		for b := 700; b < 780; b++ {
			l.requestRates[b] += 6
		}
		h.update(FleetMsg{Fleet: h.keeper.fleet, KeyedServices: []string{testService}, DaemonCount: 195})
		l.advanceReporting(h, time.Second, grant.NotSent) // nothing has moved yet
		unlimited, limited := 0.0, 0.0
		for _, busy := range l.admitted(h, nil) {
			unlimited = max(unlimited, busy)
		}
		for _, busy := range l.admitted(h, latestLimits(h)) {
			limited = max(limited, busy)
		}
		t.Logf("the busiest server is sent %.2f times what its slots can run, without limits %.2f", limited, unlimited)
		So(unlimited, ShouldBeGreaterThan, 2)
		So(limited, ShouldBeLessThan, 1.3)
	})
}

// Guards against moves that cost more than they save where requests take long: a release waits
// for those that run, and the keys are closed meanwhile.
func TestMoveDurationIsLearned(t *testing.T) {
	Convey("The assumed move duration follows the measured ones", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))})
		h.setFleet(testServer("a", false), testServer("b", false))
		h.endEarlierTerm()
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		before := h.keeper.services[0].moveDuration
		rs := h.keeper.services[0].ranges[0]
		h.keeper.startMove(h.keeper.services[0], rs, holderOf(testServer("b", false)), "balance")
		h.advance(200*time.Millisecond, alwaysResult(grant.Done), alwaysResult(grant.OutcomeUnknown)) // a request still runs there
		h.now = h.now.Add(3 * time.Second)
		var release ReleaseCmd
		for _, c := range h.cmds {
			if r, ok := c.(ReleaseCmd); ok {
				release = r
			}
		}
		So(release.Holder, ShouldResemble, rs.Holder)
		h.update(ReleaseResultMsg{Cmd: release, Result: grant.Done, Handover: "handover"})
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(rs.Holder.Server, ShouldEqual, "b")
		So(h.keeper.services[0].moveDuration, ShouldBeGreaterThan, before+200*time.Millisecond)
	})
}

// Guards against limits that refuse requests which would be answered in time, where the daemons
// are few and each knows the holder's queue.
func TestFewDaemonsAreLimitedLess(t *testing.T) {
	Convey("With few daemons, limits let requests fill more of a holder's slots", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))})
		h.keeper.daemonCount = 9
		few := h.keeper.maxBusyShare(h.keeper.services[0], testServer("a", false))
		h.keeper.daemonCount = 195
		So(few, ShouldBeGreaterThan, 1)
		So(h.keeper.maxBusyShare(h.keeper.services[0], testServer("a", false)), ShouldBeLessThan, 1)
	})
}

// Guards against permits where they cost more than they help, and against overloaded holders
// without permits.
func TestContendedServersAreListed(t *testing.T) {
	contended := func(daemons int, serviceTimeSeconds float64) []string {
		l, _, h := newBalancedModel(200)
		l.serviceTimeSeconds = serviceTimeSeconds
		h.update(FleetMsg{Fleet: h.keeper.fleet, KeyedServices: []string{testService}, DaemonCount: daemons})
		l.requestRates[700] = 60 / serviceTimeSeconds
		l.advanceReporting(h, time.Second, grant.NotSent)
		var out []string
		for _, c := range h.cmds {
			if l, ok := c.(LimitCmd); ok {
				out = l.Contended
			}
		}
		return out
	}
	Convey("Permits are needed only with a long queue, long requests and many daemons", t, func() {
		So(contended(195, 0.05), ShouldHaveLength, 1)
		So(contended(9, 0.05), ShouldBeEmpty)
		So(contended(195, 0.005), ShouldBeEmpty)
	})
}

package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/process/queue"
	"catkinstep/core/version/grant"
)

// requestsLost returns how many requests a second are lost at the true request rates.
func (l *loadModel) requestsLost(t grant.Table) (lost float64) {
	rates := map[string]float64{}
	for _, r := range t.Services[0].Ranges {
		for b := Bucket(r.From); r.IsOpen() && b <= Bucket(r.To); b++ {
			rates[r.Holder.Server] += l.requestRates[b]
		}
	}
	for server, rate := range rates {
		q := queue.New(int(l.slots), l.serviceTimeSeconds*l.slowdowns[server], latencyTargetOverServiceTime*l.serviceTimeSeconds, 0)
		lost += q.LostRate(rate)
	}
	return lost
}

// Guards against the servers of a data centre that returns from a network partition and stay without keys, while
// requests are refused at the others. It answers a load for which two thirds of the servers are too few.
func TestReturnedDataCentreGetsKeys(t *testing.T) {
	for _, tc := range []struct {
		name      string
		servers   int
		perSecond float64
	}{{"12 servers", 12, 240}, {"120 servers", 120, 2400}, {"225 servers", 225, 4500}} {
		Convey("Two seconds after a third of "+tc.name+" has returned, at most a twentieth of the requests are lost", t, func() {
			l, servers := newLoadModel(tc.servers, tc.perSecond, 0.16, 0.43)
			h := newHarness(grant.Range{}, WithGrantTTL(3500*time.Millisecond))
			h.keeper.services = nil
			h.setFleet(servers[:tc.servers*2/3]...)
			h.endEarlierTerm()
			l.advance(h, 2*time.Second)
			l.advanceReporting(h, 13*time.Second, grant.Done)
			before := l.requestsLost(h.keeper.Table())
			So(before, ShouldBeGreaterThan, tc.perSecond/10)
			h.setFleet(servers...)
			l.advanceReporting(h, 2*time.Second, grant.Done)
			lost := l.requestsLost(h.keeper.Table())
			t.Logf("%s: of %.0f requests a second %.0f are lost before, %.0f after", tc.name, tc.perSecond, before, lost)
			So(lost, ShouldBeLessThan, tc.perSecond/20)
		})
	}
}

package keeper

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// firstDivision returns the first division of the keys among servers, as buckets by server.
func firstDivision(servers []fleet.Server, slowdowns map[string]float64) map[string]int {
	h := newHarness(grant.Range{})
	h.keeper.services = nil
	h.update(FleetMsg{Fleet: fleet.New(servers), KeyedServices: []string{testService}, Slowdowns: slowdowns})
	h.endEarlierTerm()
	h.advance(2*time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
	out, next := map[string]int{}, 0
	for _, r := range h.keeper.Table().Services[0].Ranges {
		So(r.From, ShouldEqual, next)
		So(r.To, ShouldBeGreaterThanOrEqualTo, r.From)
		next = r.To + 1
		out[r.Holder.Server] += (r.To - r.From + 1) / keysPerBucket
	}
	So(next, ShouldEqual, grant.LastKey+1)
	return out
}

// Guards against slow servers that are overloaded from the first second, because they get as many
// keys as fast ones.
func TestFirstDivision(t *testing.T) {
	servers := []fleet.Server{testServer("a", false), testServer("b", false), testServer("c", false)}
	Convey("The keys are divided in proportion to slots divided by slowdown", t, func() {
		So(firstDivision(servers, map[string]float64{"a": 1 / 0.7, "b": 1 / 0.7, "c": 1 / 1.6, "other": 3}), ShouldResemble, map[string]int{"a": 477, "b": 478, "c": 1093})
	})
	Convey("Without known slowdowns they are divided in proportion to slots", t, func() {
		for _, slowdowns := range []map[string]float64{nil, {"other": 3}} {
			So(firstDivision(servers, slowdowns), ShouldResemble, map[string]int{"a": 682, "b": 683, "c": 683})
		}
		uneven := slices.Clone(servers)
		uneven[0].Slots, uneven[1].Slots = 7, 1
		So(firstDivision(uneven, nil), ShouldResemble, map[string]int{"a": Buckets * 7 / 11, "b": Buckets*8/11 - Buckets*7/11, "c": Buckets - Buckets*8/11})
	})
	Convey("A server whose share is less than a bucket gets no range", t, func() {
		So(firstDivision(servers, map[string]float64{"a": 5000}), ShouldNotContainKey, "a")
	})
}

package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// Guards against keys that stay at a holder which takes fewer requests than they get.
func TestLimitedHolderGivesKeysAway(t *testing.T) {
	const limit = 3.0
	Convey("A holder that names a limit gives keys away until it gets about that", t, func() {
		l, servers, h := newBalancedModel(200)
		limited := servers[1].ID
		So(l.requestRateOf(h.keeper.Table(), limited), ShouldBeGreaterThan, 3*limit)
		l.rateLimits = map[string]float64{limited: limit}
		l.advance(h, 4*time.Second)
		So(l.requestRateOf(h.keeper.Table(), limited), ShouldBeLessThan, 1.5*limit)
	})
}

// Guards against far more requests for a holder that names a limit than there are tokens: each of them asks
// the leader.
func TestRequestsForLimitedHolder(t *testing.T) {
	const limit = 3.0
	Convey("If no keys can move, about as many requests are let through as get a token", t, func() {
		l, servers, h := newBalancedModel(200)
		limited := servers[1].ID
		l.rateLimits = map[string]float64{limited: limit}
		l.advanceReporting(h, 2*time.Second, grant.OutcomeUnknown)
		admitted := l.admitted(h, latestLimits(h))[limited] * l.slots / (l.serviceTimeSeconds * l.slowdowns[limited])
		So(admitted, ShouldBeBetween, limit, 2*limit)
	})
}

package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// Guards against a late copy of an earlier response that confirms a grant which its server has not got: only a
// renewal may be confirmed on a connection that has carried other calls.
func TestFirstGrantOfAMoveIsNoRenewal(t *testing.T) {
	Convey("The next holder's first grant opens a connection, although the last holder had confirmed its own", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))}, WithGrantTTL(2*time.Second))
		h.endEarlierTerm()
		h.setFleet(testServer("a", false))
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(h.grantsTo("a")[len(h.grantsTo("a"))-1].Renewal, ShouldBeTrue)
		h.setFleet(testServer("a", true), testServer("b", false))
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(h.grantsTo("b")[0].Renewal, ShouldBeFalse)
		So(h.grantsTo("b")[1].Renewal, ShouldBeTrue)
	})
}

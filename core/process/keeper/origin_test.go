package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// advanceReleasing advances time; all grants succeed and all releases have the given result.
func (h *harness) advanceReleasing(d time.Duration, r grant.Result) {
	h.advance(d, alwaysResult(grant.Done), alwaysResult(r))
}

func originsOf(grants []GrantCmd) []grant.Origin {
	var out []grant.Origin
	for _, g := range grants {
		if n := len(out); n == 0 || out[n-1] != g.Origin {
			out = append(out, g.Origin)
		}
	}
	return out
}

// Guards against a holder that assumes it knows all requests that ran on its keys although the
// previous holder was lost without a handover.
func TestGrantsCarryTheirOrigin(t *testing.T) {
	a, b := testServer("a", false), testServer("b", false)
	initial := grant.Range{Holder: holderOf(a)}
	Convey("A holder that is granted its keys again has kept them", t, func() {
		h := newHarness(initial)
		h.setFleet(a, b)
		h.advanceReleasing(2*time.Second, grant.Done)
		So(originsOf(h.grantsTo("a")), ShouldResemble, []grant.Origin{grant.Kept})
	})
	Convey("The next holder gets the handover of the last one", t, func() {
		h := newHarness(initial)
		h.endEarlierTerm()
		h.setFleet(testServer("a", true), b)
		h.advanceReleasing(2*time.Second, grant.Done)
		So(originsOf(h.grantsTo("b")), ShouldResemble, []grant.Origin{grant.Handed, grant.Kept})
	})
	Convey("The grant after a lost holder says that it was lost", t, func() {
		h := newHarness(initial)
		h.setFleet(b)
		h.advanceReleasing(time.Minute, grant.Ended)
		So(originsOf(h.grantsTo("b")), ShouldResemble, []grant.Origin{grant.Lost, grant.Kept})
	})
	Convey("Keys that had no holder are granted for the first time", t, func() {
		h := newHarness(grant.Range{})
		h.keeper.services = nil
		h.setFleet(a)
		h.advanceReleasing(2*time.Second, grant.Done)
		So(originsOf(h.grantsTo("a")), ShouldResemble, []grant.Origin{grant.First, grant.Kept})
	})
	Convey("A new leader does not know the origin of an unconfirmed grant", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(a), Pending: true})
		h.setFleet(a)
		h.advanceReleasing(time.Second, grant.Done)
		So(originsOf(h.grantsTo("a")), ShouldResemble, []grant.Origin{grant.Lost, grant.Kept})
	})
}

// Guards against a handover that is lost when the leader stops between the release and the next
// holder's confirmation.
func TestSuccessorRequestsTheHandoverAgain(t *testing.T) {
	Convey("The stored table names the old holder until the next one has confirmed", t, func() {
		a, b := testServer("a", true), testServer("b", false)
		h := newHarness(grant.Range{Holder: holderOf(a)})
		h.endEarlierTerm()
		h.setFleet(a, b)
		h.advance(3*time.Second, func(address string) grant.Result {
			if address == "b" {
				return grant.OutcomeUnknown
			}
			return grant.Done
		}, alwaysResult(grant.Done))
		So(h.grantsTo("b"), ShouldNotBeEmpty)
		stored := h.keeper.table(true).Services[0].Ranges[0]
		So(stored.Holder, ShouldResemble, holderOf(a))
		So(stored.Next, ShouldResemble, holderOf(b))
		next := newHarness(stored)
		next.setFleet(a, b)
		next.advanceReleasing(time.Minute, grant.Done)
		So(originsOf(next.grantsTo("b")), ShouldResemble, []grant.Origin{grant.Handed, grant.Kept})
		So(next.keeper.table(true).Services[0].Ranges[0].Holder, ShouldResemble, holderOf(b))
	})
}

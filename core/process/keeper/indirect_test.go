package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// newIndirectHarness returns a leader that has replaced another one. The holder "a" is no longer listed;
// the servers "b" and "c" are. Releases may go through other daemons if indirect is set.
func newIndirectHarness(indirect bool) *harness {
	h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))}, WithGrantTTL(2*time.Second), WithLeaderLease(8*time.Second))
	h.setFleet(testServer("b", false), testServer("c", false))
	h.update(FleetMsg{Fleet: h.keeper.fleet, KeyedServices: []string{testService}, IndirectReleases: indirect})
	return h
}

// releaseCall is a release with the time at which the keeper asked for it.
type releaseCall struct {
	ReleaseCmd
	at time.Time
}

// advanceReleases advances time until a range has another holder than "a", but at most by d. Saves
// and reads succeed, and so do grants to other servers than "a". It returns the releases.
func (h *harness) advanceReleases(d time.Duration, release func(ReleaseCmd) (grant.Result, string)) []releaseCall {
	var calls []releaseCall
	for end := h.now.Add(d); h.now.Before(end) && h.keeper.services[0].ranges[0].Holder.Server == "a"; {
		h.now = h.now.Add(50 * time.Millisecond)
		from := len(h.cmds)
		h.update(TickMsg{})
		for i := from; i < len(h.cmds); i++ {
			switch c := h.cmds[i].(type) {
			case GrantCmd:
				result := grant.Done
				if c.Address == "a" {
					result = grant.NotSent
				}
				h.update(GrantResultMsg{Cmd: c, EndedAt: h.now, Result: result})
			case ReleaseCmd:
				calls = append(calls, releaseCall{ReleaseCmd: c, at: h.now})
				r, handover := release(c)
				h.update(ReleaseResultMsg{Cmd: c, Result: r, Handover: handover})
			case SaveCmd:
				h.update(StoredTableMsg{Table: c.Table, Revision: c.Revision + 1, RequestedAt: h.now})
			case ReadCmd:
				h.update(StoredTableMsg{Table: h.keeper.table(true), Revision: h.keeper.revision, RequestedAt: h.now})
			}
		}
	}
	return calls
}

func unanswered(ReleaseCmd) (grant.Result, string) { return grant.NotSent, "" }

func triesOf(calls []releaseCall) []int {
	var out []int
	for _, c := range calls {
		out = append(out, c.Indirect)
	}
	return out
}

// Guards against keys that stay closed until a lease ends because the leader's host alone does not reach
// their holder.
func TestHolderThatOtherDaemonsReachIsReleased(t *testing.T) {
	throughOthers := func(c ReleaseCmd) (grant.Result, string) {
		if c.Indirect == 0 {
			return grant.OutcomeUnknown, ""
		}
		return grant.Done, "state of the keys"
	}
	Convey("It is released at the second try, and the next holder gets its handover", t, func() {
		h := newIndirectHarness(true)
		h.endEarlierTerm()
		calls := h.advanceReleases(time.Second, throughOthers)
		So(triesOf(calls), ShouldResemble, []int{0, 1})
		So(calls[1].at.Sub(calls[0].at), ShouldBeLessThan, callRetryDelay)
		So(calls[1].Fence, ShouldBeGreaterThan, calls[0].Fence)
		h.advanceReleasing(time.Second, grant.Done)
		next := h.keeper.Table().Services[0].Ranges[0]
		So(next.Pending, ShouldBeFalse)
		grants := h.grantsTo(next.Holder.Server)
		So(grants[0].Handover, ShouldEqual, "state of the keys")
		So(originsOf(grants)[0], ShouldEqual, grant.Handed)
	})
	Convey("The server gets no other keys meanwhile, since the leader itself does not reach it", t, func() {
		h := newIndirectHarness(true)
		h.endEarlierTerm()
		a := testServer("a", true) // it is draining: listed, but not reached by the leader
		h.setFleet(a, testServer("b", false))
		h.update(FleetMsg{Fleet: h.keeper.fleet, KeyedServices: []string{testService}, IndirectReleases: true})
		So(triesOf(h.advanceReleases(time.Second, throughOthers)), ShouldResemble, []int{0, 1})
		So(h.keeper.isUnresponsive(holderOf(a)), ShouldBeTrue)
	})
}

// Guards against a failing way that is tried for ever while the other one works.
func TestWaysOfReleasesAlternate(t *testing.T) {
	Convey("After a direct try three go through other daemons, with the usual pause", t, func() {
		h := newIndirectHarness(true)
		h.endEarlierTerm()
		calls := h.advanceReleases(4*time.Second, unanswered)
		So(triesOf(calls)[:10], ShouldResemble, []int{0, 1, 2, 3, 0, 4, 5, 6, 0, 7})
		for i := 2; i < len(calls); i++ {
			So(calls[i].at.Sub(calls[i-1].at), ShouldBeGreaterThanOrEqualTo, callRetryDelay)
		}
	})
	Convey("An answer does not change the way", t, func() {
		h := newIndirectHarness(true)
		h.endEarlierTerm()
		calls := h.advanceReleases(2*time.Second, func(c ReleaseCmd) (grant.Result, string) {
			if c.Indirect == 0 {
				return grant.NotSent, ""
			}
			return grant.Fenced, ""
		})
		So(triesOf(calls)[:4], ShouldResemble, []int{0, 1, 1, 1})
	})
	Convey("The next move of the range begins with a direct try", t, func() {
		h := newIndirectHarness(true)
		h.endEarlierTerm()
		h.advanceReleases(time.Second, func(c ReleaseCmd) (grant.Result, string) {
			if c.Indirect < 2 {
				return grant.NotSent, ""
			}
			return grant.Done, ""
		})
		So(h.keeper.services[0].ranges[0].unansweredReleases, ShouldEqual, 0)
	})
}

// Guards against indirect calls of a leader that was not set up for them.
func TestReleasesAreDirectByDefault(t *testing.T) {
	Convey("All tries are direct, with the usual pause", t, func() {
		h := newIndirectHarness(false)
		h.endEarlierTerm()
		calls := h.advanceReleases(2*time.Second, unanswered)
		So(len(calls), ShouldBeGreaterThan, 3)
		for i, c := range calls {
			So(c.Indirect, ShouldEqual, 0)
			if i > 0 {
				So(c.at.Sub(calls[i-1].at), ShouldBeGreaterThanOrEqualTo, callRetryDelay)
			}
		}
	})
}

// Guards against a second holder: that no daemon reaches the first one does not show that it has ended.
func TestHolderThatNobodyReachesKeepsItsGrant(t *testing.T) {
	Convey("The range waits until its grant has expired, whichever way the calls failed", t, func() {
		for _, r := range []grant.Result{grant.NotSent, grant.OutcomeUnknown} {
			h := newIndirectHarness(true)
			start := h.now
			h.advanceReleases(time.Minute, func(ReleaseCmd) (grant.Result, string) { return r, "" })
			So(h.now.Sub(start), ShouldBeGreaterThan, 10*time.Second) // the previous leader's lease and the TTL
			So(h.keeper.services[0].ranges[0].Holder.Server, ShouldNotEqual, "a")
		}
	})
}

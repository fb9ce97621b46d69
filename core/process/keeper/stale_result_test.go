package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// Guards against a result of an earlier term of the same daemon: the leader in between may have granted
// the range to its holder again.
func TestResultOfEarlierTerm(t *testing.T) {
	a := testServer("a", false)
	call := func(epoch uint64) grant.Call {
		return grant.Call{Address: a.Address, From: 0, To: grant.LastKey, Fence: epoch<<fenceShift | 1}
	}
	newTerm := func(draining bool) (*harness, *rangeState) {
		h := newHarness(grant.Range{Holder: holderOf(a)}, WithGrantTTL(2*time.Second), WithLeaderLease(8*time.Second))
		h.setFleet(testServer("a", draining), testServer("b", false))
		for range 3 { // the intent to move is stored before the release
			h.now = h.now.Add(50 * time.Millisecond)
			from := len(h.cmds)
			h.update(TickMsg{})
			for _, c := range h.cmds[from:] {
				if save, ok := c.(SaveCmd); ok {
					h.update(StoredTableMsg{Table: save.Table, Revision: save.Revision + 1, RequestedAt: h.now})
				}
			}
		}
		return h, h.keeper.services[0].ranges[0]
	}
	Convey("A release does not free the range, and the call in flight stays in flight", t, func() {
		h, rs := newTerm(true)
		So(rs.step, ShouldEqual, releasing)
		So(rs.callInFlight, ShouldBeTrue)
		expiresAt := rs.expiresAt
		for _, r := range []grant.Result{grant.Done, grant.Ended, grant.NotSent, grant.OutcomeUnknown, grant.Fenced} {
			h.update(ReleaseResultMsg{Cmd: ReleaseCmd{Service: testService, Holder: holderOf(a), Call: call(1)}, Result: r, Handover: "old"})
			So(rs.callInFlight, ShouldBeTrue)
			So(rs.expiresAt, ShouldEqual, expiresAt)
			So(rs.handover, ShouldEqual, "")
			So(rs.unansweredReleases, ShouldEqual, 0)
		}
		h.update(ReleaseResultMsg{Cmd: ReleaseCmd{Service: testService, Holder: holderOf(a), Call: call(2)}, Result: grant.Done})
		So(rs.callInFlight, ShouldBeFalse)
		So(rs.expiresAt.IsZero(), ShouldBeTrue)
	})
	Convey("A grant does not shorten the previous leaders' grants", t, func() {
		h, rs := newTerm(false)
		So(rs.callInFlight, ShouldBeTrue)
		expiresAt, fence := rs.expiresAt, rs.Fence
		for _, r := range []grant.Result{grant.Done, grant.Ended, grant.NotSent, grant.OutcomeUnknown, grant.Fenced} {
			h.update(GrantResultMsg{Cmd: GrantCmd{Service: testService, Holder: holderOf(a), Call: call(1)}, EndedAt: h.now, Result: r})
			So(rs.callInFlight, ShouldBeTrue)
			So(rs.expiresAt, ShouldEqual, expiresAt)
			So(rs.Fence, ShouldEqual, fence)
			So(rs.fenceConfirmed, ShouldBeFalse)
		}
		h.update(GrantResultMsg{Cmd: GrantCmd{Service: testService, Holder: holderOf(a), Call: call(2)}, EndedAt: h.now, Result: grant.Done})
		So(rs.expiresAt, ShouldHappenBefore, expiresAt)
	})
}

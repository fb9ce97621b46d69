package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/process/lease"
	"catkinstep/core/version/grant"
)

// newHolder returns a leader whose server a has confirmed the grant of all keys.
func newHolder() *harness {
	h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))})
	h.setFleet(testServer("a", false))
	h.run(time.Second, true)
	return h
}

// tickWith sends a tick. The store does not answer, and all grants have the given result.
func (h *harness) tickWith(r grant.Result) {
	h.now = h.now.Add(50 * time.Millisecond)
	from := len(h.cmds)
	h.update(TickMsg{})
	for i := from; i < len(h.cmds); i++ {
		switch c := h.cmds[i].(type) {
		case GrantCmd:
			h.update(GrantResultMsg{Cmd: c, EndedAt: h.now, Result: r})
		case SaveCmd, ReadCmd:
			h.update(StoreFailedMsg{})
		}
	}
}

// Guards against a replaced leader that goes on granting although servers refuse it: older news of its epoch
// counted as a confirmation.
func TestRefusedLeaderWaitsForTheStore(t *testing.T) {
	Convey("After a refusal, neither older nor newer news from other daemons confirms the epoch, but a read that began later does", t, func() {
		h := newHolder()
		seenAt, refused := h.now, len(h.grantsTo("a"))
		for len(h.grantsTo("a")) == refused {
			h.tickWith(grant.Fenced)
		}
		refused = len(h.grantsTo("a"))
		for range 40 {
			h.update(EpochSeenMsg{Epoch: 2, At: seenAt})
			h.tickWith(grant.Done)
		}
		h.update(EpochSeenMsg{Epoch: 2, At: h.now})
		h.update(StoredTableMsg{Table: h.keeper.table(true), Revision: h.keeper.revision, RequestedAt: seenAt})
		h.tickWith(grant.Done)
		So(h.grantsTo("a"), ShouldHaveLength, refused)
		h.update(StoredTableMsg{Table: h.keeper.table(true), Revision: h.keeper.revision, RequestedAt: h.now})
		h.tickWith(grant.Done)
		So(len(h.grantsTo("a")), ShouldBeGreaterThan, refused)
	})
	Convey("After a suspension, news from before it does not confirm the epoch", t, func() {
		h := newHolder()
		seenAt, before := h.now, len(h.grantsTo("a"))
		h.now = h.now.Add(2 * suspendThreshold)
		for range 20 {
			h.update(EpochSeenMsg{Epoch: 2, At: seenAt})
			h.tickWith(grant.Done)
		}
		So(h.grantsTo("a"), ShouldHaveLength, before)
	})
}

// Guards against grants that reach a restarted server while the store may have named another leader.
func TestNewConnectionsNeedTheStore(t *testing.T) {
	Convey("Without the store, a leader renews on open connections and makes no other calls", t, func() {
		h := newHolder()
		for end := h.now.Add(2 * lease.StoreTTL); h.now.Before(end); {
			h.tickWith(grant.Done)
		}
		g := h.grantsTo("a")
		So(g[len(g)-1].Renewal, ShouldBeTrue)
		So(h.lastGrant(), ShouldBeLessThan, time.Second)
		for range 40 {
			h.tickWith(grant.NotSent)
		}
		So(h.grantsTo("a"), ShouldHaveLength, len(g)+1)
		So(h.logged("calls on new connections wait for the store"), ShouldEqual, 1)
		h.run(time.Second, true)
		g = h.grantsTo("a")[len(g)+1:]
		So(g[0].Renewal, ShouldBeFalse)
	})
	Convey("The witnesses' support does not take the place of the store", t, func() {
		h := newWitnessed()
		h.run(2*lease.StoreTTL, false, testWitnesses("b", "c")...)
		before := len(h.grantsTo("a"))
		for range 40 {
			h.update(SupportMsg{Witness: testWitnesses("b")[0], At: h.now})
			h.update(SupportMsg{Witness: testWitnesses("c")[0], At: h.now})
			h.tickWith(grant.NotSent)
		}
		So(h.grantsTo("a"), ShouldHaveLength, before+1)
	})
}

// Guards against a second holder: a release is answered by an instance that ends, and an earlier leader grants
// the keys to the next one.
func TestReleaseOutlivesTheInstance(t *testing.T) {
	start := func() *harness {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))}, WithGrantTTL(2*time.Second))
		h.setFleet(testServer("a", true), testServer("b", false))
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(h.countReleases(), ShouldEqual, 1)
		return h
	}
	restarted := testServer("a", false)
	restarted.StartMillis = 2
	Convey("The next instance has to release the keys, too, once the earlier leader makes no more calls on new connections", t, func() {
		h := start()
		h.setFleet(restarted, testServer("b", false))
		h.advance(4*time.Second, alwaysResult(grant.Done), alwaysResult(grant.NotSent))
		So(h.countReleases(), ShouldBeGreaterThan, 1)
		So(h.grantsTo("b"), ShouldBeEmpty)
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(h.grantsTo("b"), ShouldNotBeEmpty)
		So(h.grantsTo("b")[0].Origin, ShouldEqual, grant.Lost)
	})
	Convey("If nothing listens there any more, the first release is enough", t, func() {
		h := start()
		h.setFleet(testServer("b", false))
		h.advance(2*time.Second, alwaysResult(grant.Done), alwaysResult(grant.NotSent))
		So(h.grantsTo("b"), ShouldBeEmpty)
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.NotSent))
		So(h.grantsTo("b"), ShouldNotBeEmpty)
		So(h.grantsTo("b")[0].Origin, ShouldEqual, grant.Handed)
	})
}

func (h *harness) countReleases() int {
	n := 0
	for _, c := range h.cmds {
		if _, ok := c.(ReleaseCmd); ok {
			n++
		}
	}
	return n
}

package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/process/lease"
	"catkinstep/core/version/grant"
)

func testWitnesses(names ...string) []grant.Witness {
	var out []grant.Witness
	for _, n := range names {
		out = append(out, grant.Witness{Name: n, Incarnation: 1})
	}
	return out
}

// newWitnessed returns a leader of epoch 2 with the witnesses b, c, d and e, whose server a has
// one range. It began its term at the harness's time.
func newWitnessed() *harness {
	t := grant.Table{Epoch: 2, Seq: 10, Leader: grant.Leader{Daemon: "d", Incarnation: 1}, Witnesses: testWitnesses("b", "c", "d", "e"),
		Services: []grant.ServiceRanges{{Service: testService, Ranges: []grant.Range{{Holder: holderOf(testServer("a", false)), To: grant.LastKey}}}}}
	h := &harness{now: time.Unix(1000, 0)}
	h.keeper = New(h.now, t, 5, WithAcquiredAt(h.now))
	h.setFleet(testServer("a", false))
	return h
}

// run sends ticks for a time span. All grants are confirmed. The store answers if storeUp is set,
// and the given witnesses reply to a call in each tick, sent in that tick.
func (h *harness) run(d time.Duration, storeUp bool, supporting ...grant.Witness) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		for _, w := range supporting {
			h.update(SupportMsg{Witness: w, At: h.now})
		}
		from := len(h.cmds)
		h.update(TickMsg{})
		for i := from; i < len(h.cmds); i++ {
			switch c := h.cmds[i].(type) {
			case GrantCmd:
				h.update(GrantResultMsg{Cmd: c, EndedAt: h.now, Result: grant.Done})
			case SaveCmd:
				h.answerStore(storeUp, StoredTableMsg{Table: c.Table, Revision: c.Revision + 1, RequestedAt: h.now})
			case ReadCmd:
				h.answerStore(storeUp, StoredTableMsg{Table: h.keeper.table(true), Revision: h.keeper.revision, RequestedAt: h.now})
			}
		}
	}
}

func (h *harness) answerStore(storeUp bool, m StoredTableMsg) {
	if !storeUp {
		h.update(StoreFailedMsg{})
		return
	}
	h.update(m)
}

// lastGrant returns how long before the present time the last grant was decided.
func (h *harness) lastGrant() time.Duration {
	g := h.grantsTo("a")
	return h.now.Sub(g[len(g)-1].SendBefore.Add(-sendWindow))
}

func (h *harness) logged(text string) int {
	n := 0
	for _, c := range h.cmds {
		if entry, ok := c.(LogCmd); ok && entry.Text == text {
			n++
		}
	}
	return n
}

const supportLost, supportRegained = "not supported by a majority of witnesses", "supported by a majority of witnesses again"

// Guards against keys that are lost with a data centre that is cut off together with its leader.
func TestCutOffLeaderGoesOnWithWitnesses(t *testing.T) {
	Convey("Without the store, a supported leader goes on for the leader lease and no longer", t, func() {
		h := newWitnessed()
		h.run(28*time.Second, false, testWitnesses("b", "c")...)
		So(h.lastGrant(), ShouldBeLessThan, time.Second)
		h.run(5*time.Second, false, testWitnesses("b", "c")...)
		So(h.lastGrant(), ShouldBeGreaterThan, 2*time.Second)
		So(h.logged(supportLost), ShouldEqual, 0)
	})
}

// Guards against a leader that grants although neither its witnesses nor the store may still allow
// it, and against one that does not use the store once its witnesses are lost.
func TestMajorityOfWitnessesLost(t *testing.T) {
	Convey("With the store, the leader goes on, and reads the table twice a second", t, func() {
		h := newWitnessed()
		h.run(3*time.Second, true, testWitnesses("b", "c")...)
		readsBefore := countReads(h)
		h.run(10*time.Second, true, testWitnesses("b")...)
		So(h.lastGrant(), ShouldBeLessThan, time.Second)
		So(countReads(h)-readsBefore, ShouldBeBetween, 10, 21)
		So(h.logged(supportLost), ShouldEqual, 1)
		h.run(time.Second, true, testWitnesses("b", "c")...)
		So(h.logged(supportRegained), ShouldEqual, 1)
	})
	Convey("While the store is away too, the leader stops within supportTTL, and goes on when the store is back", t, func() {
		h := newWitnessed()
		h.run(5*time.Second, true, testWitnesses("b", "c")...)
		h.run(lease.StoreTTL, false)
		lastGrant := len(h.grantsTo("a"))
		h.run(5*time.Second, false, testWitnesses("b")...)
		So(len(h.grantsTo("a")), ShouldEqual, lastGrant)
		h.run(2*time.Second, true, testWitnesses("b")...)
		So(len(h.grantsTo("a")), ShouldBeGreaterThan, lastGrant)
	})
	Convey("News of other daemons that the epoch is current is not a confirmation by the store", t, func() {
		h := newWitnessed()
		h.run(lease.StoreTTL, false)
		before := len(h.grantsTo("a"))
		h.update(EpochSeenMsg{Epoch: 2, At: h.now})
		h.run(time.Second, false)
		So(len(h.grantsTo("a")), ShouldEqual, before)
		h.update(StoredTableMsg{Table: h.keeper.table(true), Revision: h.keeper.revision, RequestedAt: h.now})
		h.run(time.Second, false)
		So(len(h.grantsTo("a")), ShouldBeGreaterThan, before)
	})
}

func countReads(h *harness) int {
	n := 0
	for _, c := range h.cmds {
		if _, ok := c.(ReadCmd); ok {
			n++
		}
	}
	return n
}

// Guards against a leader that was suspended for longer than its support lasts, and grants when it
// wakes although its successor assumes that it has stopped.
func TestSuspendedPastSupport(t *testing.T) {
	Convey("No grant follows until a call that was sent after the suspension is answered", t, func() {
		h := newWitnessed()
		h.run(3*time.Second, false, testWitnesses("b", "c")...)
		before, sentAt := len(h.grantsTo("a")), h.now
		h.now = h.now.Add(lease.SupportTTL)
		h.update(SupportMsg{Witness: testWitnesses("d")[0], At: sentAt}) // a late reply
		h.update(EpochSeenMsg{Epoch: 2, At: h.now})
		h.run(time.Second, false)
		So(len(h.grantsTo("a")), ShouldEqual, before)
		h.update(EpochSeenMsg{Epoch: 2, At: h.now})
		h.run(time.Second, false, testWitnesses("b", "c")...)
		So(len(h.grantsTo("a")), ShouldBeGreaterThan, before)
	})
}

// Guards against a leader whose save of other witnesses has no known outcome and which relies on
// only one of the sets: its successor may find either in the store.
func TestChangedWitnessesWithUnknownOutcome(t *testing.T) {
	next := testWitnesses("f", "g", "h", "i")
	supported := func(h *harness, set []grant.Witness) bool {
		h.now = h.now.Add(10 * time.Second)
		for _, w := range set {
			h.update(SupportMsg{Witness: w, At: h.now})
		}
		return h.keeper.isSupported(h.now)
	}
	start := func() (*harness, SaveCmd) {
		h := newWitnessed()
		h.update(WitnessesMsg{Witnesses: next})
		h.update(TickMsg{})
		save, ok := h.cmds[len(h.cmds)-1].(SaveCmd)
		for i := len(h.cmds) - 1; !ok; i-- {
			save, ok = h.cmds[i].(SaveCmd)
		}
		So(save.Table.Witnesses, ShouldResemble, next)
		h.update(StoreFailedMsg{})
		return h, save
	}
	old := testWitnesses("b", "c", "d", "e")
	Convey("Both sets must support the leader", t, func() {
		h, _ := start()
		So(supported(h, old), ShouldBeFalse)
		So(supported(h, next), ShouldBeFalse)
		So(supported(h, append(old[:2:2], next[:2]...)), ShouldBeTrue)
	})
	Convey("A read that does not show the save settles nothing, since the save may still arrive", t, func() {
		h, save := start()
		stored := save.Table
		stored.Witnesses = old
		h.update(StoredTableMsg{Table: stored, Revision: save.Revision, RequestedAt: h.now})
		So(supported(h, old), ShouldBeFalse)
		So(h.keeper.storeState.savePending, ShouldBeTrue)
	})
	Convey("A read that shows the save settles the change", t, func() {
		h, save := start()
		h.update(StoredTableMsg{Table: save.Table, Revision: save.Revision + 1, RequestedAt: h.now})
		So(supported(h, next), ShouldBeTrue)
		So(supported(h, old), ShouldBeFalse)
	})
	Convey("If an earlier save was carried out instead, the change is saved again", t, func() {
		h, save := start()
		stored := save.Table
		stored.Witnesses = old
		h.update(StoredTableMsg{Table: stored, Revision: save.Revision + 1, RequestedAt: h.now})
		So(supported(h, old), ShouldBeFalse)
		h.run(time.Second, true)
		So(supported(h, next), ShouldBeTrue)
	})
}

// Guards against keys that wait 35 s for the grants of a leader whose host is lost for good together
// with a holder.
func TestLostLeaderWithWitnesses(t *testing.T) {
	// start returns a successor that reaches server b but not a, the holder of all keys.
	start := func() *harness {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))})
		h.setFleet(testServer("b", false))
		return h
	}
	results := func(address string) grant.Result {
		if address == "a" {
			return grant.NotSent
		}
		return grant.Done
	}
	Convey("The range is free when the derived end, the delay of a grant and its TTL have passed", t, func() {
		h := start()
		began := h.now
		ending := lease.NewEnding(h.now, grant.Term{Epoch: 1, Leader: grant.Leader{Daemon: "old"}, Witnesses: testWitnesses("w", "x", "y", "z")})
		h.advance(500*time.Millisecond, results, results)
		for _, w := range testWitnesses("w", "x", "y") {
			ending.Record(h.now, w, 2)
		}
		stoppedBy, known := ending.StoppedBy()
		So(known, ShouldBeTrue)
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: stoppedBy})
		for len(h.grantsTo("b")) == 0 && h.now.Sub(began) < time.Minute {
			h.advance(50*time.Millisecond, results, results)
		}
		t.Logf("free %v after the takeover", h.now.Sub(began))
		So(h.now.Sub(began), ShouldBeLessThan, 8*time.Second)
		So(h.now, ShouldHappenOnOrAfter, h.keeper.grantExpiry(stoppedBy.Add(maxGrantDelay)))
	})
	Convey("A successor that reaches too few of the witnesses waits for the leader lease", t, func() {
		h := start()
		h.advance(30*time.Second, results, results)
		So(h.grantsTo("b"), ShouldBeEmpty)
		h.advance(6*time.Second, results, results)
		So(h.grantsTo("b"), ShouldNotBeEmpty)
	})
	Convey("An earlier end that becomes known later replaces the derived one", t, func() {
		h := start()
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now.Add(10 * time.Second)})
		h.advance(time.Second, results, results)
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now})
		bound := h.keeper.grantExpiry(h.now.Add(maxGrantDelay))
		So(h.keeper.services[0].ranges[0].expiresAt, ShouldEqual, bound)
		h.advance(time.Second, results, results)
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now})
		So(h.keeper.services[0].ranges[0].expiresAt, ShouldEqual, bound)
	})
	Convey("An end in the past does not shorten this leader's own grants", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))})
		h.setFleet(testServer("a", false))
		h.advance(5*time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		before := h.keeper.services[0].ranges[0].expiresAt
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now.Add(-4 * time.Second)})
		So(h.keeper.services[0].ranges[0].expiresAt, ShouldEqual, before)
	})
}

// Guards against a successor that knows the last leader to have stopped and overlooks an earlier
// one that is cut off and goes on: the stored table names the earlier one until it has ended.
func TestEarlierTermsAreStored(t *testing.T) {
	start := func() *harness {
		t := grant.Table{Epoch: 2, Seq: 10, Leader: grant.Leader{Daemon: "d", Incarnation: 1}, Earlier: []grant.Term{{Epoch: 1, Leader: grant.Leader{Daemon: "c"}}}}
		h := &harness{now: time.Unix(1000, 0)}
		h.keeper = New(h.now, t, 5, WithAcquiredAt(h.now))
		return h
	}
	result := alwaysResult(grant.Done)
	Convey("They are dropped once all earlier leaders have stopped", t, func() {
		h := start()
		h.advance(2*time.Second, result, result)
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now.Add(3 * time.Second)})
		h.advance(2900*time.Millisecond, result, result)
		So(h.keeper.table(true).Earlier, ShouldHaveLength, 1)
		So(h.keeper.Table().Earlier, ShouldBeEmpty)
		h.advance(300*time.Millisecond, result, result)
		So(h.keeper.table(true).Earlier, ShouldBeEmpty)
		So(h.keeper.storeState.savedSeq, ShouldBeGreaterThan, 0)
	})
	Convey("Otherwise they are dropped after the leader lease", t, func() {
		h := start()
		h.advance(30*time.Second, result, result)
		So(h.keeper.table(true).Earlier, ShouldHaveLength, 1)
		h.advance(time.Second, result, result)
		So(h.keeper.table(true).Earlier, ShouldBeEmpty)
	})
}

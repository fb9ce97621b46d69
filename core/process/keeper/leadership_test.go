package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// harness drives one Keeper with messages and collects its commands.
type harness struct {
	keeper *Keeper
	now    time.Time
	cmds   []Cmd
}

func testServer(id string, draining bool) fleet.Server {
	return fleet.Server{ID: id, Address: id, Service: testService, DataCentre: "x", Slots: 3, StartMillis: 1, Draining: draining}
}

// newHarness returns a leader of epoch 2 that found one range in the table of the leader of epoch 1.
func newHarness(r grant.Range, opts ...Option) *harness {
	r.To = grant.LastKey
	t := grant.Table{Epoch: 2, Seq: 10, Leader: grant.Leader{Daemon: "d", Incarnation: 1}, Earlier: []grant.Term{{Epoch: 1, Leader: grant.Leader{Daemon: "c", Incarnation: 1}}},
		Services: []grant.ServiceRanges{{Service: testService, Ranges: []grant.Range{r}}}}
	h := &harness{now: time.Unix(1000, 0)}
	h.keeper = New(h.now, t, 5, opts...)
	return h
}

func (h *harness) update(m Msg) {
	h.cmds = append(h.cmds, h.keeper.Update(h.now, m)...)
}

// endEarlierTerm reports that the earlier leader stopped so long ago that none of its calls can arrive any more.
func (h *harness) endEarlierTerm() {
	h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now.Add(-maxGrantDelay)})
}

func (h *harness) setFleet(servers ...fleet.Server) {
	h.update(FleetMsg{Fleet: fleet.New(servers), KeyedServices: []string{testService}})
}

// advance sends ticks for a time span. Saves and reads succeed; the functions return the
// results of grants and releases by server address.
func (h *harness) advance(d time.Duration, grants, releases func(address string) grant.Result) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		from := len(h.cmds)
		h.update(TickMsg{})
		for i := from; i < len(h.cmds); i++ {
			switch c := h.cmds[i].(type) {
			case GrantCmd:
				h.update(GrantResultMsg{Cmd: c, EndedAt: h.now, Result: grants(c.Address)})
			case ReleaseCmd:
				h.update(ReleaseResultMsg{Cmd: c, Result: releases(c.Address)})
			case SaveCmd:
				h.update(StoredTableMsg{Table: c.Table, Revision: c.Revision + 1, RequestedAt: h.now})
			case ReadCmd:
				h.update(StoredTableMsg{Table: h.keeper.table(true), Revision: h.keeper.revision, RequestedAt: h.now})
			}
		}
	}
}

func (h *harness) grantsTo(address string) []GrantCmd {
	var out []GrantCmd
	for _, c := range h.cmds {
		if g, ok := c.(GrantCmd); ok && g.Address == address {
			out = append(out, g)
		}
	}
	return out
}

func alwaysResult(r grant.Result) func(string) grant.Result {
	return func(string) grant.Result { return r }
}

// Guards against two holders: the previous leader may have granted the range to the next holder
// already, so a third server must not get it before that grant has expired.
func TestSuccessorWaitsForNextHolder(t *testing.T) {
	Convey("The next holder counts as a holder until its grant has expired", t, func() {
		a, b := holderOf(testServer("a", false)), holderOf(testServer("b", false))
		h := newHarness(grant.Range{Holder: a, Next: b})
		h.setFleet(testServer("a", false), testServer("b", false), testServer("c", false))
		result := func(address string) grant.Result {
			switch address {
			case "a":
				return grant.Ended
			case "b":
				return grant.NotSent
			}
			return grant.Done
		}
		h.advance(time.Second, result, result)
		So(h.grantsTo("b"), ShouldNotBeEmpty)
		h.setFleet(testServer("b", true), testServer("c", false))
		h.advance(10*time.Second, result, result)
		So(h.grantsTo("c"), ShouldBeEmpty)
	})
}

// Guards against keys that move to another server while a previous leader that the new one cannot
// reach may still renew their grants.
func TestPreviousLeaderMayStillRenewUnreachableHolder(t *testing.T) {
	notSent := alwaysResult(grant.NotSent)
	initial := grant.Range{Holder: holderOf(testServer("a", false))}
	Convey("The keys of an unreachable holder wait for the previous leader's lease plus the grant TTL", t, func() {
		h := newHarness(initial, WithGrantTTL(2*time.Second), WithLeaderLease(8*time.Second))
		h.setFleet(testServer("b", false))
		h.advance(10*time.Second, notSent, notSent)
		So(h.grantsTo("b"), ShouldBeEmpty)
		h.advance(4*time.Second, notSent, notSent)
		So(h.grantsTo("b"), ShouldNotBeEmpty)
	})
	Convey("The keys of an unreachable holder wait only for the grant TTL once the previous leader is known to have stopped", t, func() {
		h := newHarness(initial, WithGrantTTL(2*time.Second), WithLeaderLease(8*time.Second))
		h.setFleet(testServer("b", false))
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now})
		h.advance(2*time.Second, notSent, notSent)
		So(h.grantsTo("b"), ShouldBeEmpty)
		h.advance(3*time.Second, notSent, notSent)
		So(h.grantsTo("b"), ShouldNotBeEmpty)
	})
}

// Guards against two holders when a server's clock is slow, so that a grant lasts longer there
// than its TTL.
func TestHolderWithSlowClock(t *testing.T) {
	Convey("An unreachable holder keeps its keys for the grant TTL plus 2 percent", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))}, WithGrantTTL(10*time.Second))
		h.setFleet(testServer("a", false), testServer("b", false))
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now})
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		h.setFleet(testServer("b", false))
		notSent := alwaysResult(grant.NotSent)
		last := h.grantsTo("a")[len(h.grantsTo("a"))-1].SendBefore.Add(-sendWindow)
		h.advance(last.Add(10200*time.Millisecond).Sub(h.now), notSent, notSent)
		So(h.grantsTo("b"), ShouldBeEmpty)
	})
}

// Guards against a leader that was suspended and replaced, and goes on granting from outdated
// state when it wakes.
func TestSuspendedLeaderChecksItsEpoch(t *testing.T) {
	Convey("A leader that was suspended reads the stored epoch before it calls any server", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))})
		h.setFleet(testServer("a", false))
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		h.now = h.now.Add(6 * time.Second)
		h.cmds = nil
		h.update(TickMsg{})
		So(h.grantsTo("a"), ShouldBeEmpty)
		read := false
		for _, c := range h.cmds {
			_, ok := c.(ReadCmd)
			read = read || ok
		}
		So(read, ShouldBeTrue)
		h.update(StoredTableMsg{Table: grant.Table{Epoch: 3, Leader: grant.Leader{Daemon: "e"}}, Revision: 9, RequestedAt: h.now})
		_, steppedDown := h.cmds[len(h.cmds)-1].(StepDownCmd)
		So(steppedDown, ShouldBeTrue)
		So(h.grantsTo("a"), ShouldBeEmpty)
	})
}

// Guards against a restarted server that accepts keys under a fence of its previous instance.
func TestRenewalReachesTheSameInstance(t *testing.T) {
	Convey("A renewal needs the connection of the previous grant; without it the next grant has a new fence", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))})
		h.setFleet(testServer("a", false))
		h.advance(2*time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		g := h.grantsTo("a")
		So(len(g), ShouldBeGreaterThanOrEqualTo, 2)
		So(g[0].Renewal, ShouldBeFalse)
		So(g[1].Renewal, ShouldBeTrue)
		So(g[1].Fence, ShouldEqual, g[0].Fence)
		notSentIndex := len(g)
		h.advance(2*time.Second, alwaysResult(grant.NotSent), alwaysResult(grant.Done))
		g = h.grantsTo("a")
		So(g[notSentIndex].Renewal, ShouldBeTrue)
		So(g[notSentIndex+1].Renewal, ShouldBeFalse)
		So(g[notSentIndex+1].Fence, ShouldBeGreaterThan, g[notSentIndex].Fence)
	})
}

// Guards against keys that are repeatedly given back to a server whose process has ended but which
// is still listed.
func TestUnresponsiveServerGetsNoKeys(t *testing.T) {
	unresponsive := map[string]bool{"a": true}
	answer := func(address string) grant.Result {
		if unresponsive[address] {
			return grant.NotSent
		}
		return grant.Done
	}
	start := func() *harness {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))}, WithGrantTTL(2*time.Second), WithLeaderLease(4*time.Second))
		h.setFleet(testServer("a", false), testServer("b", false), testServer("c", false))
		h.update(EarlierLeaderStoppedMsg{Epoch: 1, At: h.now})
		h.advance(6*time.Second, answer, answer)
		return h
	}
	Convey("A server gets no keys while it does not answer", t, func() {
		h := start()
		grantsBefore := len(h.grantsTo("a"))
		h.advance(unresponsivePeriod-3*time.Second, answer, answer)
		So(len(h.grantsTo("a")), ShouldEqual, grantsBefore)
		So(h.keeper.Table().Services[0].Ranges, ShouldNotBeEmpty)
		for _, r := range h.keeper.Table().Services[0].Ranges {
			So(r.Holder.Server, ShouldNotEqual, "a")
			So(r.IsOpen(), ShouldBeTrue)
		}
	})
	Convey("A server that did not answer is called again after unresponsivePeriod, and gets keys once it answers", t, func() {
		h := start()
		unresponsive["a"] = false
		h.advance(2*unresponsivePeriod, answer, answer)
		So(h.keeper.loads(h.keeper.services[0])[holderOf(testServer("a", false))], ShouldBeGreaterThan, 0)
	})
}

// Guards against requests that are refused until grants expire although the holder is known to
// have ended. That happens if a new server list makes the leader forget the end.
func TestInstanceEndIsRemembered(t *testing.T) {
	Convey("The keys of an instance that has ended move at once, and the end is logged once", t, func() {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))}, WithGrantTTL(2*time.Second), WithLeaderLease(8*time.Second))
		h.setFleet(testServer("b", false))
		answer := func(address string) grant.Result {
			if address == "a" {
				return grant.Ended
			}
			return grant.Done
		}
		for range 10 { // a new server list before each tick
			h.setFleet(testServer("b", false))
			h.advance(50*time.Millisecond, answer, answer)
		}
		So(h.grantsTo("b"), ShouldNotBeEmpty)
		ends := 0
		for _, c := range h.cmds {
			if entry, ok := c.(LogCmd); ok && entry.Text == "server instance has ended" {
				ends++
			}
		}
		So(ends, ShouldEqual, 1)
	})
}

// Guards against a new leader that waits for old grants to expire although both servers of an
// unfinished move answer.
func TestSuccessorCompletesAMove(t *testing.T) {
	start := func() *harness {
		h := newHarness(grant.Range{Holder: holderOf(testServer("a", false)), Next: holderOf(testServer("b", false))},
			WithGrantTTL(2*time.Second), WithLeaderLease(8*time.Second))
		h.setFleet(testServer("a", false), testServer("b", false))
		return h
	}
	opened := func(h *harness) bool {
		r := h.keeper.Table().Services[0].Ranges[0]
		return r.Holder.Server == "b" && r.IsOpen()
	}
	Convey("The range opens at the next holder once the holder has released it", t, func() {
		h := start()
		h.endEarlierTerm()
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(opened(h), ShouldBeTrue)
	})
	Convey("While the earlier leader may still run, it opens once that one makes no more calls on new connections", t, func() {
		h := start()
		h.advance(3*time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(opened(h), ShouldBeFalse)
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(opened(h), ShouldBeTrue)
	})
}

// Guards against two holders, one of them through a grant that the previous leader sent after the
// release.
func TestReplacedLeaderGrantsAfterARelease(t *testing.T) {
	start := func() *harness {
		old := testServer("a", false)
		h := newHarness(grant.Range{Holder: holderOf(old)}, WithGrantTTL(2*time.Second), WithLeaderLease(8*time.Second))
		restarted := old
		restarted.StartMillis, restarted.Draining = 2, true
		h.setFleet(restarted, testServer("b", false))
		return h
	}
	grantResult := func(address string) grant.Result {
		if address == "a" {
			return grant.NotSent
		}
		return grant.Done
	}
	Convey("Without an answer to the release, the range stays while the previous leader may still grant it", t, func() {
		h := start()
		h.advance(4*time.Second, grantResult, alwaysResult(grant.OutcomeUnknown))
		So(h.grantsTo("b"), ShouldBeEmpty)
		h.advance(10*time.Second, grantResult, alwaysResult(grant.OutcomeUnknown))
		So(h.grantsTo("b"), ShouldNotBeEmpty)
	})
	Convey("An answered release blocks the previous leader once that one makes no more calls on new connections", t, func() {
		h := start()
		h.advance(3*time.Second, grantResult, alwaysResult(grant.Done))
		So(h.grantsTo("b"), ShouldBeEmpty)
		h.advance(time.Second, grantResult, alwaysResult(grant.Done))
		So(h.grantsTo("b"), ShouldNotBeEmpty)
		for _, c := range h.cmds {
			if r, ok := c.(ReleaseCmd); ok {
				So(r.Fence, ShouldBeGreaterThan, h.keeper.epoch<<fenceShift)
			}
		}
	})
	Convey("A grant that the new instance answers blocks the previous leader", t, func() {
		old := testServer("a", false)
		h := newHarness(grant.Range{Holder: holderOf(old)}, WithGrantTTL(2*time.Second), WithLeaderLease(8*time.Second))
		restarted := old
		restarted.StartMillis, restarted.Draining = 2, true
		h.setFleet(restarted, testServer("b", false))
		h.advance(3*time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(h.grantsTo("b"), ShouldBeEmpty)
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(h.grantsTo("b"), ShouldNotBeEmpty)
	})
}

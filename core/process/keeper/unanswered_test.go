package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// newUnansweredMove drives a leader whose range moves from a, which is draining, to b, which does not answer grants, while
// c does.
func newUnansweredMove(b grant.Result) *harness {
	h := newHarness(grant.Range{Holder: holderOf(testServer("a", false))}, WithGrantTTL(2*time.Second))
	h.setFleet(testServer("a", false))
	h.endEarlierTerm()
	h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
	h.setFleet(testServer("a", true), testServer("b", false))
	h.advance(200*time.Millisecond, alwaysResult(b), alwaysResult(grant.Done))
	h.setFleet(testServer("a", true), testServer("b", false), testServer("c", false))
	return h
}

func resultOf(b grant.Result) func(string) grant.Result {
	return func(address string) grant.Result {
		if address == "b" {
			return b
		}
		return grant.Done
	}
}

// firstGrantTo returns the index of the first grant to a server among the commands, or -1.
func (h *harness) firstGrantTo(address string) int {
	for i, c := range h.cmds {
		if g, ok := c.(GrantCmd); ok && g.Address == address {
			return i
		}
	}
	return -1
}

// Guards against keys that stay closed for as long as a server is listed that cannot be reached.
func TestUnansweredGrants(t *testing.T) {
	Convey("Grants that were not sent: another server gets the keys at once, with what the last holder has handed over", t, func() {
		h := newUnansweredMove(grant.NotSent)
		So(h.grantsTo("b"), ShouldNotBeEmpty)
		h.advance(time.Second, resultOf(grant.NotSent), alwaysResult(grant.Done))
		So(h.grantsTo("b"), ShouldHaveLength, maxUnsentGrants)
		So(h.grantsTo("c"), ShouldNotBeEmpty)
		first := h.grantsTo("c")[0]
		So(first.Origin, ShouldEqual, grant.Handed)
		So(first.Fence, ShouldBeGreaterThan, h.grantsTo("b")[maxUnsentGrants-1].Fence)
		isStored := false
		for _, c := range h.cmds[:h.firstGrantTo("c")] {
			if s, ok := c.(SaveCmd); ok {
				r := s.Table.Services[0].Ranges[0]
				isStored = isStored || r.Holder.Server == "a" && r.Next.Server == "c"
			}
		}
		So(isStored, ShouldBeTrue)
	})
	Convey("Grants whose outcome is unknown: another server gets the keys once these have certainly expired", t, func() {
		h := newUnansweredMove(grant.OutcomeUnknown)
		h.advance(8*time.Second, resultOf(grant.OutcomeUnknown), resultOf(grant.NotSent))
		So(h.grantsTo("b"), ShouldHaveLength, maxUnansweredGrants)
		So(h.grantsTo("c"), ShouldNotBeEmpty)
		last, first := h.grantsTo("b")[maxUnansweredGrants-1].SendBefore, h.grantsTo("c")[0].SendBefore
		So(first.Sub(last), ShouldBeGreaterThan, h.keeper.grantTTL)
		So(h.grantsTo("c")[0].Origin, ShouldEqual, grant.Lost)
	})
	Convey("Without another server the grants go on", t, func() {
		h := newUnansweredMove(grant.NotSent)
		h.setFleet(testServer("a", true), testServer("b", false))
		h.advance(3*time.Second, resultOf(grant.NotSent), alwaysResult(grant.Done))
		So(len(h.grantsTo("b")), ShouldBeGreaterThan, 2*maxUnsentGrants)
		h.advance(time.Second, alwaysResult(grant.Done), alwaysResult(grant.Done))
		So(h.keeper.Table().Services[0].Ranges[0].Pending, ShouldBeFalse)
	})
}

// Guards against many keys that are closed by each try, and against a server that gets only few once it answers.
func TestTriesOfAServerThatNeverAnswered(t *testing.T) {
	Convey("Each try but the first closes one bucket; once it answers it gets its part", t, func() {
		h := newUnansweredMove(grant.NotSent)
		h.advance(time.Minute, resultOf(grant.NotSent), alwaysResult(grant.Done))
		tries := h.grantsTo("b")[maxUnsentGrants:]
		So(tries, ShouldNotBeEmpty)
		for _, g := range tries {
			So(g.To-g.From+1, ShouldEqual, keysPerBucket)
		}
		So(len(tries), ShouldBeLessThanOrEqualTo, 3*maxUnsentGrants)
		h.advance(2*time.Minute, alwaysResult(grant.Done), alwaysResult(grant.Done))
		held := 0
		for _, r := range h.keeper.Table().Services[0].Ranges {
			if r.Holder.Server == "b" {
				held += r.To - r.From + 1
			}
		}
		So(held, ShouldBeGreaterThan, grant.LastKey/4)
	})
}

// Guards against keys that are closed again and again by tries to give them to a server that has never answered.
func TestPausesOfAServerThatNeverAnswered(t *testing.T) {
	triesOf := func(r callRecord) (tries []time.Duration) {
		now := time.Unix(1000, 0)
		for at := time.Duration(0); at < 20*time.Minute; at += time.Second {
			if !r.isPaused(now.Add(at)) {
				tries = append(tries, at)
				r = r.withFailure(now.Add(at)).withFailure(now.Add(at))
			}
		}
		return tries
	}
	Convey("Its pauses grow up to five minutes", t, func() {
		tries := triesOf(callRecord{})
		So(tries[1], ShouldEqual, unresponsivePeriod)
		So(tries[2]-tries[1], ShouldEqual, 2*unresponsivePeriod)
		So(tries[len(tries)-1]-tries[len(tries)-2], ShouldEqual, unresponsivePeriod<<maxPauseDoublings)
	})
	Convey("Those of one that has answered before do not", t, func() {
		tries := triesOf(callRecord{hasAnswered: true})
		So(tries[len(tries)-1]-tries[len(tries)-2], ShouldEqual, unresponsivePeriod)
	})
}

// runUnreachableSeed is runSeed with a server that is listed, and never answers, for most of the time.
func runUnreachableSeed(t fataler, seed uint64) {
	s := newSimulation(seed)
	s.startServer("odd")
	odd := s.servers[len(s.servers)-1]
	odd.running = false
	s.after(80*time.Second, func() { odd.listed = false })
	runSimulation(t, seed, s)
}

// Guards against two holders while a server is listed that never answers, and against keys without one after its
// entry has been removed.
func TestFuzzUnreachableServers(t *testing.T) {
	for seed := range uint64(40) {
		runUnreachableSeed(t, 2000+seed)
	}
}

package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// story drives one leadership by hand.
type story struct {
	k    *Keeper
	now  time.Time
	cmds []Cmd
}

func named(id string, draining bool) fleet.Server {
	return fleet.Server{ID: id, Address: id, Service: oneService, DataCentre: "x", Slots: 3, Born: 1, Draining: draining}
}

// begin makes a leader of epoch 2 that found one range in the stored table.
func begin(r grant.Range, opts ...Option) *story {
	r.To = grant.LastKey
	t := grant.Table{Epoch: 2, Seq: 10, Leader: grant.Leader{Daemon: "d", Incarnation: 1},
		Shares: []grant.Share{{Service: oneService, Ranges: []grant.Range{r}}}}
	s := &story{now: time.Unix(1000, 0)}
	s.k = New(s.now, t, 5, opts...)
	return s
}

func (s *story) tell(m Msg) {
	s.cmds = append(s.cmds, s.k.Update(s.now, m)...)
}

func (s *story) fleet(servers ...fleet.Server) {
	s.tell(FleetMsg{Fleet: fleet.New(servers), Keyed: []string{oneService}})
}

// pass lets time go by in ticks, answers saves and reads, and every call to a
// server by what the test says.
func (s *story) pass(d time.Duration, grants, releases func(address string) grant.Result) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		from := len(s.cmds)
		s.tell(TickMsg{})
		for i := from; i < len(s.cmds); i++ {
			switch c := s.cmds[i].(type) {
			case GrantCmd:
				s.tell(GrantedMsg{Cmd: c, At: s.now, Result: grants(c.Address)})
			case ReleaseCmd:
				s.tell(ReleasedMsg{Cmd: c, Result: releases(c.Address)})
			case SaveCmd:
				s.tell(StoredMsg{Table: c.Table, Revision: c.Revision + 1, Asked: s.now})
			case ReadCmd:
				s.tell(StoredMsg{Table: s.k.table(true), Revision: s.k.revision, Asked: s.now})
			}
		}
	}
}

func (s *story) grantsTo(address string) []GrantCmd {
	var out []GrantCmd
	for _, c := range s.cmds {
		if g, ok := c.(GrantCmd); ok && g.Address == address {
			out = append(out, g)
		}
	}
	return out
}

func always(r grant.Result) func(string) grant.Result {
	return func(string) grant.Result { return r }
}

// The leader before was replaced in the middle of a move, and the holder's life
// has ended. The successor cannot reach the next holder, which drains, and would give the range to a third
// server; but the old leader may have granted it to the next holder already.
func TestSuccessorOfAnUnfinishedMove(t *testing.T) {
	Convey("The next holder counts as one until its grant has run out", t, func() {
		a, b := holder(named("a", false)), holder(named("b", false))
		s := begin(grant.Range{Holder: a, Next: b})
		s.fleet(named("a", false), named("b", false), named("c", false))
		to := func(address string) grant.Result {
			switch address {
			case "a":
				return grant.Ended
			case "b":
				return grant.NotSent
			}
			return grant.Done
		}
		s.pass(time.Second, to, to)
		So(s.grantsTo("b"), ShouldNotBeEmpty)
		s.fleet(named("b", true), named("c", false))
		s.pass(10*time.Second, to, to)
		So(s.grantsTo("c"), ShouldBeEmpty)
	})
}

// The old leader is out of sight with the holder: cut off together, it may go on
// renewing. The holder is no longer listed here.
func TestSilentHolderOfAnOldLeader(t *testing.T) {
	quiet := always(grant.NotSent)
	holdersRange := grant.Range{Holder: holder(named("a", false))}
	Convey("Its keys wait for the old leader's right and the hold after it", t, func() {
		s := begin(holdersRange, WithHold(2*time.Second), WithLeaderLease(8*time.Second))
		s.fleet(named("b", false))
		s.pass(10*time.Second, quiet, quiet)
		So(s.grantsTo("b"), ShouldBeEmpty)
		s.pass(4*time.Second, quiet, quiet)
		So(s.grantsTo("b"), ShouldNotBeEmpty)
	})
	Convey("They wait for the hold alone once the old leader is known to have stopped", t, func() {
		s := begin(holdersRange, WithHold(2*time.Second), WithLeaderLease(8*time.Second))
		s.fleet(named("b", false))
		s.tell(OldLeaderMsg{At: s.now})
		s.pass(2*time.Second, quiet, quiet)
		So(s.grantsTo("b"), ShouldBeEmpty)
		s.pass(3*time.Second, quiet, quiet)
		So(s.grantsTo("b"), ShouldNotBeEmpty)
	})
}

// A server's clock may run slow, so that a grant lasts longer than it says.
func TestSlowClockOfAHolder(t *testing.T) {
	Convey("A silent holder keeps its keys for the hold and two parts in a hundred", t, func() {
		s := begin(grant.Range{Holder: holder(named("a", false))}, WithHold(10*time.Second))
		s.fleet(named("a", false), named("b", false))
		s.tell(OldLeaderMsg{At: s.now})
		s.pass(time.Second, always(grant.Done), always(grant.Done))
		s.fleet(named("b", false))
		quiet := always(grant.NotSent)
		last := s.grantsTo("a")[len(s.grantsTo("a"))-1].Before.Add(-sendWithin)
		s.pass(last.Add(10200*time.Millisecond).Sub(s.now), quiet, quiet)
		So(s.grantsTo("b"), ShouldBeEmpty)
	})
}

// The leader's host is suspended. When it wakes it believes that it leads, while
// another has taken over and moved keys.
func TestLeaderWakes(t *testing.T) {
	Convey("It asks who leads before it calls any server", t, func() {
		s := begin(grant.Range{Holder: holder(named("a", false))})
		s.fleet(named("a", false))
		s.pass(time.Second, always(grant.Done), always(grant.Done))
		s.now = s.now.Add(6 * time.Second)
		s.cmds = nil
		s.tell(TickMsg{})
		So(s.grantsTo("a"), ShouldBeEmpty)
		read := false
		for _, c := range s.cmds {
			_, ok := c.(ReadCmd)
			read = read || ok
		}
		So(read, ShouldBeTrue)
		s.tell(StoredMsg{Table: grant.Table{Epoch: 3, Leader: grant.Leader{Daemon: "e"}}, Revision: 9, Asked: s.now})
		_, resigned := s.cmds[len(s.cmds)-1].(ResignCmd)
		So(resigned, ShouldBeTrue)
		So(s.grantsTo("a"), ShouldBeEmpty)
	})
}

// A server dies and comes back under its id and at its address between two
// renewals. The new life must not take the keys with the old life's fence.
func TestRenewalMeetsTheSameLife(t *testing.T) {
	Convey("A renewal needs the connection of the grant before; without it a new fence goes out", t, func() {
		s := begin(grant.Range{Holder: holder(named("a", false))})
		s.fleet(named("a", false))
		s.pass(2*time.Second, always(grant.Done), always(grant.Done))
		g := s.grantsTo("a")
		So(len(g), ShouldBeGreaterThanOrEqualTo, 2)
		So(g[0].Renewal, ShouldBeFalse)
		So(g[1].Renewal, ShouldBeTrue)
		So(g[1].Fence, ShouldEqual, g[0].Fence)
		lost := len(g)
		s.pass(2*time.Second, always(grant.NotSent), always(grant.Done))
		g = s.grantsTo("a")
		So(g[lost].Renewal, ShouldBeTrue)
		So(g[lost+1].Renewal, ShouldBeFalse)
		So(g[lost+1].Fence, ShouldBeGreaterThan, g[lost].Fence)
	})
}

// A server dies while its entry stays in the list, as in an outage of the store
// or where servers are named by a file. Its keys run out and move. Then it looks
// like the idlest server: keys are given back to it, to wait for nothing, again
// and again, and their callers are refused for seconds each time.
func TestSilentServerGetsNoMoreKeys(t *testing.T) {
	dead := map[string]bool{"a": true}
	answer := func(address string) grant.Result {
		if dead[address] {
			return grant.NotSent
		}
		return grant.Done
	}
	start := func() *story {
		s := begin(grant.Range{Holder: holder(named("a", false))}, WithHold(2*time.Second), WithLeaderLease(4*time.Second))
		s.fleet(named("a", false), named("b", false), named("c", false))
		s.tell(OldLeaderMsg{At: s.now})
		s.pass(6*time.Second, answer, answer)
		return s
	}
	Convey("It gets none for as long as nothing says that it lives", t, func() {
		s := start()
		had := len(s.grantsTo("a"))
		s.pass(unresponsiveFor-3*time.Second, answer, answer)
		So(len(s.grantsTo("a")), ShouldEqual, had)
		So(s.k.Table().Shares[0].Ranges, ShouldNotBeEmpty)
		for _, r := range s.k.Table().Shares[0].Ranges {
			So(r.Holder.Server, ShouldNotEqual, "a")
			So(r.Open(), ShouldBeTrue)
		}
	})
	Convey("It is tried again after a while, and has keys once it answers", t, func() {
		s := start()
		dead["a"] = false
		s.pass(2*unresponsiveFor, answer, answer)
		So(s.k.loads(s.k.shares[0])[holder(named("a", false))], ShouldBeGreaterThan, 0)
	})
}

// The holder has ended and left the list, and its address belongs to another
// server, which says so. The leader forgot that answer at once, asked again in each
// tick, and callers of those keys were refused until the old grants had run out.
func TestEndOfAHolderIsRemembered(t *testing.T) {
	Convey("Its keys go on at once, and the end is noted once", t, func() {
		s := begin(grant.Range{Holder: holder(named("a", false))}, WithHold(2*time.Second), WithLeaderLease(8*time.Second))
		s.fleet(named("b", false))
		answer := func(address string) grant.Result {
			if address == "a" {
				return grant.Ended
			}
			return grant.Done
		}
		for range 10 { // the list is given again before each tick
			s.fleet(named("b", false))
			s.pass(50*time.Millisecond, answer, answer)
		}
		So(s.grantsTo("b"), ShouldNotBeEmpty)
		ends := 0
		for _, c := range s.cmds {
			if n, ok := c.(NoteCmd); ok && n.Text == "server's life has ended" {
				ends++
			}
		}
		So(ends, ShouldEqual, 1)
	})
}

// All daemons lose power while keys move for balance. Callers of those keys were
// refused for seconds after the others were served again: the successor waited
// until grants of the leader before it had run out, although both servers answer.
func TestSuccessorCompletesAMove(t *testing.T) {
	Convey("The range opens at the next holder once the holder before has released it", t, func() {
		s := begin(grant.Range{Holder: holder(named("a", false)), Next: holder(named("b", false))},
			WithHold(2*time.Second), WithLeaderLease(8*time.Second))
		s.fleet(named("a", false), named("b", false))
		s.pass(time.Second, always(grant.Done), always(grant.Done))
		r := s.k.Table().Shares[0].Ranges[0]
		So(r.Holder.Server, ShouldEqual, "b")
		So(r.Open(), ShouldBeTrue)
	})
}

// The holder ends and is back at its address, empty. A new leader takes over at
// that moment and its first grant finds nobody. The leader before is cut from
// the store, goes on for a while, and grants the range to the new life right
// after that has released it for the new leader, who has given it on meanwhile:
// two holders, unless the server has seen a fence of the new leader.
func TestReplacedLeaderGrantsAfterARelease(t *testing.T) {
	start := func() *story {
		old := named("a", false)
		s := begin(grant.Range{Holder: holder(old)}, WithHold(2*time.Second), WithLeaderLease(8*time.Second))
		reborn := old
		reborn.Born, reborn.Draining = 2, true
		s.fleet(reborn, named("b", false))
		return s
	}
	unheard := func(address string) grant.Result {
		if address == "a" {
			return grant.NotSent
		}
		return grant.Done
	}
	Convey("A release without an answer ends nothing while the leader before may still grant", t, func() {
		s := start()
		s.pass(4*time.Second, unheard, always(grant.Unsure))
		So(s.grantsTo("b"), ShouldBeEmpty)
		s.pass(10*time.Second, unheard, always(grant.Unsure))
		So(s.grantsTo("b"), ShouldNotBeEmpty)
	})
	Convey("An answered release shuts the leader before out: its fence is above all older epochs'", t, func() {
		s := start()
		s.pass(time.Second, unheard, always(grant.Done))
		So(s.grantsTo("b"), ShouldNotBeEmpty)
		for _, c := range s.cmds {
			if r, ok := c.(ReleaseCmd); ok {
				So(r.Fence, ShouldBeGreaterThan, s.k.epoch<<fenceShift)
			}
		}
	})
	Convey("A grant that the new life answers shuts the leader before out", t, func() {
		old := named("a", false)
		s := begin(grant.Range{Holder: holder(old)}, WithHold(2*time.Second), WithLeaderLease(8*time.Second))
		reborn := old
		reborn.Born, reborn.Draining = 2, true
		s.fleet(reborn, named("b", false))
		s.pass(time.Second, always(grant.Done), always(grant.Done))
		So(s.grantsTo("b"), ShouldNotBeEmpty)
	})
}

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
	return fleet.Server{ID: id, Address: id, Service: oneService, DataCentre: "x", Slots: 3, StartMillis: 1, Draining: draining}
}

// begin makes a leader of epoch 2 that found one range in the stored table.
func begin(r grant.Range, opts ...Option) *story {
	r.To = grant.LastKey
	t := grant.Table{Epoch: 2, Seq: 10, Leader: grant.Leader{Daemon: "d", Incarnation: 1},
		Services: []grant.ServiceRanges{{Service: oneService, Ranges: []grant.Range{r}}}}
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

// Guards against a third holder beside one to which the leader before may have granted the range.
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

// Guards against keys that are moved while a leader out of sight may go on renewing them.
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

// Guards against a leader that was suspended, replaced, and grants by what it believed.
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

// Guards against a restarted server that takes the keys with the fence of its life before.
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

// Guards against keys that are given back, again and again, to a server that died while listed.
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
		So(s.k.Table().Services[0].Ranges, ShouldNotBeEmpty)
		for _, r := range s.k.Table().Services[0].Ranges {
			So(r.Holder.Server, ShouldNotEqual, "a")
			So(r.IsOpen(), ShouldBeTrue)
		}
	})
	Convey("It is tried again after a while, and has keys once it answers", t, func() {
		s := start()
		dead["a"] = false
		s.pass(2*unresponsiveFor, answer, answer)
		So(s.k.loads(s.k.shares[0])[holder(named("a", false))], ShouldBeGreaterThan, 0)
	})
}

// Guards against keys whose callers are refused until grants run out, although the holder is known to have ended.
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

// Guards against a successor that waits for old grants although both servers of a move answer.
func TestSuccessorCompletesAMove(t *testing.T) {
	Convey("The range opens at the next holder once the holder before has released it", t, func() {
		s := begin(grant.Range{Holder: holder(named("a", false)), Next: holder(named("b", false))},
			WithHold(2*time.Second), WithLeaderLease(8*time.Second))
		s.fleet(named("a", false), named("b", false))
		s.pass(time.Second, always(grant.Done), always(grant.Done))
		r := s.k.Table().Services[0].Ranges[0]
		So(r.Holder.Server, ShouldEqual, "b")
		So(r.IsOpen(), ShouldBeTrue)
	})
}

// Guards against two holders, one of them by a replaced leader that granted after a release.
func TestReplacedLeaderGrantsAfterARelease(t *testing.T) {
	start := func() *story {
		old := named("a", false)
		s := begin(grant.Range{Holder: holder(old)}, WithHold(2*time.Second), WithLeaderLease(8*time.Second))
		reborn := old
		reborn.StartMillis, reborn.Draining = 2, true
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
		reborn.StartMillis, reborn.Draining = 2, true
		s.fleet(reborn, named("b", false))
		s.pass(time.Second, always(grant.Done), always(grant.Done))
		So(s.grantsTo("b"), ShouldNotBeEmpty)
	})
}

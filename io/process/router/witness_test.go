package router

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/process/lease"
	"catkinstep/core/process/member"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
)

// leadWith makes a router the leader of epoch 5 at second 0, as the successor of old, with the given
// witnesses of its own.
func leadWith(r *Router, old grant.Table, witnesses []grant.Witness) {
	old.Epoch = 4
	next := old.WithLeader(grant.Leader{Daemon: "d", Incarnation: r.self.Incarnation}, witnesses)
	r.control.update(atSecond(0), leadershipAcquiredMsg{table: next, previous: old, revision: 9, requestedAt: atSecond(0)})
}

// gossipOf returns the gossip of a daemon of the own data centre.
func gossipOf(name string, incarnation, epoch uint64) *wire.Gossip {
	return &wire.Gossip{Name: name, Address: name, DataCentre: "x", Incarnation: incarnation, Epoch: epoch, LeaderAgeMillis: -1, StoredAgeMillis: -1, StoreFailedAgeMillis: -1}
}

// stoppedBy returns the time by which the leaders of all given terms have stopped, and whether it is known.
func stoppedBy(endings []*lease.Ending) (last time.Time, known bool) {
	for _, e := range endings {
		at, known := e.StoppedBy()
		if !known {
			return time.Time{}, false
		}
		if at.After(last) {
			last = at
		}
	}
	return last, true
}

func namedWitnesses(names string) []grant.Witness {
	var out []grant.Witness
	for _, n := range strings.Fields(names) {
		out = append(out, grant.Witness{Name: n, Incarnation: 1})
	}
	return out
}

// Guards against support that counts from the arrival of a reply, or that a daemon's own call is
// taken for.
func TestReplyIsSupport(t *testing.T) {
	Convey("A reply counts from the sending of the call, and a call does not count", t, func() {
		r := newTestRouter()
		leadWith(r, grant.Table{}, namedWitnesses("a b"))
		r.control.update(atSecond(1.5), gossipMsg{gossip: gossipOf("a", 1, 4)})
		So(r.control.keeper.SupportedAt().IsZero(), ShouldBeTrue)
		r.control.update(atSecond(1.5), gossipMsg{gossip: gossipOf("a", 1, 4), sentAt: atSecond(1)})
		So(r.control.keeper.SupportedAt(), ShouldEqual, atSecond(1))
	})
	Convey("A reply that names a newer epoch ends the term", t, func() {
		r, _ := newMeshRouter()
		leadWith(r, grant.Table{}, namedWitnesses("a b"))
		r.control.update(atSecond(1.5), gossipMsg{gossip: gossipOf("a", 1, 6), sentAt: atSecond(1)})
		So(r.control.keeper, ShouldBeNil)
	})
}

// Guards against a successor that does not ask the witnesses of a lost leader, or counts them wrongly.
func TestSuccessorAsksTheWitnesses(t *testing.T) {
	old := grant.Table{Leader: grant.Leader{Daemon: "lost", Incarnation: 1}, Witnesses: namedWitnesses("a b c e")}
	Convey("It gossips with those that have not been counted, and derives the end from their reports", t, func() {
		r, m := newTestRouter(), fakeMesh{calls: make(chan fakeCall)}
		r.mesh = m
		leadWith(r, old, nil) // before it knows other daemons, which it would tell of the change
		for _, w := range old.Witnesses {
			r.control.members.AddDiscovered(member.Member{Name: w.Name, Address: w.Name, DataCentre: "y", Incarnation: 1})
		}
		r.control.update(atSecond(0.1), gossipMsg{gossip: gossipOf("a", 1, 5)})
		r.control.lastRuns.localGossip = atSecond(0.2)
		r.control.callWitnesses(atSecond(0.2))
		called := map[string]bool{}
		for range 3 {
			c := <-m.calls
			called[c.address] = true
			close(c.end)
		}
		So(called, ShouldResemble, map[string]bool{"b": true, "c": true, "e": true})
		_, known := stoppedBy(r.control.leadership.earlier)
		So(known, ShouldBeFalse)
		r.control.update(atSecond(0.3), gossipMsg{gossip: gossipOf("b", 1, 5)})
		r.control.update(atSecond(0.4), gossipMsg{gossip: gossipOf("c", 2, 0)}) // restarted
		at, known := stoppedBy(r.control.leadership.earlier)
		So(known, ShouldBeTrue)
		So(at, ShouldEqual, atSecond(2.44))
	})
	Convey("A successor that is a witness itself counts from when its own replies name the new epoch", t, func() {
		r := newTestRouter()
		table := grant.Table{Leader: old.Leader, Witnesses: append(namedWitnesses("a b c"), grant.Witness{Name: "d", Incarnation: r.self.Incarnation})}
		leadWith(r, table, nil)
		So(r.current.Load().table.Epoch, ShouldEqual, 5)
		r.control.checkEarlierLeaders(atSecond(0.1))
		So(r.control.leadership.earlier[0].Counted(), ShouldEqual, 1)
	})
	Convey("An older daemon stored no witnesses: nothing is derived", t, func() {
		r := newTestRouter()
		leadWith(r, grant.Table{Leader: old.Leader}, nil)
		for _, w := range old.Witnesses {
			r.control.update(atSecond(0.1), gossipMsg{gossip: gossipOf(w.Name, 2, 5)})
		}
		_, known := stoppedBy(r.control.leadership.earlier)
		So(known, ShouldBeFalse)
	})
	Convey("A known last leader does not hide an earlier one that may go on", t, func() {
		r := newTestRouter()
		earlier := grant.Table{Leader: grant.Leader{Daemon: "a", Incarnation: 1}, Earlier: []grant.Term{{Epoch: 3, Leader: old.Leader}}}
		leadWith(r, earlier, nil)
		r.control.update(atSecond(0.1), gossipMsg{gossip: gossipOf("a", 2, 5)})
		r.control.checkEarlierLeaders(atSecond(0.2))
		So(r.control.leadership.earlier[1].Stopped(), ShouldBeTrue)
		_, known := stoppedBy(r.control.leadership.earlier)
		So(known, ShouldBeFalse)
		r.control.update(atSecond(0.3), gossipMsg{gossip: gossipOf("lost", 2, 0)})
		r.control.checkEarlierLeaders(atSecond(0.4))
		at, known := stoppedBy(r.control.leadership.earlier)
		So(known, ShouldBeTrue)
		So(at, ShouldEqual, atSecond(0.4))
	})
}

// Guards against a leader that depends on daemons which it does not reach, and against a successor that
// does not know of a leader before the last one, where no witnesses are asked for.
func TestWitnessesAreChosen(t *testing.T) {
	stored := grant.Table{Epoch: 4, Seq: 7, Leader: grant.Leader{Daemon: "z", Incarnation: 1}}
	chosen := func(setting int, live string) grant.Table {
		r, _ := newMeshRouter()
		r.settings.LeaderWitnesses = setting
		for _, w := range namedWitnesses(live) {
			r.control.update(atSecond(0), gossipMsg{gossip: gossipOf(w.Name, 1, 4)})
		}
		return r.control.successorTable(atSecond(0.1), stored)
	}
	Convey("There are as many as the settings ask for, or none", t, func() {
		So(chosen(5, "a b c e f").Witnesses, ShouldHaveLength, 4)
		So(chosen(5, "a b c").Witnesses, ShouldBeEmpty)
		So(chosen(5, "a b c").Earlier, ShouldHaveLength, 1)
	})
	Convey("Without the setting there are none, and the stored table names the earlier terms all the same", t, func() {
		data, err := chosen(0, "a b c e f").Marshal()
		So(err, ShouldBeNil)
		So(bytes.Contains(data, []byte("witnesses")), ShouldBeFalse)
		table, err := grant.Unmarshal(data)
		So(err, ShouldBeNil)
		So(table.Earlier, ShouldResemble, []grant.Term{{Epoch: 4, Leader: stored.Leader}})
	})
}

// Guards against a leader that keeps a lost witness, so that the loss of further ones ends its
// support.
func TestSilentWitnessIsReplaced(t *testing.T) {
	Convey("After three seconds without a reply, another live daemon replaces it", t, func() {
		r := newTestRouter()
		r.settings.LeaderWitnesses = 3
		leadWith(r, grant.Table{}, namedWitnesses("a b"))
		for s := 0.0; s < 4; s += 0.25 {
			for _, name := range []string{"a", "e"} {
				r.control.update(atSecond(s), gossipMsg{gossip: gossipOf(name, 1, 4), sentAt: atSecond(s)})
			}
			r.control.replaceWitnesses(atSecond(s))
			set, _ := r.control.keeper.WantedWitnesses()
			So(len(set) == 2 && set[1].Name == "e", ShouldEqual, s > 3)
		}
	})
	Convey("A leader without witnesses gets some once enough daemons are live", t, func() {
		r := newTestRouter()
		r.settings.LeaderWitnesses = 3
		leadWith(r, grant.Table{}, nil)
		r.control.update(atSecond(1), gossipMsg{gossip: gossipOf("a", 1, 4)})
		r.control.replaceWitnesses(atSecond(1))
		So(r.control.keeper.Witnesses(), ShouldBeEmpty)
		r.control.update(atSecond(1), gossipMsg{gossip: gossipOf("b", 1, 4)})
		r.control.replaceWitnesses(atSecond(1))
		So(r.control.keeper.Witnesses(), ShouldHaveLength, 2)
	})
}

// storedDelta returns the stored table of epoch 5 as a daemon learns of it.
func storedDelta(r *Router, revision uint64, currentAt time.Time) object.Delta {
	table := grant.Table{Epoch: 5, Seq: 2, Leader: grant.Leader{Daemon: "d", Incarnation: r.self.Incarnation}, Witnesses: namedWitnesses("a b")}
	value, err := table.Marshal()
	So(err, ShouldBeNil)
	return object.Delta{Kind: object.Tables, Items: []object.Item{{Name: tableName, Revision: revision, Value: value}}, Through: revision, CurrentAt: currentAt}
}

// Guards against a lease that is confirmed by news of the stored table: gossip lacks the time that the message
// took, and a watch may be silent although the store already has the table of another leader.
func TestOnlyReadsAndSavesConfirmTheEpoch(t *testing.T) {
	Convey("Neither gossip nor a watch of the stored table confirms the epoch, but a read does", t, func() {
		r := newTestRouter()
		leadWith(r, grant.Table{}, namedWitnesses("a b"))
		delta := storedDelta(r, 9, atSecond(3))
		r.control.update(atSecond(4), deltaMsg{delta: delta})
		r.control.update(atSecond(4), deltaMsg{delta: delta, fromStore: true})
		r.control.update(atSecond(5), deltaMsg{delta: object.Delta{Kind: object.Tables, Through: 10, CurrentAt: atSecond(4)}, fromStore: true})
		So(r.control.keeper.StoreConfirmedAt(), ShouldEqual, atSecond(0))
		table, err := grant.Unmarshal(delta.Items[0].Value)
		So(err, ShouldBeNil)
		r.control.update(atSecond(6), keeperMsg{msg: keeper.StoredTableMsg{Table: table, Revision: 9, RequestedAt: atSecond(5)}})
		So(r.control.keeper.StoreConfirmedAt(), ShouldEqual, atSecond(5))
	})
}

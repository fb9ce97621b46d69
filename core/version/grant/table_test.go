package grant

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestRangeOf(t *testing.T) {
	table := Table{Epoch: 3, Seq: 9, Services: []ServiceRanges{{Service: "k", Ranges: []Range{
		{From: 0, To: 99, Holder: Holder{Server: "a"}},
		{From: 100, To: 100, Holder: Holder{Server: "b"}, Next: Holder{Server: "c"}},
		{From: 101, To: LastKey, Holder: Holder{Server: "c"}, Pending: true},
	}}}}
	Convey("Each key lies in one range, and closed ranges take no requests", t, func() {
		for _, test := range []struct {
			key    int
			holder string
			open   bool
		}{{0, "a", true}, {99, "a", true}, {100, "b", false}, {101, "c", false}, {LastKey, "c", false}} {
			r, ok := table.RangeOf("k", test.key)
			So(ok, ShouldBeTrue)
			So(r.Holder.Server, ShouldEqual, test.holder)
			So(r.IsOpen(), ShouldEqual, test.open)
		}
		_, ok := table.RangeOf("other", 0)
		So(ok, ShouldBeFalse)
	})
	Convey("Unmarshal returns the table that was marshalled", t, func() {
		data, err := table.Marshal()
		So(err, ShouldBeNil)
		decoded, err := Unmarshal(data)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, table)
	})
}

// Guards against a new leader closing a range that its holder has confirmed. The stored table of
// the previous leader still shows the move as incomplete.
func TestWithCompletedMoves(t *testing.T) {
	a, b, c := Holder{Server: "a"}, Holder{Server: "b"}, Holder{Server: "c"}
	tableOf := func(seq uint64, r Range) Table {
		r.To = LastKey
		return Table{Epoch: 2, Seq: seq, Services: []ServiceRanges{{Service: "k", Ranges: []Range{r}}}}
	}
	stored := tableOf(5, Range{Holder: a, Next: b})
	Convey("A move that the leader published as completed is completed", t, func() {
		got := stored.WithCompletedMoves(tableOf(7, Range{Holder: b}))
		So(got.Services[0].Ranges[0].Holder, ShouldResemble, b)
		So(got.Services[0].Ranges[0].IsOpen(), ShouldBeTrue)
		So(stored.Services[0].Ranges[0].Next, ShouldResemble, b)
	})
	Convey("Anything else stays as it was stored", t, func() {
		other := tableOf(7, Range{Holder: b})
		other.Epoch = 1
		for _, published := range []Table{
			other,
			tableOf(4, Range{Holder: b}),
			tableOf(7, Range{Holder: b, Pending: true}),
			tableOf(7, Range{Holder: b, Next: c}),
			tableOf(7, Range{Holder: c}),
		} {
			So(stored.WithCompletedMoves(published), ShouldResemble, stored)
		}
	})
}

// Guards against daemons keeping different tables depending on the order in which these arrive.
func TestNewerIsATotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n string) Table {
			return Table{Epoch: rapid.Uint64Range(0, 3).Draw(t, n), Seq: rapid.Uint64Range(0, 3).Draw(t, n+"seq")}
		}
		a, b := draw("a"), draw("b")
		same := a.Epoch == b.Epoch && a.Seq == b.Seq
		if a.Newer(b) == b.Newer(a) && !same {
			t.Fatalf("%+v and %+v are not ordered", a, b)
		}
	})
}

func TestUnmarshalHeader(t *testing.T) {
	Convey("The header equals that of the whole table", t, func() {
		whole := Table{Epoch: 3, Seq: 7, Leader: Leader{Daemon: "d", Incarnation: 2}, Services: []ServiceRanges{{Service: "s", Ranges: []Range{{To: LastKey}}}}}
		data, err := whole.Marshal()
		So(err, ShouldBeNil)
		header, err := UnmarshalHeader(data)
		So(err, ShouldBeNil)
		whole.Services = nil
		So(header, ShouldResemble, whole)
		_, err = UnmarshalHeader(data[:len(data)-1])
		So(err, ShouldNotBeNil)
	})
}

// Guards against a successor that overlooks the witnesses of the leader before it, or an earlier
// leader that may still grant.
func TestTableKeepsItsTerms(t *testing.T) {
	witnesses := []Witness{{Name: "b", Incarnation: 3}, {Name: "c", Incarnation: 4}}
	stored := Table{Epoch: 4, Seq: 7, Leader: Leader{Daemon: "a", Incarnation: 2}, Witnesses: witnesses, Earlier: []Term{{Epoch: 3, Leader: Leader{Daemon: "z"}}}}
	Convey("The stored form, its header and completed moves keep the witnesses and the earlier terms", t, func() {
		data, err := stored.Marshal()
		So(err, ShouldBeNil)
		whole, err := Unmarshal(data)
		So(err, ShouldBeNil)
		header, err := UnmarshalHeader(data)
		So(err, ShouldBeNil)
		for _, o := range []Table{whole, header, stored.WithCompletedMoves(Table{Epoch: 4, Seq: 9})} {
			So(o.Witnesses, ShouldResemble, witnesses)
			So(o.Earlier, ShouldResemble, stored.Earlier)
		}
	})
	Convey("A table of an older daemon, which drops both fields, has neither", t, func() {
		o, err := Unmarshal([]byte(`{"epoch":5,"seq":8,"leader":{"daemon":"a","incarnation":2},"shares":[]}`))
		So(err, ShouldBeNil)
		So(o.EarlierTerms(), ShouldResemble, []Term{{Epoch: 5, Leader: Leader{Daemon: "a", Incarnation: 2}}})
	})
	Convey("The replaced leader's term is added; beyond a limit the oldest become unknown", t, func() {
		So(stored.EarlierTerms(), ShouldResemble, []Term{stored.Earlier[0], {Epoch: 4, Leader: stored.Leader, Witnesses: witnesses}})
		So(Table{}.EarlierTerms(), ShouldBeEmpty)
		for range 20 {
			stored.Earlier = stored.EarlierTerms()
		}
		So(stored.Earlier, ShouldHaveLength, maxEarlierTerms)
		So(stored.Earlier[0], ShouldResemble, Term{})
	})
	Convey("A change to a published table has neither", t, func() {
		old := stored
		old.Seq = 6
		change, ok := stored.ChangeSince(old)
		So(ok, ShouldBeTrue)
		So(change.Witnesses, ShouldBeEmpty)
		So(change.Earlier, ShouldBeEmpty)
	})
}

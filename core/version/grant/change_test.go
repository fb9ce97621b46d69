package grant

import (
	"reflect"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// drawTable draws a table in which all keys of a service are assigned to a few servers.
func drawTable(t *rapid.T, seq uint64) Table {
	var ranges []Range
	for from := 0; from <= LastKey; {
		to := min(LastKey, from+rapid.IntRange(1, 20000).Draw(t, "keys"))
		r := Range{From: from, To: to, Holder: Holder{Server: strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "holder"))}}
		if rapid.Bool().Draw(t, "moves") {
			r.Next.Server = "next"
		}
		ranges = append(ranges, r)
		from = to + 1
	}
	return Table{Epoch: 3, Seq: seq, Leader: Leader{Daemon: "d"}, Services: []ServiceRanges{{Service: "k", Ranges: ranges}, {Service: "same", Ranges: []Range{{To: LastKey}}}}}
}

// Guards against a daemon routing keys differently because it received a change instead of the
// whole table.
func TestApplyingChangeYieldsNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, updated := drawTable(t, 4), drawTable(t, 7)
		c, ok := updated.ChangeSince(old)
		if !ok {
			t.Fatal("no change between two tables of one epoch")
		}
		data, err := c.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if c, err = UnmarshalChange(data); err != nil {
			t.Fatal(err)
		}
		got, ok := old.WithChange(c)
		if !ok || !reflect.DeepEqual(got, updated) {
			t.Fatalf("applying to %+v\nthe change %+v\ngave %+v\nwant %+v", old, c, got, updated)
		}
	})
}

func TestChangeOfAnotherTable(t *testing.T) {
	old := Table{Epoch: 3, Seq: 4, Services: []ServiceRanges{{Service: "k"}}}
	Convey("A change applies to the table that it was made for, and to no other", t, func() {
		updated := Table{Epoch: 3, Seq: 7, Services: []ServiceRanges{{Service: "k"}}}
		c, ok := updated.ChangeSince(old)
		So(ok, ShouldBeTrue)
		for _, other := range []Table{{Epoch: 3, Seq: 5}, {Epoch: 2, Seq: 4}, {Epoch: 3, Seq: 4, Leader: Leader{Daemon: "x"}}} {
			_, ok := other.WithChange(c)
			So(ok, ShouldBeFalse)
		}
	})
	Convey("Another epoch or another set of services needs the whole table", t, func() {
		for _, updated := range []Table{{Epoch: 4, Seq: 5, Services: old.Services}, {Epoch: 3, Seq: 5}, {Epoch: 3, Seq: 5, Services: []ServiceRanges{{Service: "other"}}}} {
			_, ok := updated.ChangeSince(old)
			So(ok, ShouldBeFalse)
		}
	})
	Convey("A range of which only the fence differs is not part of a change", t, func() {
		a := Table{Epoch: 3, Seq: 4, Services: []ServiceRanges{{Service: "k", Ranges: []Range{{To: LastKey, Fence: 1}}}}}
		b := Table{Epoch: 3, Seq: 5, Services: []ServiceRanges{{Service: "k", Ranges: []Range{{To: LastKey, Fence: 2}}}}}
		c, ok := b.ChangeSince(a)
		So(ok, ShouldBeTrue)
		So(c.Services, ShouldBeEmpty)
	})
}

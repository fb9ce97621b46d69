package grant

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestOwner(t *testing.T) {
	t1 := Table{Epoch: 3, Seq: 9, Shares: []Share{{Service: "k", Ranges: []Range{
		{From: 0, To: 99, Holder: Holder{Server: "a"}},
		{From: 100, To: 100, Holder: Holder{Server: "b"}, Next: Holder{Server: "c"}},
		{From: 101, To: LastKey, Holder: Holder{Server: "c"}, Pending: true},
	}}}}
	Convey("Each key lies in one range, and closed ranges take no requests", t, func() {
		for _, v := range []struct {
			key    int
			holder string
			open   bool
		}{{0, "a", true}, {99, "a", true}, {100, "b", false}, {101, "c", false}, {LastKey, "c", false}} {
			r, ok := t1.Owner("k", v.key)
			So(ok, ShouldBeTrue)
			So(r.Holder.Server, ShouldEqual, v.holder)
			So(r.Open(), ShouldEqual, v.open)
		}
		_, ok := t1.Owner("other", 0)
		So(ok, ShouldBeFalse)
	})
	Convey("The stored form comes back whole", t, func() {
		data, err := t1.Marshal()
		So(err, ShouldBeNil)
		back, err := Unmarshal(data)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, t1)
	})
}

// Tables reach a daemon by the store and by other daemons, in any order. What it
// ends with must not depend on the order.
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

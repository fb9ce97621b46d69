package ledger

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
)

func TestBook(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("An id is begun, answered, and forgotten in time", t, func() {
		b := New(time.Minute)
		So(b.Find(now, 1, "a").State, ShouldEqual, Pending)
		b.Cover(1, 7)
		So(b.Find(now, 1, "a").State, ShouldEqual, Unseen)
		b.Begin(now, 1, "a")
		So(b.Find(now, 1, "a").State, ShouldEqual, Begun)
		b.Finish(now, 1, "a", &wire.Answer{Status: 200})
		So(b.Find(now, 1, "a").Answer.Status, ShouldEqual, 200)
		So(b.Find(now.Add(2*time.Minute), 1, "a").State, ShouldEqual, Unseen)
	})
	Convey("A lost shard says so until its ids would be too old", t, func() {
		b := New(time.Minute)
		b.Lose(now, 1, 7)
		So(b.Find(now, 1, "a").State, ShouldEqual, Lost)
		So(b.Find(now.Add(2*time.Minute), 1, "a").State, ShouldEqual, Unseen)
	})
}

// A dispatcher refuses an order as not run and takes its id back from the
// backup; the message is held up. The caller tries again, and the order is sent.
// Then the late message arrives. If it removed the id, a third try would run the
// booking again after the dispatcher's death.
func TestLateForgetting(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A forgetting that comes late leaves the next try's id", t, func() {
		primary, backup := New(time.Minute), New(time.Minute)
		primary.Begin(now, 1, "a")
		forget := primary.Forget(1, "a")
		again := primary.Begin(now, 1, "a")
		backup.Cover(1, 7)
		backup.Take(now, []*wire.LedgerEntry{again})
		backup.Take(now, []*wire.LedgerEntry{forget})
		So(backup.Find(now, 1, "a").State, ShouldEqual, Begun)
	})
}

// A shard leaves a server and comes back. Its dispatcher fetches the ids of the
// time in between, but dies first. The backup still has its word from before;
// taken for complete, it would let a booking of the time in between run again.
func TestCoverageIsOfOneStay(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("A copy of an earlier stay is not complete", t, func() {
		s := NewShelf(time.Minute)
		s.Take(now, &wire.Copy{Server: "s", Token: 4, Whole: true, Covered: []*wire.Shard{{Shard: 1, Epoch: 7}}})
		_, covered := s.Ledger(now, "s", 4, []*wire.Shard{{Shard: 1, Epoch: 9}})
		So(covered, ShouldBeEmpty)
		_, covered = s.Ledger(now, "s", 4, []*wire.Shard{{Shard: 1, Epoch: 7}})
		So(covered, ShouldResemble, []uint32{1})
	})
}

package sent

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

func TestHash(t *testing.T) {
	Convey("Only copies of one request have the same hash", t, func() {
		So(Hash("s", 7, "a"), ShouldEqual, Hash("s", 7, "a"))
		for _, other := range []uint64{Hash("t", 7, "a"), Hash("s", 8, "a"), Hash("s", 7, "b")} {
			So(other, ShouldNotEqual, Hash("s", 7, "a"))
		}
	})
}

func TestRecord(t *testing.T) {
	Convey("The earliest time counts, whoever sent the request", t, func() {
		h := New(time.Minute)
		_, repeated := h.Record(t0, 7)
		So(repeated, ShouldBeFalse)
		firstSentAt, repeated := h.Record(t0.Add(time.Second), 7)
		So(repeated, ShouldBeTrue)
		So(firstSentAt, ShouldEqual, t0)
		So(h.RecordAt(t0.Add(time.Second), 7, t0.Add(time.Second)), ShouldBeFalse)
		So(h.RecordAt(t0.Add(time.Second), 7, t0.Add(-time.Second)), ShouldBeTrue)
		firstSentAt, _ = h.Record(t0.Add(2*time.Second), 7)
		So(firstSentAt, ShouldEqual, t0.Add(-time.Second))
	})
	Convey("A request that certainly did not run does not count as sent", t, func() {
		h := New(time.Minute)
		h.Record(t0, 7)
		So(h.Has(7), ShouldBeTrue)
		h.Forget(7)
		So(h.Has(7), ShouldBeFalse)
		_, repeated := h.Record(t0.Add(time.Second), 7)
		So(repeated, ShouldBeFalse)
	})
}

// Guards against IDs that are dropped while their callers may still send them again, and against
// IDs that are never dropped.
func TestIDsAreKeptForATime(t *testing.T) {
	Convey("IDs are kept for at least the retention time and at most twice that time", t, func() {
		h := New(time.Minute)
		h.Record(t0, 1)
		h.Record(t0.Add(50*time.Second), 7)
		_, repeated := h.Record(t0.Add(109*time.Second), 7)
		So(repeated, ShouldBeTrue)
		h.Record(t0.Add(2*time.Minute), 8)
		h.Record(t0.Add(3*time.Minute), 9)
		So(h.Count(), ShouldEqual, 2)
		_, repeated = h.Record(t0.Add(3*time.Minute), 7)
		So(repeated, ShouldBeFalse)
	})
}

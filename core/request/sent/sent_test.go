package sent

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

func TestHash(t *testing.T) {
	Convey("Only copies of one request have the same", t, func() {
		So(Hash("s", 7, "a"), ShouldEqual, Hash("s", 7, "a"))
		for _, other := range []uint64{Hash("t", 7, "a"), Hash("s", 8, "a"), Hash("s", 7, "b")} {
			So(other, ShouldNotEqual, Hash("s", 7, "a"))
		}
	})
}

func TestNote(t *testing.T) {
	Convey("The first time counts, whoever sent it", t, func() {
		m := New(time.Minute)
		_, again := m.Note(t0, 7)
		So(again, ShouldBeFalse)
		first, again := m.Note(t0.Add(time.Second), 7)
		So(again, ShouldBeTrue)
		So(first, ShouldEqual, t0)
		So(m.Learn(t0.Add(time.Second), 7, t0.Add(time.Second)), ShouldBeFalse)
		So(m.Learn(t0.Add(time.Second), 7, t0.Add(-time.Second)), ShouldBeTrue)
		first, _ = m.Note(t0.Add(2*time.Second), 7)
		So(first, ShouldEqual, t0.Add(-time.Second))
	})
	Convey("One that surely did not run was not sent", t, func() {
		m := New(time.Minute)
		m.Note(t0, 7)
		So(m.Has(7), ShouldBeTrue)
		m.Forget(7)
		So(m.Has(7), ShouldBeFalse)
		_, again := m.Note(t0.Add(time.Second), 7)
		So(again, ShouldBeFalse)
	})
}

// Guards against ids that are forgotten while their callers may send them again, and against those that never are.
func TestIDsAreKeptForATime(t *testing.T) {
	Convey("At least for the time, at most for twice that", t, func() {
		m := New(time.Minute)
		m.Note(t0, 1)
		m.Note(t0.Add(50*time.Second), 7)
		_, again := m.Note(t0.Add(109*time.Second), 7)
		So(again, ShouldBeTrue)
		m.Note(t0.Add(2*time.Minute), 8)
		m.Note(t0.Add(3*time.Minute), 9)
		So(m.Count(), ShouldEqual, 2)
		_, again = m.Note(t0.Add(3*time.Minute), 7)
		So(again, ShouldBeFalse)
	})
}

package server

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

var t0 = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

// Guards against a holder that runs a booking a second time, or refuses one that never ran.
func TestBookings(t *testing.T) {
	Convey("An id is begun once, and answered from then on", t, func() {
		b := newBookings()
		first, isNew := b.begin(t0, bookingID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
		again, isNew := b.begin(after(time.Second), bookingID{7, "a"}, "/x")
		So(isNew, ShouldBeFalse)
		So(again, ShouldEqual, first)
		b.end(bookingID{7, "a"}, &Answer{ID: "a"})
		<-again.done
		So(again.answer.ID, ShouldEqual, "a")
	})
	Convey("One that was refused may be begun anew", t, func() {
		b := newBookings()
		first, _ := b.begin(t0, bookingID{7, "a"}, "/x")
		b.refuse(bookingID{7, "a"})
		<-first.done
		So(first.refused, ShouldBeTrue)
		_, isNew := b.begin(t0, bookingID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
	})
	Convey("Ids are forgotten after a while, and count as unknown then", t, func() {
		b := newBookings()
		So(b.take(t0, 0, 9, grant.First, ""), ShouldBeNil)
		b.begin(t0, bookingID{7, "a"}, "/x")
		b.end(bookingID{7, "a"}, &Answer{})
		_, isNew := b.begin(after(keepIDs+time.Second), bookingID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
		So(b.knewAt(after(keepIDs+time.Second), 7, t0), ShouldBeFalse)
	})
}

// Guards against a holder that takes itself to know what ran before it.
func TestWhatAHolderKnows(t *testing.T) {
	knows := func(b *bookings, sent time.Duration) bool { return b.knewAt(after(time.Minute), 7, after(sent)) }
	Convey("All, where it is the first holder, or was handed that", t, func() {
		b, next := newBookings(), newBookings()
		So(b.take(t0, 0, 9, grant.First, ""), ShouldBeNil)
		So(knows(b, 0), ShouldBeTrue)
		b.begin(t0, bookingID{7, "a"}, "/x")
		b.end(bookingID{7, "a"}, &Answer{ID: "a"})
		b.begin(t0, bookingID{12, "elsewhere"}, "/x")
		b.end(bookingID{12, "elsewhere"}, &Answer{})
		b.begin(t0, bookingID{7, "waits"}, "/x")
		So(next.take(after(30*time.Second), 0, 9, grant.Handed, b.handText(after(30*time.Second), 0, 9)), ShouldBeNil)
		So(knows(next, 0), ShouldBeTrue)
		So(next.byID[bookingID{7, "a"}].answer.ID, ShouldEqual, "a")
		So(next.byID, ShouldHaveLength, 1)
	})
	Convey("What came since its own grant, where the last holder was lost, or this run never held the keys", t, func() {
		for _, origin := range []grant.Origin{grant.Lost, grant.Kept, grant.Handed} {
			b := newBookings()
			So(b.take(after(20*time.Second), 0, 9, origin, ""), ShouldBeNil)
			So(knows(b, 10*time.Second), ShouldBeFalse)
			So(knows(b, 30*time.Second), ShouldBeTrue)
		}
	})
	Convey("As before, where it kept the keys", t, func() {
		b := newBookings()
		So(b.take(t0, 0, 9, grant.First, ""), ShouldBeNil)
		So(b.take(after(20*time.Second), 0, 9, grant.Kept, ""), ShouldBeNil)
		So(knows(b, 10*time.Second), ShouldBeTrue)
	})
	Convey("No more than the one that handed over, for any key of the range", t, func() {
		b, next := newBookings(), newBookings()
		So(b.take(t0, 0, 5, grant.First, ""), ShouldBeNil)
		So(b.take(after(20*time.Second), 6, 9, grant.Lost, ""), ShouldBeNil)
		So(next.take(after(30*time.Second), 0, 9, grant.Handed, b.handText(after(30*time.Second), 0, 9)), ShouldBeNil)
		So(knows(next, 10*time.Second), ShouldBeFalse)
		So(knows(next, 25*time.Second), ShouldBeTrue)
	})
	Convey("A handover that cannot be read is refused", t, func() {
		So(newBookings().take(t0, 0, 9, grant.Handed, "h"), ShouldNotBeNil)
	})
}

package server

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

var t0 = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

// Guards against a server that runs a non-idempotent request twice, or refuses one that never ran.
func TestDedupTable(t *testing.T) {
	Convey("An ID is added once, and later requests get the same response", t, func() {
		b := newDedupTable()
		first, isNew := b.getOrAdd(t0, scopedID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
		again, isNew := b.getOrAdd(after(time.Second), scopedID{7, "a"}, "/x")
		So(isNew, ShouldBeFalse)
		So(again, ShouldEqual, first)
		b.complete(scopedID{7, "a"}, &Response{ID: "a"})
		<-again.completed
		So(again.response.ID, ShouldEqual, "a")
	})
	Convey("A refused request can be sent again", t, func() {
		b := newDedupTable()
		first, _ := b.getOrAdd(t0, scopedID{7, "a"}, "/x")
		b.remove(scopedID{7, "a"})
		<-first.completed
		So(first.refused, ShouldBeTrue)
		_, isNew := b.getOrAdd(t0, scopedID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
	})
	Convey("An ID is deleted after the retention time, and the table no longer covers it", t, func() {
		b := newDedupTable()
		So(b.applyGrant(t0, 0, 9, grant.First, ""), ShouldBeNil)
		b.getOrAdd(t0, scopedID{7, "a"}, "/x")
		b.complete(scopedID{7, "a"}, &Response{})
		_, isNew := b.getOrAdd(after(dedupRetention+time.Second), scopedID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
		So(b.covers(after(dedupRetention+time.Second), 7, t0), ShouldBeFalse)
	})
}

// Guards against a server that wrongly believes that it knows all requests of earlier holders:
// it would run one of them again.
func TestDedupTableCoverage(t *testing.T) {
	coversAfter := func(b *dedupTable, sentAfter time.Duration) bool {
		return b.covers(after(time.Minute), 7, after(sentAfter))
	}
	Convey("The first holder covers all requests, and so does a server that it hands over to", t, func() {
		b, next := newDedupTable(), newDedupTable()
		So(b.applyGrant(t0, 0, 9, grant.First, ""), ShouldBeNil)
		So(coversAfter(b, 0), ShouldBeTrue)
		b.getOrAdd(t0, scopedID{7, "a"}, "/x")
		b.complete(scopedID{7, "a"}, &Response{ID: "a"})
		b.getOrAdd(t0, scopedID{12, "elsewhere"}, "/x")
		b.complete(scopedID{12, "elsewhere"}, &Response{})
		b.getOrAdd(t0, scopedID{7, "waits"}, "/x")
		So(next.applyGrant(after(30*time.Second), 0, 9, grant.Handed, b.exportJSON(after(30*time.Second), 0, 9)), ShouldBeNil)
		So(coversAfter(next, 0), ShouldBeTrue)
		So(next.entries[scopedID{7, "a"}].response.ID, ShouldEqual, "a")
		So(next.entries, ShouldHaveLength, 1)
	})
	Convey("Only requests since the grant are covered if the last holder was lost or this process never held the keys", t, func() {
		for _, origin := range []grant.Origin{grant.Lost, grant.Kept, grant.Handed} {
			b := newDedupTable()
			So(b.applyGrant(after(20*time.Second), 0, 9, origin, ""), ShouldBeNil)
			So(coversAfter(b, 10*time.Second), ShouldBeFalse)
			So(coversAfter(b, 30*time.Second), ShouldBeTrue)
		}
	})
	Convey("Coverage does not change if the server kept the keys", t, func() {
		b := newDedupTable()
		So(b.applyGrant(t0, 0, 9, grant.First, ""), ShouldBeNil)
		So(b.applyGrant(after(20*time.Second), 0, 9, grant.Kept, ""), ShouldBeNil)
		So(coversAfter(b, 10*time.Second), ShouldBeTrue)
	})
	Convey("After a handover, the whole range is covered only as far back as its least covered key", t, func() {
		b, next := newDedupTable(), newDedupTable()
		So(b.applyGrant(t0, 0, 5, grant.First, ""), ShouldBeNil)
		So(b.applyGrant(after(20*time.Second), 6, 9, grant.Lost, ""), ShouldBeNil)
		So(next.applyGrant(after(30*time.Second), 0, 9, grant.Handed, b.exportJSON(after(30*time.Second), 0, 9)), ShouldBeNil)
		So(coversAfter(next, 10*time.Second), ShouldBeFalse)
		So(coversAfter(next, 25*time.Second), ShouldBeTrue)
	})
	Convey("A malformed handover is rejected", t, func() {
		So(newDedupTable().applyGrant(t0, 0, 9, grant.Handed, "h"), ShouldNotBeNil)
	})
}

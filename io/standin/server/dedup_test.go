package server

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

var t0 = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

// Guards against a server that runs a non-idempotent request twice, or that does not run a
// declined request when it is sent again.
func TestDedupTable(t *testing.T) {
	Convey("An ID is added once, and later requests get the same response", t, func() {
		table := newDedupTable()
		first, isNew := table.getOrAdd(t0, scopedID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
		again, isNew := table.getOrAdd(after(time.Second), scopedID{7, "a"}, "/x")
		So(isNew, ShouldBeFalse)
		So(again, ShouldEqual, first)
		table.complete(scopedID{7, "a"}, &Response{ID: "a"})
		<-again.completed
		So(again.response.ID, ShouldEqual, "a")
	})
	Convey("A declined request can be sent again", t, func() {
		table := newDedupTable()
		first, _ := table.getOrAdd(t0, scopedID{7, "a"}, "/x")
		table.remove(scopedID{7, "a"})
		<-first.completed
		So(first.declined, ShouldBeTrue)
		_, isNew := table.getOrAdd(t0, scopedID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
	})
	Convey("An ID is deleted after the retention time, and the table no longer covers it", t, func() {
		table := newDedupTable()
		So(table.applyGrant(t0, 0, 9, grant.First, ""), ShouldBeNil)
		table.getOrAdd(t0, scopedID{7, "a"}, "/x")
		table.complete(scopedID{7, "a"}, &Response{})
		_, isNew := table.getOrAdd(after(dedupRetention+time.Second), scopedID{7, "a"}, "/x")
		So(isNew, ShouldBeTrue)
		So(table.covers(after(dedupRetention+time.Second), 7, t0), ShouldBeFalse)
	})
}

// Guards against a server that assumes that it knows every request which an earlier holder ran,
// but does not: it would run such a request a second time.
func TestDedupTableCoverage(t *testing.T) {
	coversRequestSentAfter := func(table *dedupTable, sentAfter time.Duration) bool {
		return table.covers(after(time.Minute), 7, after(sentAfter))
	}
	Convey("The first holder covers all requests, and so does the server to which it hands the keys over", t, func() {
		table, next := newDedupTable(), newDedupTable()
		So(table.applyGrant(t0, 0, 9, grant.First, ""), ShouldBeNil)
		So(coversRequestSentAfter(table, 0), ShouldBeTrue)
		table.getOrAdd(t0, scopedID{7, "a"}, "/x")
		table.complete(scopedID{7, "a"}, &Response{ID: "a"})
		table.getOrAdd(t0, scopedID{12, "elsewhere"}, "/x")
		table.complete(scopedID{12, "elsewhere"}, &Response{})
		table.getOrAdd(t0, scopedID{7, "waits"}, "/x")
		So(next.applyGrant(after(30*time.Second), 0, 9, grant.Handed, table.exportJSON(after(30*time.Second), 0, 9)), ShouldBeNil)
		So(coversRequestSentAfter(next, 0), ShouldBeTrue)
		So(next.entries[scopedID{7, "a"}].response.ID, ShouldEqual, "a")
		So(next.entries, ShouldHaveLength, 1)
	})
	Convey("Only requests since the grant are covered if the last holder was lost or this instance never held the keys", t, func() {
		for _, origin := range []grant.Origin{grant.Lost, grant.Kept, grant.Handed} {
			table := newDedupTable()
			So(table.applyGrant(after(20*time.Second), 0, 9, origin, ""), ShouldBeNil)
			So(coversRequestSentAfter(table, 10*time.Second), ShouldBeFalse)
			So(coversRequestSentAfter(table, 30*time.Second), ShouldBeTrue)
		}
	})
	Convey("Coverage does not change if the server kept the keys", t, func() {
		table := newDedupTable()
		So(table.applyGrant(t0, 0, 9, grant.First, ""), ShouldBeNil)
		So(table.applyGrant(after(20*time.Second), 0, 9, grant.Kept, ""), ShouldBeNil)
		So(coversRequestSentAfter(table, 10*time.Second), ShouldBeTrue)
	})
	Convey("After a handover, the whole range is covered only as far back as its least covered key", t, func() {
		table, next := newDedupTable(), newDedupTable()
		So(table.applyGrant(t0, 0, 5, grant.First, ""), ShouldBeNil)
		So(table.applyGrant(after(20*time.Second), 6, 9, grant.Lost, ""), ShouldBeNil)
		So(next.applyGrant(after(30*time.Second), 0, 9, grant.Handed, table.exportJSON(after(30*time.Second), 0, 9)), ShouldBeNil)
		So(coversRequestSentAfter(next, 10*time.Second), ShouldBeFalse)
		So(coversRequestSentAfter(next, 25*time.Second), ShouldBeTrue)
	})
	Convey("A malformed handover is rejected", t, func() {
		So(newDedupTable().applyGrant(t0, 0, 9, grant.Handed, "h"), ShouldNotBeNil)
	})
}

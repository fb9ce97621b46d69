package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/object"
)

// Guards against requests that go on to a server that has left, and a data centre that stays out of service: the
// first list, which the store may answer late with old data, added the objects again.
func TestLateFirstList(t *testing.T) {
	Convey("Objects that were removed before the known revision stay removed, whatever the kind", t, func() {
		r := newTestRouter()
		for _, kind := range []object.Kind{object.Servers, object.Exclusions, object.Daemons} {
			present := serverItem("present", 5)
			r.control.update(t0, deltaMsg{delta: object.Delta{Kind: kind, Whole: true, Through: 20, CurrentAt: t0, Items: []object.Item{present}}})
			r.control.update(t0, deltaMsg{fromStore: true, delta: object.Delta{Kind: kind, Whole: true, Through: 10, CurrentAt: t0.Add(1), Items: []object.Item{present, serverItem("left", 6)}}})
			r.control.update(t0, deltaMsg{delta: object.Delta{Kind: kind, Through: 12, Items: []object.Item{serverItem("late", 11)}}})
			So(r.control.caches[kind].List(), ShouldHaveLength, 1)
			So(r.control.knownRevision(kind), ShouldEqual, 20)
		}
		So(r.current.Load().fleet.All(), ShouldHaveLength, 1)
		So(r.current.Load().excludedDataCentres, ShouldHaveLength, 1)
	})
}

// Guards against a removal that gets lost on its way through a daemon that did not follow the changes in which the
// object was added and removed.
func TestFetchNamesGaps(t *testing.T) {
	Convey("The reply to a fetch names the gap, and a daemon whose revision lies in it is sent a full list", t, func() {
		r := newTestRouter()
		r.control.update(t0, deltaMsg{fromStore: true, delta: object.Delta{Kind: object.Servers, Whole: true, Through: 10, CurrentAt: t0, Items: []object.Item{serverItem("a", 5)}}})
		r.control.update(t0, deltaMsg{fromStore: true, delta: object.Delta{Kind: object.Servers, Whole: true, Through: 20, CurrentAt: t0, Items: []object.Item{serverItem("a", 5)}}})
		d := r.control.answerFetch(t0, &wire.Fetch{Kind: string(object.Servers), Since: 10})
		So(d.Whole, ShouldBeFalse)
		So(d.Gaps, ShouldHaveLength, 1)
		So(d.Gaps[0].From, ShouldEqual, 10)
		So(d.Gaps[0].To, ShouldEqual, 20)
		So(r.control.answerFetch(t0, &wire.Fetch{Kind: string(object.Servers), Since: 15}).Whole, ShouldBeTrue)
	})
}

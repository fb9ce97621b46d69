package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/admit"
)

// none lets nothing of a key's requests through.
func none(epoch, seq uint64) limits {
	return limits{epoch: epoch, seq: seq, at: atSecond(100), each: []admit.Limit{{Service: "s", Bucket: 0}}}
}

// Guards against older limits, which daemons pass on in any order, replacing newer ones.
func TestOlderLimitsChangeNothing(t *testing.T) {
	Convey("The newest limits stay in force", t, func() {
		r := newTestRouter()
		r.control.setLimits(atSecond(100), limits{epoch: 2, seq: 5, at: atSecond(100)}, false)
		for _, old := range []limits{none(2, 4), none(2, 5), none(1, 9)} {
			r.control.setLimits(atSecond(100), old, false)
			_, ok := r.admitted(lookup(time.Second), time.Now())
			So(ok, ShouldBeTrue)
		}
		r.control.setLimits(atSecond(100), none(2, 6), false)
		_, ok := r.admitted(lookup(time.Second), time.Now())
		So(ok, ShouldBeFalse)
	})
}

// Guards against a request that was let in and is refused by the draw when it is sent again.
func TestAdmittedOnce(t *testing.T) {
	Convey("A request that was let in stays so", t, func() {
		r := newTestRouter()
		o := lookup(time.Second)
		_, ok := r.admitted(o, time.Now())
		So(ok, ShouldBeTrue)
		r.control.setLimits(atSecond(100), none(1, 1), false)
		_, ok = r.admitted(o, time.Now())
		So(ok, ShouldBeTrue)
	})
}

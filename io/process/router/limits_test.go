package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/admit"
	"catkinstep/core/request/class"
)

// limitsThatRefuseAll returns limits that refuse all requests for a bucket.
func limitsThatRefuseAll(epoch, seq uint64) holderLimits {
	return holderLimits{epoch: epoch, seq: seq, issuedAt: atSecond(100), bucketLimits: []admit.Limit{{Service: "s", Bucket: 0}}}
}

// Guards against older limits that replace newer ones: daemons forward limits in any order.
func TestOlderLimitsAreIgnored(t *testing.T) {
	Convey("The newest limits stay in force", t, func() {
		r := newTestRouter()
		r.control.applyLimits(atSecond(100), holderLimits{epoch: 2, seq: 5, issuedAt: atSecond(100)}, false)
		for _, old := range []holderLimits{limitsThatRefuseAll(2, 4), limitsThatRefuseAll(2, 5), limitsThatRefuseAll(1, 9)} {
			r.control.applyLimits(atSecond(100), old, false)
			_, ok := r.admit(lookupRequest(time.Second), time.Now())
			So(ok, ShouldBeTrue)
		}
		r.control.applyLimits(atSecond(100), limitsThatRefuseAll(2, 6), false)
		_, ok := r.admit(lookupRequest(time.Second), time.Now())
		So(ok, ShouldBeFalse)
	})
}

// Guards against an admitted request that is refused at random when it is sent again.
func TestAdmittedRequestStaysAdmitted(t *testing.T) {
	Convey("A request that was admitted stays admitted", t, func() {
		r := newTestRouter()
		req := lookupRequest(time.Second)
		_, ok := r.admit(req, time.Now())
		So(ok, ShouldBeTrue)
		r.control.applyLimits(atSecond(100), limitsThatRefuseAll(1, 1), false)
		_, ok = r.admit(req, time.Now())
		So(ok, ShouldBeTrue)
	})
}

// Guards against limits that refuse urgent requests as often as others, although the daemon has
// counted both.
func TestLimitsRefuseLessUrgentRequests(t *testing.T) {
	Convey("Of the requests that have arrived, those of rank 0 go first, and refusals are counted by rank", t, func() {
		r, admitted := newTestRouter(), [class.MaxRank + 1]int{}
		r.control.applyLimits(r.now(), holderLimits{epoch: 1, seq: 1, issuedAt: r.now(), bucketLimits: []admit.Limit{{Service: "s", Bucket: 0, Fraction: 0.6}}}, false)
		for i := range 600 {
			req := lookupRequest(time.Second)
			req.requirements.Rank = 2 * (i % 2)
			r.recordArrival(req)
			if _, ok := r.admit(req, time.Now()); ok {
				admitted[req.requirements.Rank]++
			}
		}
		So(admitted[0], ShouldBeGreaterThan, 280)
		So(admitted[2], ShouldBeBetween, 30, 110)
		So(r.metrics.value("limits.refused.rank2"), ShouldEqual, 300-admitted[2])
		So(r.metrics.value("limits.refused.rank0"), ShouldEqual, 300-admitted[0])
	})
	Convey("Requests without a key are not counted", t, func() {
		r, req := newTestRouter(), lookupRequest(time.Second)
		req.key = -1
		r.recordArrival(req)
		_, ok := r.admit(lookupRequest(time.Second), time.Now())
		So(ok, ShouldBeTrue)
	})
}

package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/admit"
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

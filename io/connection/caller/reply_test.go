package caller

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/proof"
)

type plainFormat struct{}

func (plainFormat) RefusalReply(Refusal) (http.Header, []byte) { return http.Header{}, nil }

// Guards against a reply that promises that a request has not run, made in some place that has no proof.
func TestOnlyProofMakesAPromise(t *testing.T) {
	Convey("For every status", t, func() {
		for status := range 1000 {
			passedOn, ok := NewResponse(status, http.Header{}, nil)
			So(ok, ShouldEqual, status >= 200 && status < 600 && !proof.Promises(status))
			So(passedOn.Status(), ShouldEqual, map[bool]int{true: status}[ok])
			unproved := NewRefusal(plainFormat{}, Refusal{Status: status, RetryAfter: time.Second})
			So(proof.Promises(unproved.Status()), ShouldBeFalse)
			So(unproved.Refusal().MaybeRan(), ShouldBeTrue)
			proved := NewRefusal(plainFormat{}, Refusal{Status: status, NotRun: proof.History{}.NotRun()})
			So(proved.Status(), ShouldEqual, status)
			So(proved.Refusal().MaybeRan(), ShouldBeFalse)
		}
	})
	Convey("A refusal without proof has no time to come back", t, func() {
		So(NewRefusal(plainFormat{}, Refusal{Status: 503, RetryAfter: time.Second}).Refusal().RetryAfter, ShouldEqual, 0)
	})
}

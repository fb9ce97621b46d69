package native_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/proof"
	"catkinstep/io/connection/caller"
	"catkinstep/io/process/native"
)

// Guards against "notRun" in a reply to a request that may have run, at this try or an earlier one.
func TestOutcomeNeedsProof(t *testing.T) {
	refused := func(refusal caller.Refusal) (int, string, string) {
		refusal.Status, refusal.RetryAfter = http.StatusServiceUnavailable, time.Second
		reply := caller.NewRefusal(native.Protocol{}, refusal)
		var body native.ErrorBody
		So(json.Unmarshal(reply.Body(), &body), ShouldBeNil)
		So(reply.Header().Get(native.HeaderOutcome), ShouldEqual, body.Outcome)
		return reply.Status(), body.Outcome, body.RetryAfter
	}
	Convey("Header and body say it only with proof", t, func() {
		notRun := proof.History{}.NotRun()
		status, outcome, retryAfter := refused(caller.Refusal{NotRun: notRun})
		So([]any{status, outcome, retryAfter}, ShouldResemble, []any{503, native.OutcomeNotRun, "1s"})
		status, outcome, retryAfter = refused(caller.Refusal{NotRun: notRun, EarlierTry: true})
		So([]any{status, outcome, retryAfter}, ShouldResemble, []any{503, native.OutcomeUnknown, "1s"})
		status, outcome, retryAfter = refused(caller.Refusal{})
		So([]any{status, outcome, retryAfter}, ShouldResemble, []any{502, native.OutcomeUnknown, ""})
	})
}

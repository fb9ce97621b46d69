package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/spread"
	"catkinstep/core/version/space"
)

// Guards against a workspace that sends most and pushes the others out of overloaded servers.
func TestHeavyWorkspaceIsDeferred(t *testing.T) {
	yard := space.Workspace{Name: "yard", KeyHashes: []space.KeyHash{space.HashKey("k2")}}
	resolve := func(r *Router, key string) *request {
		req, rejection := r.resolve(r.current.Load(), callerRequest("/x", keyHeader(key)), "id", nil)
		So(rejection, ShouldBeNil)
		r.recordDemand(req)
		return req
	}
	Convey("Its requests wait less than those of others once many are refused", t, func() {
		r, start := newTestRouter(), time.Now().Add(-time.Second) // requests use the host's clock
		r.applyWorkspaces(1, t0, millWorkspace, yard)
		for range 50 {
			r.fairness.Record(start, "mill", 1)
			r.recordBusyRefusal(string(spread.AllBusy))
		}
		r.fairness.Record(start, "yard", 1)
		heavy, other := resolve(r, "k1"), resolve(r, "k2")
		heavy.requirements.Priority = other.requirements.Priority
		So(heavy.requirements.Deferred, ShouldBeTrue)
		So(other.requirements.Deferred, ShouldBeFalse)
		So(r.balancer.LatencyBudget(heavy.requirements), ShouldBeLessThan, r.balancer.LatencyBudget(other.requirements))
	})
	Convey("Refusals for other reasons than busy servers do not count", t, func() {
		r := newTestRouter()
		for range 50 {
			r.fairness.Record(t0, "mill", 1)
			r.recordBusyRefusal(string(reasonKeyMoving))
		}
		r.fairness.Record(t0.Add(time.Second), "yard", 1)
		So(r.fairness.Heavy(), ShouldBeEmpty)
	})
}

package router

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/class"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/object"
	"catkinstep/core/version/space"
)

// newRankedRouter returns a Router with the routes /first, /second and /third to one service, and
// /other to a service of its own.
func newRankedRouter() *Router {
	r := newTestRouter()
	r.configure(rankedConfig(1))
	r.tickUntilBooted()
	for range 1000 {
		for _, priority := range []int{0, 2, 4} {
			r.ranked.demand.Add(r.now(), "s", priority)
		}
	}
	return r
}

func rankedConfig(version uint64) config.Config {
	c := config.Config{Version: version, Services: []config.Service{{Name: "s"}, {Name: "o"}}}
	for i, name := range []string{"first", "second", "third", "other"} {
		service := "s"
		if name == "other" {
			service = "o"
		}
		c.Routes = append(c.Routes, config.Route{Name: name, Host: "h", Prefix: "/" + name, Priority: 2 * i, Destinations: []config.Destination{{Service: service, Weight: 1}}, Timeout: time.Second, LatencyTarget: time.Second})
	}
	return c
}

func (r *Router) configure(c config.Config) {
	v, _ := json.Marshal(c)
	r.control.update(t0, deltaMsg{delta: object.Delta{Kind: object.Config, Through: c.Version, CurrentAt: t0, Items: []object.Item{{Name: "main", Revision: c.Version, Value: v}}}})
}

// promotionDraws is how many requests are drawn for a share. Its standard deviation is then a seventh of the bounds or less.
const promotionDraws = 8_000

// Guards against less urgent requests that are starved, and against services with one priority whose
// requests are drawn.
func TestPromotion(t *testing.T) {
	promoted := func(r *Router, path string) (share float64) {
		n := 0
		for range promotionDraws {
			req, rejection := r.resolve(r.current.Load(), callerRequest(path, http.Header{}), "id", nil)
			So(rejection, ShouldBeNil)
			if req.requirements.Promoted {
				n++
				So(req.requirements.EffectiveRank(), ShouldEqual, 0)
			}
		}
		return float64(n) / promotionDraws
	}
	Convey("A share of the less urgent requests counts as of rank 0, whatever their ID", t, func() {
		r := newRankedRouter()
		So(promoted(r, "/second"), ShouldAlmostEqual, class.MinShare, 0.04)
		So(promoted(r, "/third"), ShouldAlmostEqual, class.MinShare, 0.04)
		So(float64(r.metrics.value(promotedRequests))/promotionDraws, ShouldBeBetween, 0.52, 0.68) // of both
	})
	Convey("The share falls while more of them are refused than of rank 0", t, func() {
		r := newRankedRouter()
		So(promoted(r, "/third"), ShouldBeGreaterThan, 0.25)
		for range 300 {
			for rank, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable} {
				req, _ := r.resolve(r.current.Load(), callerRequest("/third", http.Header{}), "id", nil)
				req.requirements.Rank, req.requirements.Promoted = rank, false
				r.recordServiceLevel(req, replyWith(status))
			}
		}
		So(promoted(r, "/third"), ShouldAlmostEqual, 0.1, 0.03)
	})
	Convey("Late and failed replies count as not served", t, func() {
		for _, late := range []bool{true, false} {
			r := newRankedRouter()
			for range 300 {
				for rank := range 3 {
					req, _ := r.resolve(r.current.Load(), callerRequest("/third", http.Header{}), "id", nil)
					req.requirements.Rank, req.requirements.Promoted = rank, false
					req.ReadAt = time.Now()
					reply := replyWith(http.StatusOK)
					switch {
					case rank > 0 && late:
						req.ReadAt = req.ReadAt.Add(-2 * req.route.LatencyTarget)
					case rank > 0:
						reply = replyWith(http.StatusGatewayTimeout)
					}
					r.recordServiceLevel(req, reply)
				}
			}
			So(promoted(r, "/third"), ShouldAlmostEqual, 0.1, 0.03)
		}
	})
	Convey("No request of rank 0 is drawn", t, func() {
		r := newRankedRouter()
		So(promoted(r, "/first"), ShouldEqual, 0)
		So(promoted(r, "/other"), ShouldEqual, 0)
	})
}

// Guards against requests that are never drawn, since they have rank 0 when they arrive.
func TestPromotionOfWaitingRequest(t *testing.T) {
	Convey("A request whose workspace becomes less urgent while it waits is drawn then, and once", t, func() {
		r, keyed := newRankedRouter(), rankedConfig(2)
		keyed.KeysRequired, keyed.Workspaces = true, []space.Workspace{{Name: "w", KeyHashes: []space.KeyHash{space.HashKey("k1")}}}
		r.configure(keyed)
		before := r.current.Load()
		keyed.Version, keyed.Workspaces = 3, []space.Workspace{{Name: "w", KeyHashes: keyed.Workspaces[0].KeyHashes, OwnPriority: true, Priority: 2}}
		r.configure(keyed)
		after, n := r.current.Load(), 0
		for range promotionDraws {
			req, rejection := r.resolve(before, callerRequest("/first", keyHeader("k1")), "id", nil)
			So(rejection, ShouldBeNil)
			So(req.requirements.EffectiveRank(), ShouldEqual, 0)
			for range 3 {
				req.identity.knownIn = 0 // as for an attempt after each of several changes
				So(r.updateWorkspace(after, req), ShouldBeNil)
			}
			So(req.requirements.Rank, ShouldEqual, 1)
			if req.requirements.Promoted {
				n++
			}
		}
		So(float64(n)/promotionDraws, ShouldAlmostEqual, class.MinShare, 0.04)
	})
}

// Guards against maps that grow with each service that a configuration ever had.
func TestServicesArePruned(t *testing.T) {
	Convey("The state of a service that leaves the configuration is removed", t, func() {
		r, now := newRankedRouter(), time.Now()
		budget := func(service string, rank int) time.Duration {
			return r.balancer.LatencyBudget(spread.Requirements{Service: config.Service{Name: service}, Rank: rank, LatencyTarget: 2 * time.Second})
		}
		unbounded := budget("s", 1)
		for _, service := range []string{"s", "o"} {
			r.ranked.promoters[service] = &class.Promoter{}
			r.balancer.Evaluate(now, spread.Requirements{Service: config.Service{Name: service}, LatencyTarget: time.Second}, fleet.Server{ID: service})
			So(budget(service, 1), ShouldBeLessThan, unbounded)
		}
		c := rankedConfig(2)
		c.Services, c.Routes = c.Services[:1], c.Routes[:3]
		r.configure(c)
		So(r.ranked.promoters, ShouldHaveLength, 1)
		So(r.ranked.promoters["s"], ShouldNotBeNil)
		So(budget("s", 1), ShouldBeLessThan, unbounded)
		So(budget("o", 1), ShouldEqual, unbounded)
	})
}

// Guards against refusals that do not show which requests are refused.
func TestRefusedByRank(t *testing.T) {
	Convey("Refusals are counted by rank", t, func() {
		r := newRankedRouter()
		for _, path := range []string{"/first", "/third", "/third", "/other"} {
			So(r.handle(context.Background(), callerRequest(path, http.Header{})).Status(), ShouldEqual, http.StatusServiceUnavailable)
		}
		So(r.metrics.value(refusedByRank+"0"), ShouldEqual, 2)
		So(r.metrics.value(refusedByRank+"2"), ShouldEqual, 2)
	})
}

// Guards against less urgent requests that use up the retries of more urgent ones.
func TestRetriesByRank(t *testing.T) {
	Convey("A less urgent request gets no retry once a part of the burst is used, but a more urgent one does", t, func() {
		r := newRankedRouter()
		r.budgetOf("s").SetBurst(4)
		service := config.Service{Name: "s"}
		third := &request{service: service}
		third.requirements.Rank = 2
		for range 200 {
			r.budgetOf("s").Deposit()
		}
		So(r.tryWithdrawRetry(third), ShouldBeTrue)
		So(r.tryWithdrawRetry(third), ShouldBeTrue)
		So(r.tryWithdrawRetry(third), ShouldBeFalse)
		So(r.tryWithdrawRetry(&request{service: service}), ShouldBeTrue)
	})
}

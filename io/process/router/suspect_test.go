package router

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/reach"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/object"
)

// Guards against requests that all hosts refuse since one host has lost its links: each of its broken
// connections looks like a server that the request has crashed.
func TestLossesOfCutOffHost(t *testing.T) {
	withLosses := func() (*Router, *request) {
		r, req := newTestRouter(), lookupRequest(time.Second)
		r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6), serverItem("c", 7))
		for _, s := range []string{"a", "b", "c"} {
			r.recordLoss(req, s)
		}
		return r, req
	}
	cutOff := func(r *Router) {
		r.control.updateReach(t0, reach.DialFailedMsg{Address: "a"})
		r.control.updateReach(t0, reach.ProbedMsg{Failed: []string{"a", "b", "c"}})
	}
	Convey("The losses are withdrawn, and no other daemon hears of them", t, func() {
		r, req := withLosses()
		So(r.checkCrashSuspect(req), ShouldBeTrue)
		So(r.recentSuspects(), ShouldBeEmpty)
		cutOff(r)
		So(r.checkCrashSuspect(req), ShouldBeFalse)
		r.recordLoss(req, "a") // a connection that breaks while the host is cut off
		r.confirmLosses(time.Now().Add(time.Minute), time.Now())
		So(r.recentSuspects(), ShouldBeEmpty)
		So(req.attempts.lostServers, ShouldBeEmpty)
	})
	Convey("A loss that waits for the lock when the host finds out that it is cut off is not recorded", t, func() {
		r, req := newTestRouter(), lookupRequest(time.Second)
		done := make(chan struct{})
		r.mu.Lock()
		go func() {
			r.recordLoss(req, "a")
			close(done)
		}()
		time.Sleep(50 * time.Millisecond) // until it waits
		r.cutOff.Store(true)
		r.mu.Unlock()
		<-done
		So(r.unconfirmedLosses, ShouldBeEmpty)
	})
	Convey("Losses whose servers turn out to have ended count again", t, func() {
		r, req := withLosses()
		cutOff(r)
		r.control.updateReach(t0, reach.ProbedMsg{AnyOK: true})
		r.control.confirmLosses(t0)
		So(r.checkCrashSuspect(req), ShouldBeFalse)
		v, _ := json.Marshal(fleet.Server{ID: "a", Address: "a", Service: "s", DataCentre: "x", Slots: 3, StartMillis: 2})
		r.updateServers(atSecond(2), 20, object.Item{Name: "a", Revision: 11, Value: v}, object.Item{Name: "b", Revision: 12, Removed: true}, object.Item{Name: "c", Revision: 13, Removed: true})
		r.control.confirmLosses(t0)
		So(r.checkCrashSuspect(req), ShouldBeTrue)
	})
	Convey("Without a cut, other daemons hear of them after a second", t, func() {
		r, _ := withLosses()
		refused, inDoubt := r.confirmLosses(time.Now(), time.Now())
		So(refused || inDoubt, ShouldBeFalse)
		later := time.Now().Add(lossConfirmTime)
		refused, inDoubt = r.confirmLosses(later, time.Time{}) // no server has been reached since
		So(refused, ShouldBeFalse)
		So(inDoubt, ShouldBeTrue)
		refused, inDoubt = r.confirmLosses(later, later)
		So(refused, ShouldBeTrue)
		So(inDoubt, ShouldBeFalse)
	})
}

// Guards against servers that other daemons take for crashed although they respond to this one.
func TestLossesOfOtherDaemons(t *testing.T) {
	Convey("Of another daemon's losses, those of servers count that have not responded since", t, func() {
		r, req := newTestRouter(), lookupRequest(time.Second)
		r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6), serverItem("c", 7))
		r.answer("c", time.Now())
		suspects := []*wire.Suspect{{Fingerprint: req.fingerprint, Servers: []string{"a", "b", "c"}, AgoMillis: 1000}}
		So(r.mergeSuspects(suspects), ShouldBeFalse)
		So(r.checkCrashSuspect(req), ShouldBeFalse)
		So(req.attempts.lostServers, ShouldResemble, []string{"a", "b"})
	})
	Convey("A request that has crashed three servers is refused by all", t, func() {
		r, req := newTestRouter(), lookupRequest(time.Second)
		r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6), serverItem("c", 7))
		r.answer("c", time.Now().Add(-2*time.Second))
		suspects := []*wire.Suspect{{Fingerprint: req.fingerprint, Servers: []string{"a", "b", "c"}, AgoMillis: 1000}}
		So(r.mergeSuspects(suspects), ShouldBeTrue)
		So(r.checkCrashSuspect(req), ShouldBeTrue)
		So(r.recentSuspects()[0].AgoMillis, ShouldBeBetweenOrEqual, 1000, 1500)
	})
}

// answer records a response of a server at a time.
func (r *Router) answer(id string, at time.Time) {
	server, _ := r.current.Load().fleet.Find(id)
	requirements := spread.Requirements{Route: "look", LatencyTarget: time.Second}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Begin(at, server, requirements)
	r.balancer.End(at, server, requirements, at, spread.Answered, nil)
}

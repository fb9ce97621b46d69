package router

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/process/member"
	"catkinstep/core/request/permit"
	"catkinstep/core/request/spread"
	"catkinstep/core/version/config"
	"catkinstep/io/connection/mesh"
)

// contended makes a router that issues permits for the holder of all keys.
func contended() *Router {
	r := newTestRouter()
	r.self.Address = "me"
	r.control.members.AddDiscovered(r.self)
	r.updateServers(atSecond(1), 10, serverItem("a", 5))
	r.control.applyTable(atSecond(1), onTheWay(1, false))
	r.permits.issuers.Store(&map[string][]string{"x": {"me"}})
	r.control.setLimits(r.now(), limits{epoch: 1, seq: 1, at: r.now(), contended: []string{"a"}}, false)
	return r
}

// begun plays requests up to their being sent, and counts the permitted ones.
func begun(r *Router, count int) (sent []*order, refused []spread.Choice) {
	for range count {
		o := lookup(time.Second)
		v, c := r.owner(r.current.Load(), o, time.Now())
		if !c.Refused() {
			c = r.askPermit(context.Background(), o, v, c)
		}
		if c.Refused() {
			refused = append(refused, c)
			continue
		}
		sent = append(sent, o)
	}
	return sent, refused
}

// contendedBy makes another daemon whose permits the first one issues.
func contendedBy(issuer *Router) *Router {
	r := contended()
	r.permits.issuer = issuer.permits.issuer
	return r
}

func begunOne(r *Router) bool {
	sent, _ := begun(r, 1)
	return len(sent) == 1
}

// Guards against holders that are filled by daemons which know nothing of each other's requests.
func TestContendedHolder(t *testing.T) {
	Convey("Who could not be answered in time is refused at once, and may come back", t, func() {
		r := contended()
		sent, refused := begun(r, 2)
		So(refused, ShouldBeEmpty)
		So(sent[0].permit.issuer, ShouldEqual, "me")
		_, refused = begun(contendedBy(r), 12)
		So(refused, ShouldNotBeEmpty)
		So(refused[0].Reason, ShouldEqual, contendedNow)
		So(refused[0].RetryAfter, ShouldBeGreaterThan, 0)
		Convey("and let in once those before have ended", func() {
			for _, o := range sent {
				r.endPermit(o)
			}
			So(begunOne(contendedBy(r)), ShouldBeTrue)
		})
	})
}

// Guards against permits that are never given back, which close a server for as long as its callers wait.
func TestAttemptsGiveTheirPermitsBack(t *testing.T) {
	Convey("An attempt that has ended is counted no more", t, func() {
		r := contended()
		for range 3 {
			o := lookup(300 * time.Millisecond)
			o.Request.Request = httptest.NewRequest(http.MethodGet, "/look", nil)
			So(r.attempt(context.Background(), o).Status, ShouldEqual, http.StatusServiceUnavailable)
		}
		So(r.meters.vars.Get("permits.asked").String(), ShouldNotEqual, "0")
		So(r.permits.issuer.Count(), ShouldEqual, 0)
	})
	Convey("Nor is one whose permit may have been given, as its answer did not come", t, func() {
		r := contended()
		o := lookup(time.Second)
		v, c := r.owner(r.current.Load(), o, time.Now())
		r.mesh = listenNowhere(t)
		r.permits.issuers.Store(&map[string][]string{"x": {"127.0.0.1:1"}})
		c = r.askPermit(context.Background(), o, v, c)
		So(c.Refused(), ShouldBeFalse)
		So(o.permit.issuer, ShouldEqual, "127.0.0.1:1")
		So(r.issuerOf(v, "a 1"), ShouldBeEmpty)
	})
}

// listenNowhere makes the daemon's end of connections to others, to which none come.
func listenNowhere(t *testing.T) *mesh.Mesh {
	m, err := mesh.Listen("127.0.0.1:0", nil)
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = m.Close() })
	return m
}

// Guards against a request that is refused for one long queue while other servers have room.
func TestOtherServersAreAsked(t *testing.T) {
	Convey("Servers of a kind are asked in turn, and then no more", t, func() {
		r := contended()
		for i := range 20 {
			r.control.members.AddDiscovered(member.Member{Name: fmt.Sprint("d", i), Address: fmt.Sprint("d", i)})
		}
		r.control.updateShares()
		r.updateServers(atSecond(2), 20, serverItem("b", 11), serverItem("c", 12), serverItem("d", 13), serverItem("e", 14))
		o := lookup(time.Second)
		o.key, o.service.Keyed, o.need.Service = -1, false, config.Service{Name: "s"}
		for _, v := range r.current.Load().fleet.All() {
			for id := range uint64(20) {
				r.permits.issuer.Acquire(time.Now(), permit.Request{Server: v.ID + " 1", ID: id, Slots: 20, ServiceTime: time.Second, TTL: time.Minute})
			}
			r.spread.Begin(time.Now(), v, o.need)
			r.spread.End(time.Now(), v, o.need, time.Now(), spread.Answered, &spread.Report{Running: 3, Waiting: 9, Slots: 3})
		}
		reply := r.attempt(context.Background(), o)
		So(reply.Status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.meters.vars.Get("refused."+string(contendedNow)).String(), ShouldEqual, "1")
		So(r.meters.vars.Get("permits.asked").String(), ShouldEqual, fmt.Sprint(1+othersMost))
		So(r.spread.OwnLoad(), ShouldBeEmpty) // what was not sent is not under way
	})
}

// Guards against an issuer that keeps what daemons which lost power never gave back.
func TestIssuersForget(t *testing.T) {
	Convey("What must have ended is dropped, and the count shown", t, func() {
		r := contended()
		_, refused := begun(r, 1)
		So(refused, ShouldBeEmpty)
		r.permits.issuer.Acquire(time.Now().Add(-time.Minute), permit.Request{Server: "other", ID: 1, Slots: 1, TTL: time.Second})
		r.control.listIssuers(atSecond(1))
		So(r.permits.issuer.Count(), ShouldEqual, 1)
		So(r.meters.vars.Get("permits.counted").String(), ShouldEqual, "1")
	})
}

// Guards against requests that are held up or refused since nobody issues permits.
func TestNoIssuer(t *testing.T) {
	Convey("Requests go to the holder without a permit", t, func() {
		r := contended()
		r.permits.absent["me"] = time.Now().Add(time.Minute)
		So(begunOne(r), ShouldBeTrue)
		r = contended()
		r.permits.issuers.Store(&map[string][]string{})
		So(begunOne(r), ShouldBeTrue)
	})
	Convey("One that did not answer is passed over for the next", t, func() {
		r := contended()
		v, _ := r.current.Load().fleet.Find("a")
		r.permits.issuers.Store(&map[string][]string{"x": {"me", "you"}})
		first := r.issuerOf(v, "a 1")
		r.issuerLost(first, nil)
		So(r.issuerOf(v, "a 1"), ShouldNotEqual, first)
		So(r.issuerOf(v, "a 1"), ShouldNotBeEmpty)
	})
	Convey("A list of contended holders that is old counts no more", t, func() {
		r := contended()
		r.permits.until = time.Now()
		sent, _ := begun(r, 1)
		So(sent[0].permit.issuer, ShouldBeEmpty)
	})
}

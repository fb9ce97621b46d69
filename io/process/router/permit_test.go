package router

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/spread"
)

// contended makes a router that issues permits for the holder of all keys.
func contended() *Router {
	r := still()
	r.self.Address = "me"
	r.control.members.Met(r.self)
	r.serversAt(second(1), 10, entryOf("a", 5))
	r.control.applyTable(second(1), onTheWay(1, false))
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
	Convey("A list of contended holders that is old counts no more", t, func() {
		r := contended()
		r.permits.until = time.Now()
		sent, _ := begun(r, 1)
		So(sent[0].permit.issuer, ShouldBeEmpty)
	})
}

package router

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
	"catkinstep/core/process/member"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/news"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
	"catkinstep/io/process/setup"
)

// mute is a Protocol of nobody.
type mute struct{}

func (mute) Names() names.Names                         { return names.Default() }
func (mute) Grant(grant.Call) link.Request              { return link.Request{} }
func (mute) Release(grant.Call) link.Request            { return link.Request{} }
func (mute) Result(*link.Answer) (grant.Result, string) { return grant.Unsure, "" }

func (mute) ID(http.Header) string                               { return "" }
func (mute) Patience(http.Header) (time.Duration, bool)          { return 0, false }
func (mute) Key(config.Service, string, http.Header) (int, bool) { return 0, false }
func (mute) Answered(http.Header, string, string)                {}
func (mute) Refused(caller.Refusal) (http.Header, []byte)        { return http.Header{}, nil }

var t0 = time.Unix(5000, 0)

func second(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// still makes a router whose control state is driven by hand.
func still() *Router {
	r := New(setup.Settings{Name: "d", DataCentre: "x", RetryShare: 0.2, RetryBurst: 56, ColdFactor: 1.5, ColdSlack: 5}, nil, mute{},
		WithLogger(slog.New(slog.DiscardHandler)))
	r.control = newControl(r, t0)
	return r
}

func entryOf(id string, revision uint64) news.Item {
	v, _ := json.Marshal(fleet.Server{ID: id, Address: id, Service: "s", DataCentre: "x", Slots: 3, StartMillis: 1})
	return news.Item{Name: id, Revision: revision, Value: v}
}

func (r *Router) serversAt(at time.Time, through uint64, items ...news.Item) {
	r.control.update(at, deltaMsg{delta: news.Delta{Kind: news.Servers, Items: items, Through: through, CurrentAt: at}})
}

func (r *Router) lists(id string) bool {
	_, ok := r.current.Load().fleet.Find(id)
	return ok
}

// Guards against requests to a server that left, since a failed call was taken for an outage.
func TestLeaversAreNotLapses(t *testing.T) {
	Convey("Without a long gap in the news a vanished entry is gone at once", t, func() {
		r := still()
		r.serversAt(second(1), 10, entryOf("a", 5), entryOf("b", 6))
		r.serversAt(second(3.3), 20)
		r.serversAt(second(3.6), 30, news.Item{Name: "a", Revision: 25, Removed: true})
		So(r.lists("a"), ShouldBeFalse)
		So(r.lists("b"), ShouldBeTrue)
	})
}

// Guards against living servers that are dropped when the store returns without their entries.
func TestLapsedEntriesAreKeptForAMoment(t *testing.T) {
	Convey("They stay for two seconds from the store's return, not from later losses", t, func() {
		r := still()
		r.serversAt(second(1), 10, entryOf("a", 5), entryOf("b", 6), entryOf("c", 7))
		r.serversAt(second(6), 30, news.Item{Name: "a", Revision: 25, Removed: true}, news.Item{Name: "b", Revision: 26, Removed: true})
		So(r.lists("a"), ShouldBeTrue)
		r.serversAt(second(7), 40, entryOf("b", 35))
		r.control.expire(second(8.3))
		So(r.lists("a"), ShouldBeFalse)
		So(r.lists("b"), ShouldBeTrue)
		r.serversAt(second(8.4), 50, news.Item{Name: "c", Revision: 45, Removed: true})
		So(r.lists("c"), ShouldBeFalse)
	})
}

// Guards against an older or unusable configuration that replaces the one in force.
func TestConfigurationsNeverRevert(t *testing.T) {
	Convey("Older and unusable ones change nothing", t, func() {
		r := still()
		put := func(revision, version uint64, service string) {
			v, _ := json.Marshal(config.Config{Version: version, Services: []config.Service{{Name: "s"}},
				Routes: []config.Route{{Name: "r", Host: "h", Prefix: "/", Destinations: []config.Destination{{Service: service, Weight: 1}}}}})
			r.control.update(t0, deltaMsg{delta: news.Delta{Kind: news.Config, Through: revision,
				Items: []news.Item{{Name: "main", Revision: revision, Value: v}}}})
		}
		put(10, 4, "s")
		put(12, 3, "s")
		So(r.current.Load().config.Version, ShouldEqual, 4)
		put(14, 6, "nowhere")
		So(r.current.Load().config.Version, ShouldEqual, 4)
		put(16, 7, "s")
		So(r.current.Load().config.Version, ShouldEqual, 7)
	})
}

// Retries are bounded over all daemons, which cannot ask each other for each.
func TestRetriesAreShared(t *testing.T) {
	Convey("All daemons' bursts together stay under the site's", t, func() {
		r := still()
		So(r.burst(), ShouldEqual, 1)
		for _, name := range []string{"e", "f", "g", "h"} {
			r.control.members.AddDiscovered(member.Member{Name: name, Address: name})
		}
		r.control.share()
		So(5*r.burst(), ShouldBeLessThan, 56)
		So(r.burst(), ShouldBeGreaterThan, 1)
	})
}

func TestHoldStaysWithinTheSitesBound(t *testing.T) {
	Convey("A site that allows shorter grants gets them", t, func() {
		r := New(setup.Settings{Name: "d", MaxGrantTTL: 2 * time.Second}, nil, mute{})
		So(r.hold, ShouldEqual, 2*time.Second)
	})
}

// Guards against a second holder, since a cut refused connections to the first.
func TestRefusedConnectionEndsNoLife(t *testing.T) {
	Convey("A refused call was not sent, and proves nothing more", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		r := still()
		w := r.links.get(linkKey{address: l.Addr().String(), id: "a", use: forGrants})
		got, _ := r.order(w, grant.Holder{Server: "a"}, link.Request{Method: "POST", Target: "/", Host: "a", Control: true}, time.Second)
		So(got, ShouldEqual, grant.NotSent)
	})
}

// Guards against daemons that draw alike since they started in the same moment.
func TestDaemonsDrawTheirOwnNumbers(t *testing.T) {
	Convey("The name counts beside the moment", t, func() {
		a := member.Member{Name: "a", Incarnation: 7}
		b := member.Member{Name: "b", Incarnation: 7}
		So(seedOf(a), ShouldNotEqual, seedOf(b))
		So(seedOf(a), ShouldEqual, seedOf(a))
	})
}

// Guards against a stored table of another writer that ends the keys' service.
func TestUnusableStoredTable(t *testing.T) {
	Convey("It is replaced, on condition of its revision", t, func() {
		for _, value := range []string{`{"epoch":3,"seq":1,"leader":{},"shares":5}`, `{"epoch":"x"}`, `{`} {
			r := still()
			r.control.update(second(1), deltaMsg{delta: news.Delta{Kind: news.Tables, Items: []news.Item{{Name: tableName, Revision: 7, Value: []byte(value)}}, Through: 7, CurrentAt: second(1)}})
			So(r.current.Load().table.Epoch, ShouldEqual, 0)
			So(r.control.stored, ShouldResemble, storedTable{revision: 7})
		}
	})
}

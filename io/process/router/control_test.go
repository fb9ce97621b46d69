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
	"catkinstep/core/request/proof"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
	"catkinstep/io/connection/caller"
	"catkinstep/io/connection/link"
	"catkinstep/io/process/setup"
)

// stubProtocol is a Protocol that does nothing.
type stubProtocol struct{}

func (stubProtocol) Names() names.Names                           { return names.Default() }
func (stubProtocol) Grant(grant.Call) link.Request                { return link.Request{} }
func (stubProtocol) Release(grant.Call) link.Request              { return link.Request{} }
func (stubProtocol) Result(*link.Response) (grant.Result, string) { return grant.OutcomeUnknown, "" }

func (stubProtocol) ID(http.Header) string                               { return "" }
func (stubProtocol) CallerTimeout(http.Header) (time.Duration, bool)     { return 0, false }
func (stubProtocol) Key(config.Service, string, http.Header) (int, bool) { return 0, false }
func (stubProtocol) AddReplyHeaders(http.Header, string, string)         {}
func (stubProtocol) RefusalReply(caller.Refusal) (http.Header, []byte)   { return http.Header{}, nil }

var t0 = time.Unix(5000, 0)

// atSecond returns the time s seconds after t0.
func atSecond(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// newTestRouter returns a router that does not run. Tests update its control state directly. Its
// clock stands at t0, since the host's own may be anywhere before or after the times of a test.
func newTestRouter() *Router {
	r := New(setup.Settings{Name: "d", DataCentre: "x", RetryShare: 0.2, RetryBurst: 56, ColdFactor: 1.5, ColdSlack: 5}, nil, stubProtocol{},
		WithLogger(slog.New(slog.DiscardHandler)), WithClock(func() time.Time { return t0 }))
	r.control = newControl(r, t0)
	return r
}

// replyWith returns a refusal with a status, of a request that has not run.
func replyWith(status int) caller.Reply {
	return caller.NewRefusal(stubProtocol{}, caller.Refusal{Status: status, NotRun: proof.History{}.NotRun()})
}

func serverItem(id string, revision uint64) object.Item {
	v, _ := json.Marshal(fleet.Server{ID: id, Address: id, Service: "s", DataCentre: "x", Slots: 3, StartMillis: 1})
	return object.Item{Name: id, Revision: revision, Value: v}
}

// restartedItem is the entry of another instance of a server.
func restartedItem(id string, revision uint64, startMillis int64) object.Item {
	v, _ := json.Marshal(fleet.Server{ID: id, Address: id, Service: "s", DataCentre: "x", Slots: 3, StartMillis: startMillis})
	return object.Item{Name: id, Revision: revision, Value: v}
}

func (r *Router) updateServers(at time.Time, throughRevision uint64, items ...object.Item) {
	r.control.update(at, deltaMsg{delta: object.Delta{Kind: object.Servers, Items: items, Through: throughRevision, CurrentAt: at}})
}

func (r *Router) hasServer(id string) bool {
	_, ok := r.current.Load().fleet.Find(id)
	return ok
}

// Guards against requests to a server that has ended. It was retained because a short failure to
// read the store was taken for an outage.
func TestRemovedServersAreDroppedAtOnce(t *testing.T) {
	Convey("A server whose entry vanishes without an outage of the store is dropped at once", t, func() {
		r := newTestRouter()
		r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6))
		r.updateServers(atSecond(3.3), 20)
		r.updateServers(atSecond(3.6), 30, object.Item{Name: "a", Revision: 25, Removed: true})
		So(r.hasServer("a"), ShouldBeFalse)
		So(r.hasServer("b"), ShouldBeTrue)
	})
}

// Guards against dropping live servers whose entries are missing when the store is back
// after an outage.
func TestServersAreRetainedAfterAStoreOutage(t *testing.T) {
	Convey("Servers whose entries vanish are retained until two seconds after the outage, and not after that", t, func() {
		r := newTestRouter()
		r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6), serverItem("c", 7))
		r.updateServers(atSecond(6), 30, object.Item{Name: "a", Revision: 25, Removed: true}, object.Item{Name: "b", Revision: 26, Removed: true})
		So(r.hasServer("a"), ShouldBeTrue)
		r.updateServers(atSecond(7), 40, serverItem("b", 35))
		r.control.dropExpiredServers(atSecond(8.3))
		So(r.hasServer("a"), ShouldBeFalse)
		So(r.hasServer("b"), ShouldBeTrue)
		r.updateServers(atSecond(8.4), 50, object.Item{Name: "c", Revision: 45, Removed: true})
		So(r.hasServer("c"), ShouldBeFalse)
	})
}

// Guards against replacing the configuration in force by an older or invalid one.
func TestOlderConfigurationsAreIgnored(t *testing.T) {
	Convey("An older or invalid configuration is ignored", t, func() {
		r := newTestRouter()
		apply := func(revision, version uint64, service string) {
			v, _ := json.Marshal(config.Config{Version: version, Services: []config.Service{{Name: "s"}},
				Routes: []config.Route{{Name: "r", Host: "h", Prefix: "/", Destinations: []config.Destination{{Service: service, Weight: 1}}}}})
			r.control.update(t0, deltaMsg{delta: object.Delta{Kind: object.Config, Through: revision,
				Items: []object.Item{{Name: "main", Revision: revision, Value: v}}}})
		}
		apply(10, 4, "s")
		apply(12, 3, "s")
		So(r.current.Load().config.Version, ShouldEqual, 4)
		apply(14, 6, "nowhere")
		So(r.current.Load().config.Version, ShouldEqual, 4)
		apply(16, 7, "s")
		So(r.current.Load().config.Version, ShouldEqual, 7)
	})
}

// Guards against more retries by all daemons together than allowed, since daemons do not
// coordinate each retry.
func TestRetryBurstIsDividedAmongDaemons(t *testing.T) {
	Convey("The bursts of all daemons add up to less than the configured burst", t, func() {
		r := newTestRouter()
		So(r.retryBurst(), ShouldEqual, 1)
		for _, name := range []string{"e", "f", "g", "h"} {
			r.control.members.AddDiscovered(member.Member{Name: name, Address: name})
		}
		r.control.updateShares()
		So(5*r.retryBurst(), ShouldBeLessThan, 56)
		So(r.retryBurst(), ShouldBeGreaterThan, 1)
	})
}

// Guards against grants that are valid for longer than the settings allow.
func TestGrantTTLIsCapped(t *testing.T) {
	Convey("A shorter limit in the settings shortens grants", t, func() {
		r := New(setup.Settings{Name: "d", MaxGrantTTL: 2 * time.Second}, nil, stubProtocol{})
		So(r.grantTTL, ShouldEqual, 2*time.Second)
	})
}

// Guards against a second holder of a key. A network partition that refused connections to the
// first holder was taken for proof that this server had ended.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	Convey("A call whose connection is refused counts only as not sent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		r := newTestRouter()
		client := r.clientPool.get(clientKey{address: l.Addr().String(), id: "a", purpose: forGrants})
		answer := r.callServer(client, grant.Holder{Server: "a"}, link.Request{Method: "POST", Target: "/", Host: "a", ControlCall: true}, time.Second)
		So(answer.result, ShouldEqual, grant.NotSent)
	})
}

// Guards against daemons that use the same random numbers because they started at the same moment.
func TestDaemonsHaveDistinctSeeds(t *testing.T) {
	Convey("The seed depends on the daemon's name as well as its incarnation", t, func() {
		a := member.Member{Name: "a", Incarnation: 7}
		b := member.Member{Name: "b", Incarnation: 7}
		So(seedOf(a), ShouldNotEqual, seedOf(b))
		So(seedOf(a), ShouldEqual, seedOf(a))
	})
}

// Guards against an invalid table in the store, written by another program, that stops all
// requests with keys.
func TestInvalidStoredTableIsDropped(t *testing.T) {
	Convey("Only its revision is kept, for the conditional write that replaces it", t, func() {
		for _, value := range []string{`{"epoch":3,"seq":1,"leader":{},"shares":5}`, `{"epoch":"x"}`, `{`} {
			r := newTestRouter()
			r.control.update(atSecond(1), deltaMsg{delta: object.Delta{Kind: object.Tables, Items: []object.Item{{Name: tableName, Revision: 7, Value: []byte(value)}}, Through: 7, CurrentAt: atSecond(1)}})
			So(r.current.Load().table.Epoch, ShouldEqual, 0)
			So(r.control.stored, ShouldResemble, storedTable{revision: 7})
		}
	})
}

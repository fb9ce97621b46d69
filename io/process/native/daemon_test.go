package native_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/site"
	"catkinstep/io/connection/plat"
	"catkinstep/io/process/admin"
	"catkinstep/io/process/native"
	"catkinstep/io/process/prefs"
	"catkinstep/io/standin/oracle"
	"catkinstep/io/standin/ports"
	"catkinstep/io/standin/server"
	"catkinstep/io/standin/store"
)

// testSite is a small site on loopback addresses: the platform stand-in, daemons as
// "catkinstep serve" runs them, and two servers for each of three services. The service intake
// is unkeyed, workshop is keyed, and labels uses the request IDs as keys.
type testSite struct {
	t       *testing.T
	store   *store.Store
	oracle  *oracle.Oracle
	servers map[string]*server.Server
	daemons []*native.Daemon
	site    site.Site
	client  http.Client
	lastID  int
}

func newTestSite(t *testing.T, daemons int) *testSite {
	ts := &testSite{t: t, store: store.New(), oracle: oracle.New(), servers: map[string]*server.Server{}, client: http.Client{Timeout: 6 * time.Second}}
	platformServer := httptest.NewServer(ts.store)
	ts.site = site.Site{Name: "yard", Presets: []site.Preset{{Name: "ordinary", Active: true}}, DataCentres: []site.DataCentre{{Name: "duluth"}},
		Services: []site.Service{{Name: "intake", Slots: 3, MaxConnections: 30}, {Name: "workshop", Keyed: true, KeySegment: 2, Slots: 3, MaxConnections: 30},
			{Name: "labels", Keyed: true, KeyByID: true, Slots: 3, MaxConnections: 30}}}
	for i := range ts.site.Services {
		ts.site.Services[i].ColdPeriod = time.Millisecond // the servers of these tests are never cold
	}
	for _, service := range []string{"intake", "intake", "workshop", "workshop", "labels", "labels"} {
		s := server.New(server.Config{Address: ports.Free(t), Service: service, DataCentre: "duluth", Slots: 3, Keyed: service != "intake", MeanServiceTime: 5 * time.Millisecond}, ts.oracle)
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		ts.servers[s.Address()] = s
		ts.site.DataCentres[0].Servers = append(ts.site.DataCentres[0].Servers, site.Server{Address: s.Address(), Service: service})
	}
	platformAddress := platformServer.Listener.Addr().String()
	var peers []string
	for range daemons {
		peers = append(peers, ports.Free(t))
	}
	for _, meshAddress := range peers {
		d, err := native.Start(prefs.Prefs{DataCentre: "duluth", CallerAddress: ports.Free(t), MeshAddress: meshAddress, OperatorAddress: ports.Free(t), PlatformAddress: platformAddress, Peers: peers, MaxBodyBytes: 1000},
			native.WithOperatorHandler(admin.Handler))
		if err != nil {
			t.Fatal(err)
		}
		ts.daemons = append(ts.daemons, d)
	}
	t.Cleanup(func() {
		for _, d := range ts.daemons {
			d.Kill()
		}
		for _, s := range ts.servers {
			s.Stop()
		}
		platformServer.CloseClientConnections()
		platformServer.Close()
	})
	ts.changeSite(func(site.Site) (site.Site, error) { return ts.site, nil })
	return ts
}

func (ts *testSite) changeSite(f func(site.Site) (site.Site, error)) admin.AcceptedChange {
	accepted, err := admin.ChangeSite(context.Background(), plat.New(ts.daemons[0].Prefs().PlatformAddress, "duluth"), 0, f)
	if err != nil {
		ts.t.Fatal(err)
	}
	return accepted
}

// callerReply is the reply to a caller. Either answer or failure is set.
type callerReply struct {
	status  int
	header  http.Header
	answer  server.Response
	failure native.ErrorBody
}

func (ts *testSite) send(d *native.Daemon, method, path, body string) callerReply {
	ts.lastID++
	return ts.sendWithID(d, method, fmt.Sprintf("id-%d", ts.lastID), path, body)
}

func (ts *testSite) sendWithID(d *native.Daemon, method, id, path, body string) callerReply {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+d.Prefs().CallerAddress+path, strings.NewReader(body))
	if err != nil {
		ts.t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", id)
	resp, err := ts.client.Do(req)
	if err != nil {
		return callerReply{}
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return callerReply{}
	}
	out := callerReply{status: resp.StatusCode, header: resp.Header}
	if out.header.Get(native.HeaderOutcome) == native.OutcomeAnswered {
		err = json.Unmarshal(data, &out.answer)
	} else {
		err = json.Unmarshal(data, &out.failure)
	}
	if err != nil {
		ts.t.Errorf("%s: %s: %v", path, data, err)
	}
	return out
}

// becomesReady reports whether a daemon is ready, and all key ranges are open, in time.
func (ts *testSite) becomesReady(d *native.Daemon) bool {
	return eventually(8*time.Second, func() bool { return d.Ready() && d.AllRangesOpen() })
}

func eventually(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Guards against daemons that disagree about the server of a key, and against errors that do not
// tell the caller that the request did not run.
func TestNativeInterface(t *testing.T) {
	Convey("Callers reach the servers of a site, and errors have a code", t, func() {
		ts := newTestSite(t, 2)
		d := ts.daemons[0]
		So(ts.becomesReady(d), ShouldBeTrue)
		So(ts.becomesReady(ts.daemons[1]), ShouldBeTrue)
		a := ts.send(d, http.MethodGet, "/intake/parcels/a%2Fb?c=1", "")
		So(a.status, ShouldEqual, http.StatusOK)
		So(a.header.Get("Catkinstep-Request-Id"), ShouldEqual, a.answer.ID)
		So(a.answer.Path, ShouldEqual, "/parcels/a/b")
		So(ts.servers[a.answer.Server], ShouldNotBeNil)
		Convey("all daemons send the requests of a key to the same server", func() {
			first := ts.send(d, http.MethodGet, "/workshop/benches/7", "")
			second := ts.send(ts.daemons[1], http.MethodPost, "/workshop/benches/7", "{}")
			So(first.status, ShouldEqual, http.StatusOK)
			So(second.status, ShouldEqual, http.StatusOK)
			So(second.answer.Server, ShouldEqual, first.answer.Server)
		})
		Convey("requests that cannot be routed are reported as not run", func() {
			for _, v := range []struct {
				path, code string
				status     int
			}{{"/nowhere/x", "noRoute", http.StatusNotFound}, {"/workshop/benches", "missingKey", http.StatusBadRequest}} {
				f := ts.send(d, http.MethodGet, v.path, "")
				So(f.status, ShouldEqual, v.status)
				So(f.failure.Code, ShouldEqual, v.code)
				So(f.failure.Outcome, ShouldEqual, native.OutcomeNotRun)
			}
		})
		Convey("operators get the status of every daemon and the burn report", func() {
			c := admin.NewClient(d.Prefs().OperatorAddress, "")
			So(eventually(3*time.Second, func() bool {
				s, err := c.Status(context.Background())
				return err == nil && s.InForceEverywhere && len(s.Daemons) == 2
			}), ShouldBeTrue)
			b, err := c.BurnReport(context.Background())
			So(err, ShouldBeNil)
			So(b.Missing, ShouldBeEmpty)
			So(b.Rows[0].Service, ShouldEqual, "intake")
			So(b.Rows[0].Requests, ShouldBeGreaterThan, 0)
		})
	})
}

// Guards against requests that start at a server after it was excluded.
func TestExcludedServer(t *testing.T) {
	Convey("The keys of an excluded server are served elsewhere, and no request reaches it", t, func() {
		ts := newTestSite(t, 2)
		d := ts.daemons[0]
		So(ts.becomesReady(d), ShouldBeTrue)
		before := ts.send(d, http.MethodGet, "/workshop/benches/7", "")
		So(before.status, ShouldEqual, http.StatusOK)
		excluded := before.answer.Server
		ts.changeSite(func(s site.Site) (site.Site, error) { return s.WithExclusion(site.Exclusion{Host: excluded}) })
		So(eventually(3*time.Second, func() bool {
			a := ts.send(d, http.MethodGet, "/workshop/benches/7", "")
			return a.status == http.StatusOK && a.answer.Server != excluded
		}), ShouldBeTrue)
		// The oracle allows new requests in the first two seconds after an exclusion. The server
		// must not get any now, so the exclusion is recorded as two seconds old.
		ts.oracle.RecordExclusion("", excluded, time.Now().Add(-2*time.Second))
		for range 10 {
			So(ts.send(d, http.MethodGet, "/workshop/benches/7", "").answer.Server, ShouldNotEqual, excluded)
		}
		So(ts.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

// Guards against keys that are granted again to a failed server, because it is still listed in
// the site file.
func TestFailedServer(t *testing.T) {
	Convey("The keys of a failed server are served elsewhere once its grants have expired, and stay available", t, func() {
		ts := newTestSite(t, 1)
		d := ts.daemons[0]
		So(ts.becomesReady(d), ShouldBeTrue)
		failed := ts.send(d, http.MethodGet, "/workshop/benches/7", "").answer.Server
		So(ts.servers[failed], ShouldNotBeNil)
		ts.servers[failed].Stop()
		So(eventually(9*time.Second, func() bool { return ts.send(d, http.MethodGet, "/workshop/benches/7", "").status == http.StatusOK }), ShouldBeTrue)
		So(eventually(5*time.Second, d.AllRangesOpen), ShouldBeTrue)
		for range 40 {
			So(ts.send(d, http.MethodGet, "/workshop/benches/7", "").status, ShouldEqual, http.StatusOK)
			time.Sleep(50 * time.Millisecond)
		}
		So(ts.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

// Guards against a booking that runs twice, or is reported as not run, after its response was
// lost.
func TestLostResponse(t *testing.T) {
	Convey("A POST runs once and its outcome is reported as unknown, while a GET is retried", t, func() {
		ts := newTestSite(t, 1)
		d := ts.daemons[0]
		So(ts.becomesReady(d), ShouldBeTrue)
		for _, v := range ts.servers {
			v.SetFaults(server.Faults{TruncatedShare: 1})
		}
		runsBefore := ts.oracle.RunCount()
		f := ts.send(d, http.MethodPost, "/intake/labels/1", "{}")
		So(f.status, ShouldEqual, http.StatusBadGateway)
		So(f.failure.Outcome, ShouldEqual, native.OutcomeUnknown)
		So(ts.oracle.RunCount(), ShouldEqual, runsBefore+1)
		ts.send(d, http.MethodGet, "/intake/parcels/1", "")
		So(ts.oracle.RunCount(), ShouldEqual, runsBefore+3) // the GET ran twice
	})
}

// Guards against a host that a server in trouble fills with bytes, and a caller that waits for them until
// its deadline.
func TestServersThatSendWithoutEnd(t *testing.T) {
	for name, faults := range map[string]server.Faults{"heads": {EndlessHeadShare: 1}, "bodies": {EndlessBodyShare: 1}} {
		Convey("With "+name+" without end from one server, lookups are served by the other; from all, a booking's outcome is unknown", t, func() {
			ts := newTestSite(t, 1)
			d := ts.daemons[0]
			So(ts.becomesReady(d), ShouldBeTrue)
			faulty := ts.send(d, http.MethodGet, "/intake/parcels/1", "").answer.Server
			ts.servers[faulty].SetFaults(faults)
			for range 5 {
				So(ts.send(d, http.MethodGet, "/intake/parcels/1", "").status, ShouldEqual, http.StatusOK)
			}
			for _, v := range ts.servers {
				v.SetFaults(faults)
			}
			runsBefore := ts.oracle.RunCount()
			f := ts.send(d, http.MethodPost, "/intake/labels/1", "{}")
			So(f.status, ShouldEqual, http.StatusBadGateway)
			So(f.failure.Outcome, ShouldEqual, native.OutcomeUnknown)
			So(ts.oracle.RunCount(), ShouldEqual, runsBefore+1)
		})
	}
}

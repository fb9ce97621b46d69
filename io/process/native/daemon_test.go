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

// yard is a small site on loopback: the platform's stand-in, two servers with
// keys, two whose keys are ids and two without, and daemons as "catkinstep serve" runs them.
type yard struct {
	t       *testing.T
	store   *store.Store
	oracle  *oracle.Oracle
	servers map[string]*server.Server
	daemons []*native.Daemon
	site    site.Site
	client  http.Client
	ids     int
}

func newYard(t *testing.T, daemons int) *yard {
	y := &yard{t: t, store: store.New(), oracle: oracle.New(), servers: map[string]*server.Server{}, client: http.Client{Timeout: 6 * time.Second}}
	h := httptest.NewServer(y.store)
	y.site = site.Site{Name: "yard", Presets: []site.Preset{{Name: "ordinary", Active: true}}, DataCentres: []site.DataCentre{{Name: "duluth"}},
		Services: []site.Service{{Name: "intake", Slots: 3, MaxConnections: 30}, {Name: "workshop", Keyed: true, KeySegment: 2, Slots: 3, MaxConnections: 30},
			{Name: "labels", Keyed: true, KeyByID: true, Slots: 3, MaxConnections: 30}}}
	for _, service := range []string{"intake", "intake", "workshop", "workshop", "labels", "labels"} {
		v := server.New(server.Config{Address: ports.Free(t), Service: service, DataCentre: "duluth", Slots: 3, Keyed: service != "intake", MeanServiceTime: 5 * time.Millisecond}, y.oracle)
		if err := v.Start(); err != nil {
			t.Fatal(err)
		}
		y.servers[v.Address()] = v
		y.site.DataCentres[0].Servers = append(y.site.DataCentres[0].Servers, site.Server{Address: v.Address(), Service: service})
	}
	platform := h.Listener.Addr().String()
	var peers []string
	for range daemons {
		peers = append(peers, ports.Free(t))
	}
	for _, mesh := range peers {
		d, err := native.Start(prefs.Prefs{DataCentre: "duluth", Callers: ports.Free(t), Mesh: mesh, Operator: ports.Free(t), Platform: platform, Peers: peers, MaxBody: 1000},
			native.WithOperator(admin.Handler))
		if err != nil {
			t.Fatal(err)
		}
		y.daemons = append(y.daemons, d)
	}
	t.Cleanup(func() {
		for _, d := range y.daemons {
			d.Kill()
		}
		for _, v := range y.servers {
			v.Stop()
		}
		h.CloseClientConnections()
		h.Close()
	})
	y.change(func(site.Site) (site.Site, error) { return y.site, nil })
	return y
}

func (y *yard) change(f func(site.Site) (site.Site, error)) admin.Accepted {
	a, err := admin.Change(context.Background(), plat.New(y.daemons[0].Prefs().Platform, "duluth"), 0, f)
	if err != nil {
		y.t.Fatal(err)
	}
	return a
}

// got is what a caller got.
type got struct {
	status  int
	header  http.Header
	answer  server.Response
	failure native.Failure
}

func (y *yard) ask(d *native.Daemon, method, path, body string) got {
	y.ids++
	return y.askID(d, method, fmt.Sprintf("id-%d", y.ids), path, body)
}

func (y *yard) askID(d *native.Daemon, method, id, path, body string) got {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+d.Prefs().Callers+path, strings.NewReader(body))
	if err != nil {
		y.t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", id)
	resp, err := y.client.Do(req)
	if err != nil {
		return got{}
	}
	defer resp.Body.Close() //nolint:errcheck // read whole
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return got{}
	}
	out := got{status: resp.StatusCode, header: resp.Header}
	if out.header.Get(native.HeaderOutcome) == native.OutcomeAnswered {
		err = json.Unmarshal(data, &out.answer)
	} else {
		err = json.Unmarshal(data, &out.failure)
	}
	if err != nil {
		y.t.Errorf("%s: %s: %v", path, data, err)
	}
	return out
}

func (y *yard) settles(d *native.Daemon) bool {
	return within(8*time.Second, func() bool { return d.Ready() && d.Settled() })
}

func within(d time.Duration, state func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if state() {
			return true
		}
	}
	return state()
}

func TestOwnInterface(t *testing.T) {
	Convey("Callers reach the servers of a site, and refusals say what they are", t, func() {
		y := newYard(t, 2)
		d := y.daemons[0]
		So(y.settles(d), ShouldBeTrue)
		So(y.settles(y.daemons[1]), ShouldBeTrue)
		a := y.ask(d, http.MethodGet, "/intake/parcels/a%2Fb?c=1", "")
		So(a.status, ShouldEqual, http.StatusOK)
		So(a.header.Get("Catkinstep-Request-Id"), ShouldEqual, a.answer.ID)
		So(a.answer.Path, ShouldEqual, "/parcels/a/b")
		So(y.servers[a.answer.Server], ShouldNotBeNil)
		Convey("a key has one holder, whichever daemon is asked", func() {
			first := y.ask(d, http.MethodGet, "/workshop/benches/7", "")
			second := y.ask(y.daemons[1], http.MethodPost, "/workshop/benches/7", "{}")
			So(first.status, ShouldEqual, http.StatusOK)
			So(second.status, ShouldEqual, http.StatusOK)
			So(second.answer.Server, ShouldEqual, first.answer.Server)
		})
		Convey("what cannot be served is distinguished from what may have run", func() {
			for _, v := range []struct {
				path, code string
				status     int
			}{{"/nowhere/x", "noRoute", http.StatusNotFound}, {"/workshop/benches", "missingKey", http.StatusBadRequest}} {
				f := y.ask(d, http.MethodGet, v.path, "")
				So(f.status, ShouldEqual, v.status)
				So(f.failure.Code, ShouldEqual, v.code)
				So(f.failure.Ran, ShouldEqual, native.OutcomeNotRun)
			}
		})
		Convey("an operator sees every daemon and the service levels", func() {
			c := admin.NewClient(d.Prefs().Operator, "")
			So(within(3*time.Second, func() bool {
				s, err := c.Status(context.Background())
				return err == nil && s.Everywhere && len(s.Daemons) == 2
			}), ShouldBeTrue)
			b, err := c.Burn(context.Background())
			So(err, ShouldBeNil)
			So(b.Missing, ShouldBeEmpty)
			So(b.Rows[0].Service, ShouldEqual, "intake")
			So(b.Rows[0].Requests, ShouldBeGreaterThan, 0)
		})
	})
}

// Guards against work that begins at a server after it was taken out.
func TestServerTakenOut(t *testing.T) {
	Convey("Its keys are served elsewhere, and come back to it later", t, func() {
		y := newYard(t, 2)
		d := y.daemons[0]
		So(y.settles(d), ShouldBeTrue)
		before := y.ask(d, http.MethodGet, "/workshop/benches/7", "")
		So(before.status, ShouldEqual, http.StatusOK)
		out := before.answer.Server
		y.change(func(s site.Site) (site.Site, error) { return s.WithExclusion(site.Exclusion{Host: out}) })
		So(within(3*time.Second, func() bool {
			a := y.ask(d, http.MethodGet, "/workshop/benches/7", "")
			return a.status == http.StatusOK && a.answer.Server != out
		}), ShouldBeTrue)
		y.oracle.RecordExclusion("", out, time.Now().Add(-2*time.Second))
		for range 10 {
			So(y.ask(d, http.MethodGet, "/workshop/benches/7", "").answer.Server, ShouldNotEqual, out)
		}
		So(y.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

// Guards against keys that are given back to a dead server whose line stays in the site file.
func TestServerDies(t *testing.T) {
	Convey("Its keys are served again within the hold, and stay so", t, func() {
		y := newYard(t, 1)
		d := y.daemons[0]
		So(y.settles(d), ShouldBeTrue)
		lost := y.ask(d, http.MethodGet, "/workshop/benches/7", "").answer.Server
		So(y.servers[lost], ShouldNotBeNil)
		y.servers[lost].Stop()
		So(within(9*time.Second, func() bool { return y.ask(d, http.MethodGet, "/workshop/benches/7", "").status == http.StatusOK }), ShouldBeTrue)
		So(within(5*time.Second, d.Settled), ShouldBeTrue)
		for range 40 {
			So(y.ask(d, http.MethodGet, "/workshop/benches/7", "").status, ShouldEqual, http.StatusOK)
			time.Sleep(50 * time.Millisecond)
		}
		So(y.oracle.Verdict().Total(), ShouldEqual, 0)
	})
}

// Guards against a booking that runs twice, or is said not to have run, after its answer was lost.
func TestLostAnswer(t *testing.T) {
	Convey("What may have run is never said not to have, and never runs twice", t, func() {
		y := newYard(t, 1)
		d := y.daemons[0]
		So(y.settles(d), ShouldBeTrue)
		for _, v := range y.servers {
			v.SetFaults(server.Faults{TruncatedShare: 1})
		}
		ran := y.oracle.RunCount()
		f := y.ask(d, http.MethodPost, "/intake/labels/1", "{}")
		So(f.status, ShouldEqual, http.StatusBadGateway)
		So(f.failure.Ran, ShouldEqual, native.OutcomeUnknown)
		So(y.oracle.RunCount(), ShouldEqual, ran+1)
		y.ask(d, http.MethodGet, "/intake/parcels/1", "")
		So(y.oracle.RunCount(), ShouldEqual, ran+3)
	})
}

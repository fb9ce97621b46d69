package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/burn"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

// fake is a router whose dispatchers answer as the test says.
type fake struct {
	r      *route.Route
	answer func(n int, o *wire.Order) *wire.Answer
	orders []*wire.Order
	ends   []burn.Kind
}

func (f *fake) Route() *route.Route            { return f.r }
func (f *fake) Changed() <-chan struct{}       { return nil }
func (f *fake) Refused(time.Time, uint64) bool { return false }
func (f *fake) Count(_ string, k burn.Kind)    { f.ends = append(f.ends, k) }
func (f *fake) Send(_ context.Context, _ route.Target, o *wire.Order, _ time.Time) *wire.Answer {
	f.orders = append(f.orders, o)
	return f.answer(len(f.orders), o)
}

func newFake(answer func(n int, o *wire.Order) *wire.Answer) *fake {
	d := table.Daemon{Address: "10.0.0.1:7100", Incarnation: 1}
	t := table.Table{DataCentre: "p"}.Clone()
	t.SetDispatch("10.0.0.9:9000", d, table.Daemon{})
	t.EnsureRow("workshop", 1, []string{"10.0.0.9:9000"})
	t.Assign("workshop", 0, 0, shard.Ledger{}, 0, shard.Homes{}, 1)
	homes := shard.Homes{}.WithDataCentres([]string{"p"}).WithService("workshop", []int{0})
	s := site.Site{Presets: []site.Preset{{Name: "o", InForce: true, RetryShare: 0.1}},
		Services:    []site.Service{{Name: "workshop", Keyed: true, KeySegment: 2, Shards: 1, Slots: 1, Deadline: time.Second, Idempotent: []string{"GET"}, Levels: site.Levels{Within: time.Minute}}},
		DataCentres: []site.DataCentre{{Name: "p", Servers: []site.Server{{Address: "10.0.0.9:9000", Service: "workshop"}}}}}
	return &fake{answer: answer, r: &route.Route{Self: d, DataCentre: "p", Ready: true, Site: s, Homes: homes, Tables: map[string]table.Table{"p": t}}}
}

func ask(f *fake, method, path, body string, header ...string) (*httptest.ResponseRecorder, Failure) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	New(f, WithMaxBody(16)).ServeHTTP(w, r)
	var v Failure
	_ = json.Unmarshal(w.Body.Bytes(), &v)
	return w, v
}

func done(int, *wire.Order) *wire.Answer {
	return &wire.Answer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 201, Body: []byte("whole")}
}

func TestBadRequests(t *testing.T) {
	Convey("Each bad request is refused with its code, and nothing is sent", t, func() {
		for _, c := range []struct {
			path, body, code string
			status           int
			header           []string
		}{
			{"/elsewhere/a/b", "", retry.UnknownRoute, 404, nil},
			{"/workshop/benches", "", retry.MissingKey, 400, nil},
			{"/workshop/benches/7", "more than sixteen bytes", retry.TooLarge, 413, nil},
			{"/workshop/benches/7", "", retry.BadRequest, 400, []string{HeaderTimeout, "5"}},
		} {
			f := newFake(done)
			w, v := ask(f, http.MethodPost, c.path, c.body, c.header...)
			So(w.Code, ShouldEqual, c.status)
			So(v.Code, ShouldEqual, c.code)
			So(v.Ran, ShouldEqual, "notRun")
			So(f.orders, ShouldBeEmpty)
		}
	})
}

func TestAnswers(t *testing.T) {
	Convey("A caller gets the server's whole answer, and the id", t, func() {
		f := newFake(done)
		w, _ := ask(f, http.MethodPost, "/workshop/benches/7", "{}", "Idempotency-Key", "a")
		So(w.Code, ShouldEqual, 201)
		So(w.Body.String(), ShouldEqual, "whole")
		So(w.Header().Get(HeaderID), ShouldEqual, "a")
		So(f.orders[0].FreshId, ShouldBeFalse)
		So(f.ends, ShouldResemble, []burn.Kind{burn.Good})
	})
	Convey("A booking with an unknown outcome is sent once, and its caller told", t, func() {
		f := newFake(func(int, *wire.Order) *wire.Answer {
			return &wire.Answer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Code: retry.OutcomeLost}
		})
		w, v := ask(f, http.MethodPost, "/workshop/benches/7", "")
		So(w.Code, ShouldEqual, 502)
		So(v.Ran, ShouldEqual, "unknown")
		So(f.orders, ShouldHaveLength, 1)
	})
	Convey("A booking that met a move is sent again under the same id", t, func() {
		f := newFake(func(n int, o *wire.Order) *wire.Answer {
			if n < 3 {
				return &wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: retry.Held}
			}
			return done(n, o)
		})
		w, _ := ask(f, http.MethodPost, "/workshop/benches/7", "")
		So(w.Code, ShouldEqual, 201)
		So(f.orders[2].Id, ShouldEqual, f.orders[0].Id)
	})
}

// The only server of a key is full. The request is given up on: its caller must
// hear so at once, with the time to come back, not near its deadline.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	Convey("A full queue is told after one attempt", t, func() {
		f := newFake(func(int, *wire.Order) *wire.Answer {
			return &wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: retry.QueueFull, RetryAfterMillis: 400}
		})
		w, v := ask(f, http.MethodGet, "/workshop/benches/7", "")
		So(f.orders, ShouldHaveLength, 1)
		So(w.Code, ShouldEqual, 503)
		So(w.Header().Get("Retry-After"), ShouldEqual, "1")
		So(v.RetryAfter, ShouldEqual, "400ms")
	})
}

func BenchmarkEntry(b *testing.B) {
	f := newFake(done)
	e := New(f)
	b.ReportAllocs()
	for b.Loop() {
		f.orders, f.ends = f.orders[:0], f.ends[:0]
		e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/workshop/benches/7", nil))
	}
}

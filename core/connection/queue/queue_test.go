package queue

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

const address = "10.0.0.9:9000"

var (
	self   = table.Daemon{Address: "10.0.0.1:7100", Incarnation: 1}
	backup = table.Daemon{Address: "10.0.0.2:7100", Incarnation: 1}
)

// snapshot is a route by which this daemon dispatches to the one server.
func snapshot(token uint64, second table.Daemon) *route.Route {
	t := table.Table{DataCentre: "p"}.Clone()
	t.Counter = token - 1
	t.SetDispatch(address, self, second)
	t.EnsureRow("k", 4, []string{address})
	for s := range uint32(4) {
		t.Assign("k", s, 0, shard.Ledger{}, 0, shard.Homes{}, 1)
	}
	homes := shard.Homes{}.WithDataCentres([]string{"p"}).WithService("k", []int{0, 0, 0, 0})
	s := site.Site{
		Services: []site.Service{{Name: "k", Keyed: true, Shards: 4, Slots: 3, ChecksTokens: true,
			Deadline: 2 * time.Second, OrderDeadline: time.Second, RememberIDs: time.Minute}},
		DataCentres: []site.DataCentre{{Name: "p", Servers: []site.Server{{Address: address, Service: "k"}}}},
		Presets:     []site.Preset{{Name: "ordinary", InForce: true, Queue: 6}},
	}
	return &route.Route{Self: self, DataCentre: "p", Ready: true, Site: s, Homes: homes, Tables: map[string]table.Table{"p": t}, TableVersion: 1}
}

// granted returns a queue whose server has taken the token.
func granted(now time.Time, second table.Daemon) *Queue {
	q := New(address, nil)
	q.Update(now, RouteMsg{Route: snapshot(1, second)})
	q.Update(now, GrantedMsg{Token: 1, Incarnation: 5})
	return q
}

func order(id string, lookup bool) *wire.Order {
	return &wire.Order{Service: "k", Server: address, Owned: true, Id: id, Idempotent: lookup, Token: 1}
}

func pick[T any](cmds []Cmd) []T {
	var out []T
	for _, c := range cmds {
		if v, ok := c.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

// A server has just started. Callers ask for more than it bears; it falls over
// if it gets it. It must be given one order at a time, then two, then three.
func TestSlowStart(t *testing.T) {
	Convey("A fresh server climbs from one order to its slots", t, func() {
		now := time.Unix(1000, 0)
		q := granted(now, table.Daemon{})
		most, seq := 0, uint64(0)
		var first time.Duration
		began := now
		for range 400 {
			seq++
			sent := pick[SendCmd](q.Update(now, SubmitMsg{Seq: seq, Order: order("", true), Deadline: now.Add(time.Second)}))
			most = max(most, q.Running())
			So(q.Running(), ShouldBeLessThanOrEqualTo, q.Allowed())
			if q.Allowed() == 2 && first == 0 {
				first = now.Sub(began)
			}
			now = now.Add(5 * time.Millisecond)
			for _, c := range sent {
				q.Update(now, AnsweredMsg{Seq: c.Seq, Answer: &wire.Answer{}, Latency: 5 * time.Millisecond})
			}
		}
		So(q.Allowed(), ShouldEqual, 3)
		So(first, ShouldBeGreaterThanOrEqualTo, 80*time.Millisecond)
	})
	Convey("One that sheds within its limit has turned cold and gets one at a time", t, func() {
		now := time.Unix(1000, 0)
		q := granted(now, table.Daemon{})
		q.limit = q.limit.WithSlots(3)
		for range 60 {
			now = now.Add(10 * time.Millisecond)
			q.limit = q.limit.WithAnswer(now, time.Millisecond)
		}
		So(q.Allowed(), ShouldEqual, 3)
		sent := pick[SendCmd](q.Update(now, SubmitMsg{Seq: 1, Order: order("", true), Deadline: now.Add(time.Second)}))
		So(sent, ShouldHaveLength, 1)
		told := pick[AnswerCmd](q.Update(now, NotRunMsg{Seq: 1, Code: retry.Shed}))
		So(told[0].Answer.Outcome, ShouldEqual, wire.Outcome_OUTCOME_NOT_RUN)
		So(q.Allowed(), ShouldEqual, 1)
	})
}

// A booking is sent only when the backup has its id. The backup is silent: a
// booking sent without it would run again after this daemon's death, so that
// the caller is told at once that it did not run, and when to come back.
func TestBackupBeforeTheOrder(t *testing.T) {
	Convey("A booking waits for the backup and is refused without it", t, func() {
		now := time.Unix(1000, 0)
		q := granted(now, backup)
		now = now.Add(150 * time.Millisecond)
		for _, c := range pick[CopyCmd](q.Update(now, TickMsg{})) {
			q.Update(now, CopiedMsg{ID: c.ID, OK: true})
		}
		cmds := q.Update(now, SubmitMsg{Seq: 1, Order: order("a", false), Deadline: now.Add(time.Second)})
		So(pick[SendCmd](cmds), ShouldBeEmpty)
		copies := pick[CopyCmd](cmds)
		So(copies, ShouldHaveLength, 1)
		told := pick[AnswerCmd](q.Update(now, CopiedMsg{ID: copies[0].ID}))
		So(told, ShouldHaveLength, 1)
		So(told[0].Answer.Code, ShouldEqual, retry.BackupSilent)
		So(told[0].Answer.RetryAfterMillis, ShouldBeGreaterThan, 0)
		So(q.Waiting(), ShouldEqual, 0)
	})
}

// Work that cannot meet its deadline is refused at once, not held until then.
func TestEarlyRefusal(t *testing.T) {
	Convey("What would come too late is refused when it arrives", t, func() {
		now := time.Unix(1000, 0)
		q := granted(now, table.Daemon{})
		for range 30 {
			q.limit = q.limit.WithAnswer(now, 300*time.Millisecond)
		}
		q.limit = q.limit.WithShed(now)
		for seq := range uint64(2) {
			q.Update(now, SubmitMsg{Seq: seq, Order: order("", true), Deadline: now.Add(2 * time.Second)})
		}
		told := pick[AnswerCmd](q.Update(now, SubmitMsg{Seq: 9, Order: order("", true), Deadline: now.Add(100 * time.Millisecond)}))
		So(told, ShouldHaveLength, 1)
		So(told[0].Answer.Code, ShouldEqual, retry.TooLate)
	})
	Convey("A queue without a snapshot refuses and does not fail", t, func() {
		told := pick[AnswerCmd](New(address, nil).Update(time.Unix(1, 0), SubmitMsg{Seq: 1, Order: order("", true)}))
		So(told[0].Answer.Code, ShouldEqual, retry.NotReady)
	})
}

func BenchmarkOrder(b *testing.B) {
	now := time.Unix(1000, 0)
	q := granted(now, table.Daemon{})
	o := order("", true)
	b.ReportAllocs()
	for seq := uint64(1); b.Loop(); seq++ {
		q.Update(now, SubmitMsg{Seq: seq, Order: o, Deadline: now.Add(time.Second)})
		q.Update(now, AnsweredMsg{Seq: seq, Answer: &wire.Answer{}, Latency: time.Millisecond})
	}
}

package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// partsOf reads the newest limits, by bucket.
func partsOf(s *story) map[int]float64 {
	out := map[int]float64{}
	for _, c := range s.cmds {
		if l, ok := c.(LimitCmd); ok {
			clear(out)
			for _, x := range l.Limits {
				out[x.Bucket] = x.Fraction
			}
		}
	}
	return out
}

// admitted is the load of each server that limits leave, as a share of its slots.
func (l *load) admitted(s *story, parts map[int]float64) map[string]float64 {
	out := map[string]float64{}
	for _, r := range s.k.Table().Services[0].Ranges {
		for b := Bucket(r.From); r.IsOpen() && b <= Bucket(r.To); b++ {
			part, limited := parts[b]
			if !limited {
				part = 1
			}
			out[r.Holder.Server] += l.rates[b] * l.work * l.speeds[r.Holder.Server] / l.slots * part
		}
	}
	return out
}

// passReporting plays requests for a while, with what the servers tell of their queues.
func (l *load) passReporting(s *story, d time.Duration, result grant.Result) {
	for end := s.now.Add(d); s.now.Before(end); {
		m := l.count(s.now, time.Second/2)
		for server, busy := range l.admitted(s, partsOf(s)) {
			full := 0
			if busy > 1 {
				full = 4
			}
			m.Reports = append(m.Reports, Report{Server: server, Answers: 4, Full: full})
		}
		s.tell(m)
		s.pass(time.Second/2, always(result), always(result))
	}
}

// Guards against one hot key, asked for by all daemons at once, that fills its holder's
// queue with late requests and holds up the other keys there.
func TestOneHotKeyIsLimited(t *testing.T) {
	Convey("What its holder cannot run is cut, and no other key", t, func() {
		l, _, s := started(200)
		before := partsOf(s)
		So(before, ShouldBeEmpty)
		const hot = 700
		l.rates[hot] = 400
		l.passReporting(s, 2*time.Second, grant.Done)
		parts := partsOf(s)
		So(parts, ShouldHaveLength, 1)
		So(parts[hot], ShouldBeBetween, 0.05, 0.4)
		Convey("When nobody asks for it any more the limit goes", func() {
			l.rates[hot] = 1
			l.passReporting(s, 2*time.Second, grant.Done)
			So(partsOf(s), ShouldBeEmpty)
		})
	})
}

// Guards against a hot stretch of neighbouring keys, held by few servers, whose
// requests wait in full queues until moves have spread the keys.
func TestHotNeighboursAreLimited(t *testing.T) {
	Convey("No server is sent much more than its slots can run", t, func() {
		l, _, s := started(200)
		for b := 700; b < 780; b++ {
			l.rates[b] += 6
		}
		s.tell(FleetMsg{Fleet: s.k.fleet, Keyed: []string{oneService}, Daemons: 195})
		l.passReporting(s, time.Second, grant.NotSent) // nothing has moved yet
		unlimited, limited := 0.0, 0.0
		for _, busy := range l.admitted(s, nil) {
			unlimited = max(unlimited, busy)
		}
		for _, busy := range l.admitted(s, partsOf(s)) {
			limited = max(limited, busy)
		}
		t.Logf("the busiest server is sent %.2f of its slots, without limits %.2f", limited, unlimited)
		So(unlimited, ShouldBeGreaterThan, 2)
		So(limited, ShouldBeLessThan, 1.3)
	})
}

// Guards against moves that close keys of long requests for longer than they save.
func TestMovesCostWhatTheyTake(t *testing.T) {
	Convey("The time that moves take is learned from moves", t, func() {
		s := begin(grant.Range{Holder: holder(named("a", false))})
		s.fleet(named("a", false), named("b", false))
		s.tell(OldLeaderMsg{At: s.now})
		s.pass(time.Second, always(grant.Done), always(grant.Done))
		before := s.k.shares[0].moveTakes
		sp := s.k.shares[0].spans[0]
		s.k.move(s.k.shares[0], sp, holder(named("b", false)), "balance")
		s.pass(200*time.Millisecond, always(grant.Done), always(grant.Unsure)) // work still runs there
		s.now = s.now.Add(3 * time.Second)
		s.tell(ReleasedMsg{Cmd: ReleaseCmd{Service: oneService, Holder: sp.Holder, Call: grant.Call{From: sp.From, To: sp.To}}, Result: grant.Done, Handover: "h"})
		s.pass(time.Second, always(grant.Done), always(grant.Done))
		So(sp.Holder.Server, ShouldEqual, "b")
		So(s.k.shares[0].moveTakes, ShouldBeGreaterThan, before+200*time.Millisecond)
	})
}

// Guards against limits that refuse what few daemons, who know a holder's queue, would
// let in and see answered.
func TestFewDaemonsAreLimitedLess(t *testing.T) {
	Convey("Where few daemons send, holders may be filled further", t, func() {
		s := begin(grant.Range{Holder: holder(named("a", false))})
		s.k.daemons = 9
		few := s.k.fillable(s.k.shares[0], named("a", false))
		s.k.daemons = 195
		So(few, ShouldBeGreaterThan, 1)
		So(s.k.fillable(s.k.shares[0], named("a", false)), ShouldBeLessThan, 1)
	})
}

// Guards against permits that cost more than they tell, and holders that go without them.
func TestContendedHoldersAreNamed(t *testing.T) {
	named := func(daemons int, work float64) []string {
		l, _, s := started(200)
		l.work = work
		s.tell(FleetMsg{Fleet: s.k.fleet, Keyed: []string{oneService}, Daemons: daemons})
		l.rates[700] = 60 / work
		l.passReporting(s, time.Second, grant.NotSent)
		var out []string
		for _, c := range s.cmds {
			if l, ok := c.(LimitCmd); ok {
				out = l.Contended
			}
		}
		return out
	}
	Convey("Only those with long queues, of long work, that many daemons send to", t, func() {
		So(named(195, 0.05), ShouldHaveLength, 1)
		So(named(9, 0.05), ShouldBeEmpty)
		So(named(195, 0.005), ShouldBeEmpty)
	})
}

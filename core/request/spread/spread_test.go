package spread

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

var t0 = time.Unix(1000, 0)

var service = config.Service{Name: "s", Connections: 100, Cold: 3 * time.Second, ColdRate: 12}

func servers(n int) []fleet.Server {
	var out []fleet.Server
	for i := range n {
		out = append(out, fleet.Server{ID: fmt.Sprintf("s%d", i), Service: "s", DataCentre: "x", Slots: 4, StartMillis: 1})
	}
	return out
}

func need(now time.Time) Need {
	return Need{Route: "r", Service: service, Aim: 400 * time.Millisecond, Priority: 1, Began: now, Deadline: now.Add(time.Second), Near: "x"}
}

func fresh() *Spread { return New(1, Limits{ColdFactor: 1.5, ColdSlack: 5, Daemons: 2}) }

// answer plays a request that takes so long at a server.
func answer(s *Spread, now time.Time, v fleet.Server, took time.Duration, o Outcome) {
	n := need(now)
	s.Begin(now, v, n)
	s.End(now.Add(took), v, n, now, o, nil)
}

// Guards against callers that wait at a hanging server, of which no average learns.
func TestHangingServerIsLeft(t *testing.T) {
	Convey("What is under way for long makes a server the last choice", t, func() {
		s, vs := fresh(), servers(2)
		for i := range 20 {
			answer(s, t0.Add(time.Duration(i)*time.Second), vs[i%2], 100*time.Millisecond, Answered)
		}
		now := t0.Add(time.Minute)
		s.Begin(now, vs[0], need(now))
		now = now.Add(2 * time.Second)
		for range 20 {
			So(s.Choose(now, need(now), vs).Server.ID, ShouldEqual, "s1")
		}
	})
}

func TestChoose(t *testing.T) {
	Convey("Requests go to the emptier server", t, func() {
		s, vs := fresh(), servers(2)
		for range 8 {
			s.Begin(t0, vs[0], need(t0))
		}
		So(s.Choose(t0, need(t0), vs).Server.ID, ShouldEqual, "s1")
	})
	Convey("What other daemons have under way counts", t, func() {
		s, vs := fresh(), servers(2)
		s.SetPeer(t0, "d2", map[string]int{"s0": 9})
		So(s.Choose(t0, need(t0), vs).Server.ID, ShouldEqual, "s1")
	})
	Convey("Another data centre is chosen only when waiting here costs more", t, func() {
		s, vs := fresh(), servers(2)
		vs[1].DataCentre = "y"
		So(s.Choose(t0, need(t0), vs).Server.ID, ShouldEqual, "s0")
		for range 12 {
			s.Begin(t0, vs[0], need(t0))
		}
		So(s.Choose(t0, need(t0), vs).Server.ID, ShouldEqual, "s1")
	})
	Convey("Draining servers and those already tried are no choice", t, func() {
		s, vs := fresh(), servers(2)
		vs[0].Draining = true
		n := need(t0)
		n.Tried = []string{"s1"}
		c := s.Choose(t0, n, vs)
		So(c.Reason, ShouldEqual, None)
		So(c.RetryAfter, ShouldBeGreaterThan, 0)
	})
	Convey("A failing server gets a trickle, by which its recovery shows", t, func() {
		s, vs := fresh(), servers(1)
		for i := range 10 {
			answer(s, t0.Add(time.Duration(i)*time.Millisecond), vs[0], time.Millisecond, Failed)
		}
		tried := 0
		for range 1000 {
			if !s.Choose(t0.Add(time.Second), need(t0.Add(time.Second)), vs).Refused() {
				tried++
			}
		}
		So(tried, ShouldBeBetween, 5, 120)
	})
	Convey("A server that refuses connections is left alone, then taken for cold", t, func() {
		s, vs := fresh(), servers(1)
		answer(s, t0, vs[0], time.Millisecond, Unreachable)
		So(s.Choose(t0.Add(100*time.Millisecond), need(t0), vs).Reason, ShouldEqual, Unreached)
		now := t0.Add(refusedPause + 10*time.Millisecond)
		So(s.Choose(now, need(now), vs).Reason, ShouldEqual, ColdFull)
		s.SetCold(now, vs[0])
		So(s.Choose(now, need(now), vs).Refused(), ShouldBeFalse)
	})
}

// Guards against callers that each wait for a connection to the same server in vain.
func TestServerOutOfReach(t *testing.T) {
	start := func() (*Spread, fleet.Server) {
		s, v := fresh(), servers(1)[0]
		answer(s, t0, v, 300*time.Millisecond, Silent)
		return s, v
	}
	Convey("The next requests are refused at once", t, func() {
		s, v := start()
		now := t0.Add(300 * time.Millisecond)
		So(s.Judge(now, need(now), v).Reason, ShouldEqual, Unreached)
	})
	Convey("After a while one request at a time tries again", t, func() {
		s, v := start()
		now := t0.Add(300*time.Millisecond + silentPause)
		So(s.Judge(now, need(now), v).Refused(), ShouldBeFalse)
		s.Begin(now, v, need(now))
		So(s.Judge(now, need(now), v).Reason, ShouldEqual, Unreached)
	})
	Convey("An answer ends that", t, func() {
		s, v := start()
		now := t0.Add(300*time.Millisecond + silentPause)
		answer(s, now, v, time.Millisecond, Answered)
		s.Begin(now, v, need(now))
		So(s.Judge(now, need(now), v).Refused(), ShouldBeFalse)
	})
}

// Guards against an idle server that is left alone since it declined a request.
func TestIdleServerDeclines(t *testing.T) {
	Convey("Its slots still count as free", t, func() {
		s, v := fresh(), servers(1)[0]
		n := need(t0)
		s.Begin(t0, v, n)
		s.End(t0, v, n, t0, Shed, &Report{Slots: 4})
		So(s.Judge(t0, n, v).free, ShouldBeTrue)
	})
	Convey("A full one counts as full", t, func() {
		s, v := fresh(), servers(1)[0]
		n := need(t0)
		s.Begin(t0, v, n)
		s.End(t0, v, n, t0, Shed, &Report{Running: 4, Waiting: 2, Slots: 4})
		So(s.Judge(t0, n, v).free, ShouldBeFalse)
	})
}

// Guards against requests that wait past their aim, and against slots that stay idle.
func TestBurst(t *testing.T) {
	Convey("A request that would come late is refused at once", t, func() {
		s, vs := fresh(), servers(1)
		for i := range 30 {
			answer(s, t0.Add(time.Duration(i)*time.Second), vs[0], 150*time.Millisecond, Answered)
		}
		now := t0.Add(time.Minute)
		taken := map[int]int{}
		for range 40 {
			for _, priority := range []int{1, 2} {
				n := need(now)
				n.Priority = priority
				c := s.Choose(now, n, vs)
				if c.Refused() {
					So(c.Reason, ShouldEqual, Busy)
					So(c.RetryAfter, ShouldBeBetweenOrEqual, 40*time.Millisecond, 400*time.Millisecond)
					continue
				}
				s.Begin(now, vs[0], n)
				taken[priority]++
			}
		}
		So(taken[1]+taken[2], ShouldBeBetween, 4, 16)
		So(taken[1], ShouldBeGreaterThanOrEqualTo, taken[2])
	})
	Convey("An idle slot is used although the answer will be late", t, func() {
		s, vs := fresh(), servers(1)
		for i := range 200 {
			answer(s, t0.Add(time.Duration(i)*time.Second), vs[0], 600*time.Millisecond, Answered)
		}
		now := t0.Add(time.Hour)
		So(s.Choose(now, need(now), vs).Refused(), ShouldBeFalse)
	})
}

// Guards against a cold server that gets more than it bears from daemons that cannot talk.
func TestColdServerOverAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 100).Draw(t, "daemons")
		limits := Limits{ColdFactor: 1.5, ColdSlack: rapid.Float64Range(5, 8).Draw(t, "slack"), Daemons: daemons}
		v := servers(1)[0]
		var spreads []*Spread
		for i := range daemons {
			l := limits
			l.Index = i
			s := New(uint64(i), l)
			s.AssumeCold(v, t0.Add(time.Minute))
			spreads = append(spreads, s)
		}
		var sent []time.Time
		for now := t0; now.Before(t0.Add(4 * time.Second)); now = now.Add(20 * time.Millisecond) {
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				s := spreads[rapid.IntRange(0, daemons-1).Draw(t, "at")]
				n := need(now)
				if !s.Judge(now, n, v).Refused() {
					s.Begin(now, v, n)
					s.End(now, v, n, now, CalledOff, nil)
					sent = append(sent, now)
				}
			}
		}
		bound := service.ColdRate*limits.ColdFactor + limits.ColdSlack
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			if float64(i-first+1) > bound {
				t.Fatalf("%d requests within a second, %v allowed", i-first+1, bound)
			}
		}
	})
}

// Guards against requests that cross to data centres as overloaded as their own.
func TestUnknownDataCentresAreNoBetter(t *testing.T) {
	loaded := func(waiting int) (*Spread, []fleet.Server) {
		s, vs := fresh(), servers(12)
		for i := range vs {
			if i >= 6 {
				vs[i].DataCentre = "y"
			}
		}
		for i := range 30 {
			n := need(t0)
			s.Begin(t0, vs[i%6], n)
			s.End(t0.Add(200*time.Millisecond), vs[i%6], n, t0, Answered, &Report{Running: 4, Waiting: waiting, Slots: 4, Bytes: 5000})
		}
		return s, vs
	}
	now := t0.Add(600 * time.Millisecond)
	Convey("With some room left here nothing crosses", t, func() {
		s, vs := loaded(1)
		So(s.Choose(now, need(now), vs).Server.DataCentre, ShouldEqual, "x")
	})
	Convey("In deep overload all are refused", t, func() {
		s, vs := loaded(12)
		So(s.Choose(now, need(now), vs).Reason, ShouldEqual, Busy)
	})
}

// Guards against a request that is sent again at once to a server that has reset it for want of room.
func TestServerThatResetsIsFull(t *testing.T) {
	ended := func(after time.Duration, o Outcome) (*Spread, Choice) {
		s, v := fresh(), servers(1)[0]
		for range 20 {
			answer(s, t0, v, 300*time.Millisecond, Answered)
		}
		s.TakePaces(false)
		answer(s, t0, v, after, o)
		now := t0.Add(after)
		return s, s.Judge(now, need(now), v)
	}
	Convey("A reset within milliseconds says that the queue is long", t, func() {
		s, c := ended(2*time.Millisecond, TurnedAway)
		So(c.Reason, ShouldEqual, Busy)
		So(s.TakePaces(false)[0].Full, ShouldEqual, 1)
	})
	Convey("Another failure, or a kept connection that broke, says nothing of that", t, func() {
		_, c := ended(2*time.Millisecond, Failed)
		So(c.Refused(), ShouldBeFalse)
	})
	Convey("One after as long as a run says that an answer was lost", t, func() {
		s, c := ended(250*time.Millisecond, TurnedAway)
		So(c.Refused(), ShouldBeFalse)
		So(s.TakePaces(true)[0].Full, ShouldEqual, 0)
	})
}

// Guards against a request that crashes the same server again whenever its caller retries.
func TestRequestTurnsToOtherServersThanItCrashed(t *testing.T) {
	Convey("Servers lost with it are asked last", t, func() {
		s, vs := fresh(), servers(6)
		var lost []string
		for range vs {
			n := need(t0)
			n.Lost = lost
			c := s.Choose(t0, n, vs)
			So(c.Refused(), ShouldBeFalse)
			So(lost, ShouldNotContain, c.Server.ID)
			lost = append(lost, c.Server.ID)
		}
		n := need(t0)
		n.Lost = lost
		So(s.Choose(t0, n, vs).Refused(), ShouldBeFalse)
		n.Tried = lost
		So(s.Choose(t0, n, vs).Reason, ShouldEqual, None)
	})
}

// Guards against reports that grow with the servers of a site, and not with their use.
func TestPacesTellWhatIsNew(t *testing.T) {
	Convey("Only servers that answered since the last report are in it", t, func() {
		s, vs := fresh(), servers(3)
		for _, v := range vs {
			answer(s, t0, v, 100*time.Millisecond, Answered)
		}
		So(s.TakePaces(false), ShouldHaveLength, 3)
		So(s.TakePaces(false), ShouldBeEmpty)
		now := t0.Add(time.Second)
		for _, pace := range []float64{1, 4} {
			s.Begin(now, vs[1], need(now))
			s.End(now, vs[1], need(now), now, Answered, &Report{Running: 1, Waiting: 4, Slots: 4, Pace: pace})
		}
		So(s.TakePaces(false), ShouldResemble, []Pace{{Server: "s1", Factor: 2.5, Answers: 2, Heard: 2, Full: 2}})
	})
	Convey("A new leader gets what was learned before", t, func() {
		s, vs := fresh(), servers(3)
		for _, v := range vs {
			answer(s, t0, v, 100*time.Millisecond, Answered)
		}
		s.TakePaces(false)
		So(s.TakePaces(true), ShouldHaveLength, 3)
	})
}

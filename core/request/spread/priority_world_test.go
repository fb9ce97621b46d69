package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/class"
	"catkinstep/core/request/permit"
)

// surgeRates are requests per second of the ranks 0, 1 and 2, at surgeDaemons daemons with
// surgeServers servers. These do 320 a second: 16 slots by 50 ms.
type surgeRates [3]float64

const (
	surgeDaemons  = 8
	surgeServers  = 4
	surgeSlots    = 4
	surgeWork     = 50 * time.Millisecond
	surgeLearning = time.Second
	surgeAttempts = 2
	// surgeTolerance is for chance where two ranks get little more than their promoted requests.
	surgeTolerance = 0.03
)

var surgeTargets = [3]time.Duration{800 * time.Millisecond, time.Second, 2 * time.Second}

// surge is requests of three ranks to servers that cannot run all of them.
type surge struct {
	*simulation
	rates           surgeRates
	offered, inTime [3]int
}

// surgeCase is a surge at a data centre of a site with as many daemons in each of its data centres.
type surgeCase struct {
	name                 string
	daemons, dataCentres int
	// scale is how many times the servers and the rates of surgeDaemons there are.
	scale        int
	rates        surgeRates
	span         time.Duration
	callersRetry bool
	keyed        bool
}

func newSurge(tc surgeCase) *surge {
	local := tc.daemons / tc.dataCentres
	s := &surge{simulation: newSimulation(local, surgeServers*tc.scale/tc.dataCentres), rates: tc.rates}
	s.traffic, s.steady, s.callersRetry = s, true, tc.callersRetry
	s.maxAttempts, s.meanServiceSeconds = surgeAttempts, surgeWork.Seconds()
	for _, d := range s.daemons {
		d.limits.Daemons = tc.daemons
	}
	for i, b := range s.servers {
		b.slowdown, b.server.Slots, s.serverList[i].Slots = 1, surgeSlots, surgeSlots
	}
	if permit.QueueVisibility(tc.daemons, surgeSlots) < 1 {
		s.permits = permit.NewIssuer(1)
	}
	if tc.keyed {
		// A holder's decline ends the request, and only the leader says which holders need permits.
		s.template.Service.Keyed, s.maxAttempts, s.permits = true, 1, nil
	}
	s.promoters = make([]class.Promoter, len(s.daemons))
	s.learnServiceTimes()
	return s
}

// learnServiceTimes lets the daemons serve some requests of each route before the surge. Responses of
// servers with a queue do not tell how long a request takes.
func (s *surge) learnServiceTimes() {
	for _, d := range s.daemons {
		for rank := range s.rates {
			req := s.template
			s.arrived(origin{workspace: rank}, &req)
			for i := range 100 {
				server, at := s.serverList[i%len(s.serverList)], t0.Add(time.Duration(i-101)*100*time.Millisecond)
				d.Begin(at, server, req)
				d.End(at.Add(surgeWork), server, req, at, Answered, &Report{Running: 1, Slots: surgeSlots, Slowdown: 1, Bytes: 5000})
			}
		}
	}
}

func (r surgeRates) total() float64 { return r[0] + r[1] + r[2] }

func (s *surge) pickOrigin() origin {
	drawn, rank := s.random.Float64()*s.rates.total(), 0
	for rank < 2 && drawn >= s.rates[rank] {
		drawn -= s.rates[rank]
		rank++
	}
	return origin{daemon: s.random.IntN(len(s.daemons)), workspace: rank}
}

func (s *surge) arrived(from origin, req *Requirements) {
	rank := from.workspace
	req.Route, req.Priority, req.Rank = []string{"first", "second", "third"}[rank], rank, rank
	req.LatencyTarget = surgeTargets[rank]
	req.Deadline = req.ReceivedAt.Add(5 * req.LatencyTarget / 2)
	s.drawPromotion(from, req)
}

func (s *surge) ended(from origin, _, inTime bool) {
	if s.now.Sub(t0) < surgeLearning {
		return
	}
	s.offered[from.workspace]++
	if inTime {
		s.inTime[from.workspace]++
	}
}

// play returns the share of the requests of each rank that were answered in time, and that of all.
func (s *surge) play(tc surgeCase) (shares [3]float64, all float64) {
	s.run(tc.rates.total()*float64(tc.scale)/float64(tc.dataCentres), tc.span)
	offered, inTime := 0, 0
	for rank := range shares {
		shares[rank] = float64(s.inTime[rank]) / float64(s.offered[rank])
		offered += s.offered[rank]
		inTime += s.inTime[rank]
	}
	return shares, float64(inTime) / float64(offered)
}

var (
	surgeOfAll   = surgeRates{173, 173, 230}
	surgeOfFirst = surgeRates{576, 50, 50}
	surgeOfThird = surgeRates{60, 60, 600}
)

// Guards against a surge in which the least urgent requests, which have the longest targets, fill the
// queues and the most urgent ones are refused.
func TestSurge(t *testing.T) {
	for _, tc := range []surgeCase{
		{"all priorities, 8 daemons", 8, 1, 1, surgeOfAll, 60 * time.Second, false, false},
		{"all priorities, 24 daemons at the same servers", 24, 1, 1, surgeOfAll, 60 * time.Second, false, false},
		{"all priorities, 90 daemons", 90, 3, 12, surgeOfAll, 6 * time.Second, false, false},
		{"all priorities, 300 daemons", 300, 3, 36, surgeOfAll, 2 * time.Second, false, false},
		{"all priorities, 1500 daemons", 1500, 6, 192, surgeOfAll, 1500 * time.Millisecond, false, false},
		{"the third alone, 8 daemons", 8, 1, 1, surgeOfThird, 60 * time.Second, false, false},
		{"the third alone, 24 daemons at the same servers", 24, 1, 1, surgeOfThird, 60 * time.Second, false, false},
		{"the third alone, 90 daemons", 90, 3, 12, surgeOfThird, 6 * time.Second, false, false},
	} {
		checkSurge(t, tc)
	}
}

// Guards against promoted requests that take the room of the most urgent ones where callers retry, since each
// of their requests may be promoted twice.
func TestSurgeWithRetries(t *testing.T) {
	for _, tc := range []surgeCase{
		{"callers who retry, 8 daemons", 8, 1, 1, surgeOfAll, 60 * time.Second, true, false},
		{"callers who retry, 24 daemons at the same servers", 24, 1, 1, surgeOfAll, 60 * time.Second, true, false},
		{"callers who retry, 90 daemons", 90, 3, 12, surgeOfAll, 6 * time.Second, true, false},
	} {
		checkSurge(t, tc)
	}
}

// Guards against the most urgent requests for keys that are refused like others while no leader says how
// many requests to send to a key's holder.
func TestSurgeWithKeys(t *testing.T) {
	for _, tc := range []surgeCase{
		{"requests with keys, 8 daemons", 8, 1, 1, surgeOfAll, 60 * time.Second, false, true},
		{"requests with keys, 24 daemons at the same servers", 24, 1, 1, surgeOfAll, 60 * time.Second, false, true},
		{"requests with keys, 90 daemons", 90, 3, 12, surgeOfAll, 6 * time.Second, false, true},
		{"requests with keys and callers who retry, 8 daemons", 8, 1, 1, surgeOfAll, 60 * time.Second, true, true},
	} {
		checkSurge(t, tc)
	}
}

// Guards against the same where each daemon sends so few requests to a holder that it knows little of its
// queue.
func TestSurgeWithKeysAtManyDaemons(t *testing.T) {
	for _, tc := range []surgeCase{
		{"requests with keys, 300 daemons", 300, 3, 36, surgeOfAll, 2 * time.Second, false, true},
		{"requests with keys, 1500 daemons", 1500, 6, 192, surgeOfAll, 1500 * time.Millisecond, false, true},
	} {
		checkSurge(t, tc)
	}
}

func checkSurge(t *testing.T, tc surgeCase) {
	t.Helper()
	Convey("In a surge of "+tc.name+", the most urgent are served, and none is starved", t, func() {
		s := newSurge(tc)
		shares, all := s.play(tc)
		t.Logf("%s: in time %.3f, all %.3f; %d declined of %d", tc.name, shares, all, s.declined, s.simulation.offered)
		So(shares[0], ShouldBeGreaterThanOrEqualTo, 0.95)
		So(shares[1], ShouldBeBetweenOrEqual, shares[2], shares[0])
		So(shares[2], ShouldBeGreaterThanOrEqualTo, all/4)
	})
}

// Guards against less urgent requests that are starved by more urgent ones which exceed the capacity
// themselves.
func TestSurgeOfTheMostUrgent(t *testing.T) {
	for _, tc := range []surgeCase{
		{"8 daemons", 8, 1, 1, surgeOfFirst, 60 * time.Second, false, false},
		{"24 daemons at the same servers", 24, 1, 1, surgeOfFirst, 60 * time.Second, false, false},
		{"90 daemons", 90, 3, 12, surgeOfFirst, 6 * time.Second, false, false},
		{"300 daemons", 300, 3, 36, surgeOfFirst, 2 * time.Second, false, false},
		{"1500 daemons", 1500, 6, 192, surgeOfFirst, 1500 * time.Millisecond, false, false},
	} {
		Convey("With "+tc.name+", they are served no less than others, and the least urgent a quarter as often as all", t, func() {
			s := newSurge(tc)
			shares, all := s.play(tc)
			t.Logf("%s: in time %.3f, all %.3f; %d declined of %d", tc.name, shares, all, s.declined, s.simulation.offered)
			So(shares[1], ShouldBeBetweenOrEqual, shares[2]-surgeTolerance, shares[0])
			So(shares[2], ShouldBeGreaterThanOrEqualTo, all/4)
		})
	}
}

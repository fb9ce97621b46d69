package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

// site is the servers as a host reaches them.
type site struct {
	monitor *Monitor
	now     time.Time
	reaches func(address string) bool
	probes  int
	changes []ChangedCmd
}

func newSite(local, remote int) *site {
	s := &site{monitor: New(1), now: t0, reaches: func(string) bool { return true }}
	var servers []Server
	for i := range local {
		servers = append(servers, Server{Address: fmt.Sprintf("l%d", i), Local: true})
	}
	for i := range remote {
		servers = append(servers, Server{Address: fmt.Sprintf("r%d", i)})
	}
	s.update(ServersMsg{Servers: servers})
	return s
}

// update handles a message. Probes end at once.
func (s *site) update(m Msg) {
	for _, cmd := range s.monitor.Update(s.now, m) {
		switch cmd := cmd.(type) {
		case ChangedCmd:
			s.changes = append(s.changes, cmd)
		case ProbeCmd:
			s.probes += len(cmd.Addresses)
			probed := ProbedMsg{}
			for _, a := range cmd.Addresses {
				if s.reaches(a) {
					probed.AnyOK = true
					continue
				}
				probed.Failed = append(probed.Failed, a)
			}
			s.update(probed)
		}
	}
}

// advance lets time pass, with ticks.
func (s *site) advance(d time.Duration, silent bool) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		s.update(TickMsg{Silent: silent})
	}
}

func (s *site) dial(addresses ...string) {
	for _, a := range addresses {
		if s.reaches(a) {
			s.update(ConnectedMsg{At: s.now})
			continue
		}
		s.update(DialFailedMsg{Address: a})
	}
}

// Guards against a host that does not notice that it has lost its links, or that they are back.
func TestCutOffHostIsFound(t *testing.T) {
	for _, servers := range []int{1, 2, 3, 24, 3000} {
		Convey(fmt.Sprintf("A host that reaches none of %d servers is cut off within a second, until it reaches one", servers), t, func() {
			s := newSite((servers+1)/2, servers/2)
			s.reaches = func(string) bool { return false }
			s.dial("l0")
			if servers > 1 {
				s.dial("r0")
			}
			s.advance(time.Second, false)
			So(s.monitor.CutOff(), ShouldBeTrue)
			s.advance(5*time.Second, false)
			s.reaches = func(string) bool { return true }
			s.advance(time.Second, false)
			So(s.monitor.CutOff(), ShouldBeFalse)
			So(len(s.changes), ShouldEqual, 2)
		})
	}
	Convey("A host whose open connections break, and which needs no new ones, finds out by itself", t, func() {
		s := newSite(6, 18)
		s.reaches = func(string) bool { return false }
		s.update(LostMsg{Address: "l0"})
		s.update(LostMsg{Address: "l0"})
		So(s.probes, ShouldEqual, 0)
		s.update(LostMsg{Address: "r3"})
		s.advance(700*time.Millisecond, false)
		So(s.monitor.CutOff(), ShouldBeTrue)
	})
	Convey("A host whose connections all hang finds out without a failed attempt", t, func() {
		s := newSite(6, 18)
		s.reaches = func(string) bool { return false }
		s.advance(time.Second, true)
		So(s.monitor.CutOff(), ShouldBeTrue)
	})
}

// Guards against a host that gives up its links because some servers have ended, or another data centre
// is cut off.
func TestLostServersAreNoCut(t *testing.T) {
	Convey("While a host reaches some servers, it is not cut off", t, func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 2))
			s := newSite(6, 18)
			lostShare, localOnly := 0.8*random.Float64(), seed%2 == 0
			lost := map[string]bool{}
			for _, server := range s.monitor.servers {
				lost[server.Address] = random.Float64() < lostShare && server.Address != "l0" || localOnly && !server.Local
			}
			s.reaches = func(a string) bool { return !lost[a] }
			for range 40 {
				s.dial(s.monitor.servers[random.IntN(24)].Address)
				s.advance(100*time.Millisecond, false)
			}
			off := time.Duration(0)
			for range 100 {
				s.advance(50*time.Millisecond, true)
				if s.monitor.CutOff() {
					off += 50 * time.Millisecond
				}
			}
			So(off, ShouldBeLessThan, time.Second)
		}
	})
	Convey("Late news of a connection does not hide failures since, nor end a cut", t, func() {
		s := newSite(6, 18)
		s.reaches = func(string) bool { return false }
		s.now = s.now.Add(time.Second)
		s.dial("l0", "r0")
		s.update(ConnectedMsg{At: t0})
		s.advance(time.Second, false)
		So(s.monitor.CutOff(), ShouldBeTrue)
		s.update(ConnectedMsg{At: t0.Add(500 * time.Millisecond)})
		So(s.monitor.CutOff(), ShouldBeTrue)
	})
	Convey("While some servers are lost, a host probes others about once a second", t, func() {
		s := newSite(6, 18)
		s.reaches = func(a string) bool { return a != "l1" && a != "r1" }
		for range 100 {
			s.dial("l1", "r1")
			s.advance(100*time.Millisecond, false)
		}
		So(s.probes, ShouldBeLessThanOrEqualTo, 10*probesAtOnce)
	})
	Convey("A host with no reason for suspicion probes nobody", t, func() {
		s := newSite(6, 18)
		s.reaches = func(a string) bool { return a != "l1" }
		for range 20 {
			s.dial("l1")
			s.advance(time.Second, false)
		}
		So(s.probes, ShouldEqual, 0)
	})
}

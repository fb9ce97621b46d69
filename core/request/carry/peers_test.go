package carry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

func candidates(local, remote int) []Peer {
	var out []Peer
	for i := range local {
		out = append(out, Peer{Address: fmt.Sprintf("l%d", i), Local: true})
	}
	for i := range remote {
		out = append(out, Peer{Address: fmt.Sprintf("r%d", i)})
	}
	return out
}

// Guards against requests that are sent to a daemon which is lost as well, or cannot carry them.
func TestOnlyDaemonsThatAgreedAreChosen(t *testing.T) {
	Convey("A daemon is chosen for a short time after it agreed", t, func() {
		p := New("d")
		So(p.Targets(t0, candidates(2, 2)), ShouldHaveLength, 4)
		_, ok := p.Choose(t0, nil)
		So(ok, ShouldBeFalse)
		p.RecordAnswer(t0, "l0", false)
		p.RecordAnswer(t0, "r1", true)
		peer, ok := p.Choose(t0, nil)
		So(ok, ShouldBeTrue)
		So(peer.Address, ShouldEqual, "r1")
		_, ok = p.Choose(t0, []string{"r1"})
		So(ok, ShouldBeFalse)
		_, ok = p.Choose(t0.Add(answerTTL), nil)
		So(ok, ShouldBeFalse)
		So(p.Targets(t0, candidates(2, 2)), ShouldNotContain, "l0")
		So(p.Targets(t0.Add(retryDelay), candidates(2, 2)), ShouldContain, "l0")
	})
	Convey("Of many candidates few are asked, and others after those decline", t, func() {
		p, all := New("d"), candidates(100, 300)
		asked := map[string]bool{}
		for i := range 20 {
			now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
			targets := p.Targets(now, all)
			So(targets, ShouldHaveLength, 2*maxTargets)
			for _, a := range targets {
				So(asked[a], ShouldBeFalse)
				asked[a] = true
				p.RecordAnswer(now, a, false)
			}
		}
	})
}

// Guards against one daemon that carries all requests, and against needless traffic between data
// centres.
func TestRequestsAreSpread(t *testing.T) {
	Convey("Requests go to the own data centre first, and evenly", t, func() {
		p := New("d")
		for _, a := range p.Targets(t0, candidates(2, 2)) {
			p.RecordAnswer(t0, a, true)
		}
		counts := map[string]int{}
		for range 24 {
			peer, _ := p.Choose(t0, nil)
			p.Begin(peer.Address)
			counts[peer.Address]++
		}
		So(counts, ShouldResemble, map[string]int{"l0": 8, "l1": 8, "r0": 4, "r1": 4})
	})
	Convey("The requests of many hosts are spread over all that carry them", t, func() {
		counts := map[string]int{}
		for i := range 100 {
			p := New(fmt.Sprintf("d%d", i))
			for _, a := range p.Targets(t0, candidates(0, 50)) {
				p.RecordAnswer(t0, a, true)
			}
			for range 8 {
				peer, _ := p.Choose(t0, nil)
				p.Begin(peer.Address)
				counts[peer.Address]++
			}
		}
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		So(len(counts), ShouldBeGreaterThan, 45)
		So(most, ShouldBeLessThan, 3*100*8/50)
	})
}

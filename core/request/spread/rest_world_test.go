package spread

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/notice"
	"catkinstep/core/version/fleet"
)

// restCompare prints, for TestRestOverAllDaemons, what becomes of requests if rests are ignored, kept to, or shared by all daemons.
var restCompare = flag.Bool("rest.compare", false, "compare ways to treat rests in TestRestOverAllDaemons")

// restMode is what the daemons of a simulation do when a server asks one of them for rest.
type restMode int

const (
	restsIgnored restMode = iota
	restsKept             // by the daemon that was asked
	restsShared           // by all daemons
)

// restRecord is when a daemon was last asked for rest by a server, and until when.
type restRecord struct{ askedAt, until time.Time }

// restWorld is a simulation whose servers ask for rest when they decline a request.
type restWorld struct {
	*simulation
	mode   restMode
	rest   time.Duration
	tables []*notice.Table
	asked  map[string]restRecord // by daemon and server
	// arrivals counts the requests that reached a server from one daemon in its rest, after the first half second,
	// and arrivedResting is the largest of them.
	arrivals       map[string]int
	arrivedResting int
	rests          int
}

func newRestWorld(daemons, servers int, mode restMode, rest time.Duration) *restWorld {
	w := &restWorld{simulation: newSimulation(daemons, servers), mode: mode, rest: rest, asked: map[string]restRecord{}, arrivals: map[string]int{}}
	for i, d := range w.daemons {
		table := notice.NewTable(uint64(i))
		w.tables = append(w.tables, table)
		WithNotices(table)(d)
	}
	w.observer = w
	return w
}

func restKey(from origin, s fleet.Server) string { return fmt.Sprintf("%d %s", from.daemon, s.ID) }

// arrivedAt implements serverObserver.
func (w *restWorld) arrivedAt(from origin, s fleet.Server) {
	key := restKey(from, s)
	if r := w.asked[key]; w.now.After(r.askedAt.Add(500*time.Millisecond)) && w.now.Before(r.until) {
		w.arrivals[key]++
		w.arrivedResting = max(w.arrivedResting, w.arrivals[key])
	}
}

// declinedBy implements serverObserver. A daemon is asked again only after its rest.
func (w *restWorld) declinedBy(from origin, s fleet.Server) {
	key := restKey(from, s)
	if w.now.Before(w.asked[key].until) {
		return
	}
	w.rests++
	w.arrivals[key] = 0
	w.asked[key] = restRecord{askedAt: w.now, until: w.now.Add(w.rest)}
	for i, table := range w.tables {
		if w.mode == restsShared || w.mode == restsKept && i == from.daemon {
			table.Add(w.now, s, w.now, notice.Notice{Rest: w.rest})
		}
	}
}

// Guards against daemons that send requests to servers which have asked them for rest, however many there are.
func TestRestOverAllDaemons(t *testing.T) {
	const rest, servers, span = 3 * time.Second, 60, 12 * time.Second
	for _, daemons := range []int{8, 90, 1500} {
		Convey(fmt.Sprintf("%d daemons send none in the rest, and serve no less than if they ignored it", daemons), t, func() {
			load := 1.3 * float64(servers*3) / meanServiceTime.Seconds()
			shares := map[restMode]float64{}
			for mode := restsIgnored; mode <= restsShared; mode++ {
				if mode != restsKept && !*restCompare && daemons != 90 {
					continue
				}
				w := newRestWorld(daemons, servers, mode, rest)
				w.run(load, span)
				shares[mode] = float64(w.inTime) / float64(w.offered)
				if mode != restsIgnored {
					So(w.arrivedResting, ShouldEqual, 0)
				}
				t.Logf("%d daemons, mode %d: in time %.3f, late %d, refused %d, declined %d of %d; %d rests, at most %d in one", daemons, mode, shares[mode], w.late, w.refused, w.declined, w.offered, w.rests, w.arrivedResting)
			}
			if before, ok := shares[restsIgnored]; ok {
				So(shares[restsKept], ShouldBeGreaterThan, before-0.1)
			}
		})
	}
}

// Guards against callers and hosts that all come back at the moment at which the rest of a server ends.
func TestReturnAfterRest(t *testing.T) {
	const rest, callers = 3 * time.Second, 3000
	s := fleet.Server{ID: "a", Service: "s", StartMillis: 1}
	for _, daemons := range []int{8, 90, 1500} {
		Convey(fmt.Sprintf("The callers of %d hosts come back spread over time, none before the end", daemons), t, func() {
			returns, wrong := map[int64]int{}, 0
			for i := range daemons {
				table := notice.NewTable(uint64(i))
				b := New(uint64(i), Limits{}, WithNotices(table))
				table.Add(t0, s, t0, notice.Notice{Rest: rest})
				for n := range callers / daemons {
					now := t0.Add(rest * time.Duration(n) / time.Duration(callers/daemons))
					refusal, rests := b.Resting(now, s)
					back := now.Add(refusal.RetryAfter)
					if !rests || !back.After(t0.Add(rest)) || back.After(t0.Add(rest+2*time.Second)) {
						wrong++
					}
					returns[back.UnixMilli()/10]++
				}
			}
			most := 0
			for _, n := range returns {
				most = max(most, n)
			}
			t.Logf("%d hosts: at most %d of %d callers come back within 10 ms", daemons, most, callers)
			So(wrong, ShouldEqual, 0)
			So(most, ShouldBeLessThan, callers/20)
		})
	}
}

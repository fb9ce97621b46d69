package class

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/config"
)

func routeTo(priority int, services ...string) config.Route {
	r := config.Route{Priority: priority}
	for _, s := range services {
		r.Destinations = append(r.Destinations, config.Destination{Service: s, Weight: 1})
	}
	return r
}

func always(int) bool { return true }

// Guards against a service whose routes all have the same priority, but whose requests are
// treated as less urgent because of routes of other services.
func TestRanks(t *testing.T) {
	ranks := NewRanks([]config.Route{routeTo(2, "a"), routeTo(0, "b"), routeTo(1, "b", "c"), routeTo(5, "b")})
	Convey("A priority is ranked among those of the same service", t, func() {
		So(ranks.Rank("a", 2, always), ShouldEqual, 0)
		So(ranks.Rank("b", 0, always), ShouldEqual, 0)
		So(ranks.Rank("b", 1, always), ShouldEqual, 1)
		So(ranks.Rank("b", 5, always), ShouldEqual, 2)
		So(ranks.Rank("c", 1, always), ShouldEqual, 0)
	})
	Convey("A priority that no route has is ranked by its value", t, func() {
		So(ranks.Rank("b", 3, always), ShouldEqual, 2)
		So(ranks.Rank("b", 9, always), ShouldEqual, 3)
		So(ranks.Rank("unknown", 7, always), ShouldEqual, 0)
		So(Ranks{}.Rank("a", 2, always), ShouldEqual, 0)
	})
	Convey("Where all routes of a service have one priority, those of workspaces make no ranks", t, func() {
		So(ranks.Rank("a", 3, always), ShouldEqual, 0)
		So(ranks.Rank("c", 9, always), ShouldEqual, 0)
	})
}

// Guards against a surge in which the less urgent requests take what the more urgent ones need, and
// against one of the most urgent requests that starves all others.
func TestFractions(t *testing.T) {
	served := func(demands, fractions []float64) (sum float64) {
		for i, d := range demands {
			sum += d * fractions[i]
		}
		return sum
	}
	for _, tc := range []struct {
		name     string
		demands  []float64
		fraction float64
	}{
		{"a surge of all", []float64{173, 173, 230}, 0.55},
		{"a surge of the most urgent", []float64{900, 50, 50}, 0.3},
		{"a surge of the least urgent", []float64{50, 50, 900}, 0.3},
		{"one rank only", []float64{0, 40, 0}, 0.2},
		{"room for nearly all", []float64{10, 10, 10}, 0.95},
	} {
		Convey("In "+tc.name+", the fractions fall with the rank, fill the fraction, and none is starved", t, func() {
			fractions := Fractions(tc.demands, tc.fraction)
			total := tc.demands[0] + tc.demands[1] + tc.demands[2]
			So(served(tc.demands, fractions), ShouldAlmostEqual, total*tc.fraction, 1e-9)
			last := 1.0
			for i, d := range tc.demands {
				if d == 0 {
					continue
				}
				So(fractions[i], ShouldBeBetweenOrEqual, tc.fraction/4, last+1e-9)
				last = fractions[i]
			}
		})
	}
	Convey("Where the most urgent fit beside the others' minimum, all of them are let through", t, func() {
		So(Fractions([]float64{173, 173, 230}, 0.55)[0], ShouldAlmostEqual, 1)
	})
	Convey("Without demand, all get the given fraction", t, func() {
		So(Fractions([]float64{0, 0}, 0.4), ShouldResemble, []float64{0.4, 0.4})
		So(Fractions([]float64{1, 2}, 1), ShouldResemble, []float64{1, 1})
	})
}

// Guards against promoted requests that take the room of the most urgent ones, and against ranks that are
// starved.
func TestPromoter(t *testing.T) {
	now := time.Unix(1000, 0)
	// play records a minute with 10 requests of each rank a second, of which the given shares are served.
	play := func(p *Promoter, urgentShare, otherShare float64) {
		for i := range 600 {
			now = now.Add(100 * time.Millisecond)
			p.Record(now, 0, float64(i%10) < 10*urgentShare)
			p.Record(now, 1, float64(i%10) < 10*otherShare)
		}
	}
	Convey("Before any outcome is known, the share is MinShare", t, func() {
		So(new(Promoter).Share(), ShouldEqual, MinShare)
	})
	Convey("It is lower if fewer requests are served than of rank 0, so that they are served MinShare as often as all", t, func() {
		var p Promoter
		play(&p, 1, 0.2)
		So(p.Share(), ShouldAlmostEqual, MinShare*0.6, 0.05)
	})
	Convey("It is MinShare where all are refused alike, and again when the overload has ended", t, func() {
		var p Promoter
		play(&p, 0.4, 0.4)
		So(p.Share(), ShouldAlmostEqual, MinShare, 0.02)
		play(&p, 1, 0.2)
		play(&p, 1, 1)
		So(p.Share(), ShouldAlmostEqual, MinShare, 0.01)
	})
	Convey("It is MinShare where requests of rank 0 are rare", t, func() {
		var p Promoter
		for range 600 {
			now = now.Add(10 * time.Millisecond)
			p.Record(now, 1, false)
		}
		p.Record(now, 0, false)
		So(p.Share(), ShouldAlmostEqual, MinShare, 0.001)
	})
	Convey("It never exceeds MinShare", t, func() {
		var p Promoter
		play(&p, 0.1, 1)
		So(p.Share(), ShouldEqual, MinShare)
	})
}

// Guards against a route that is configured but hardly requested, and makes all other requests of its service less
// urgent: they would be refused although nobody needs the room.
func TestDemand(t *testing.T) {
	ranks, demand, now := NewRanks([]config.Route{routeTo(0, "a"), routeTo(1, "a"), routeTo(2, "a")}), NewDemand(), time.Unix(1000, 0)
	rank := func(priority int) int {
		return ranks.Rank("a", priority, func(p int) bool { return demand.Has("a", p) })
	}
	add := func(priority, count int) {
		for range count {
			demand.Add(now, "a", priority)
		}
	}
	Convey("Only priorities with a part in the recent requests make others less urgent", t, func() {
		So(rank(2), ShouldEqual, 0)
		add(2, 96)
		add(1, 4)
		So(rank(2), ShouldEqual, 0)
		add(1, 4)
		So(rank(2), ShouldEqual, 1)
		add(0, 10)
		So(rank(2), ShouldEqual, 2)
		So(rank(1), ShouldEqual, 1)
		So(rank(0), ShouldEqual, 0)
		Convey("and no longer once their requests have ended", func() {
			now = now.Add(time.Minute)
			add(2, 20)
			So(rank(2), ShouldEqual, 0)
		})
	})
	Convey("A service that no longer exists is forgotten", t, func() {
		demand.Prune(func(string) bool { return false })
		So(demand.services, ShouldBeEmpty)
	})
}

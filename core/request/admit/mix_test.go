package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/class"
)

// serviceTimes are those of the routes of seat-broker and installer-fetch (see
// docs/design/hard-load.md), by rank.
var serviceTimes = []time.Duration{190 * time.Millisecond, 250 * time.Millisecond, 160 * time.Millisecond}

// offer is a load on daemons with a Limiter each: requests per second by rank.
type offer struct {
	daemons int
	// bucket is the load on the limited bucket, and others that on the other buckets of the service.
	bucket, others []float64
	// fraction is the leader's, and deferredShare the share of the requests that are deferred.
	fraction, deferredShare float64
}

// outcome is what was let through of the requests for the limited bucket.
type outcome struct{ offered, admitted [3]float64 }

func (o outcome) of(rank int) float64 { return o.admitted[rank] / o.offered[rank] }

// ofAll returns what was let through of all work.
func (o outcome) ofAll() float64 {
	offered, admitted := 0.0, 0.0
	for rank, t := range serviceTimes {
		offered += o.offered[rank] * t.Seconds()
		admitted += o.admitted[rank] * t.Seconds()
	}
	return admitted / offered
}

// world is a set of daemons that share a load at random.
type world struct {
	random   *rand.Rand
	limiters []*Limiter
	now      time.Time
}

func newWorld(daemons int) *world {
	w := &world{random: rand.New(rand.NewPCG(7, 7)), now: t0}
	for i := range daemons {
		w.limiters = append(w.limiters, NewLimiter(uint64(i)))
	}
	return w
}

// run offers a load with Poisson arrivals for a time, with new limits twice a second, and returns what
// becomes of the requests for the limited bucket.
func (w *world) run(o offer, d time.Duration) (out outcome) {
	rates := append(append([]float64{}, o.bucket...), o.others...)
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	nextLimits := w.now
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Duration(w.random.ExpFloat64() / total * float64(time.Second))) {
		if o.fraction > 0 && !w.now.Before(nextLimits) {
			for _, l := range w.limiters {
				l.SetLimits(w.now, []Limit{{Service: "s", Bucket: 1, Fraction: o.fraction}})
			}
			nextLimits = w.now.Add(time.Second / 2)
		}
		kind := 0
		for x := w.random.Float64() * total; x >= rates[kind] && kind < len(rates)-1; kind++ {
			x -= rates[kind]
		}
		rank, l := kind%3, w.limiters[w.random.IntN(len(w.limiters))]
		req := Request{Service: "s", Bucket: 1 + kind/3, Rank: rank, ServiceTime: serviceTimes[rank], Deferred: w.random.Float64() < o.deferredShare}
		l.Arrive(w.now, req)
		if _, ok := l.Admit(w.now, req); req.Bucket == 1 {
			out.offered[rank]++
			if ok {
				out.admitted[rank]++
			}
		}
	}
	return out
}

// scaled returns rates times a factor.
func scaled(rates []float64, factor float64) (out []float64) {
	for _, rate := range rates {
		out = append(out, rate*factor)
	}
	return out
}

// fits reports whether the demand of rank 0 and the minimum shares of the others fit into the fraction.
func (o offer) fits() bool {
	d, total := make([]float64, 3), 0.0
	for rank, t := range serviceTimes {
		d[rank] = o.bucket[rank] * t.Seconds()
		total += d[rank]
	}
	return d[0]*(1-class.MinShare*o.fraction) <= total*o.fraction*(1-class.MinShare)
}

// perDaemon are the requests per second for a keyed service at each daemon, by rank.
var perDaemon = []float64{3, 2.5, 4}

// sizes are the numbers of daemons.
var sizes = []int{8, 90, 300, 1500}

// Guards against an overloaded holder at which less urgent requests take the place of more urgent
// ones, against ranks that get nothing, and against a division that sends the holder more than the
// leader allows.
func TestRanksAtLimitedBucket(t *testing.T) {
	for _, tc := range []struct {
		name             string
		bucket, perOther []float64
		fraction         float64
	}{
		{"a surge of all ranks", []float64{90, 70, 120}, []float64{3, 2.3, 4}, 0.55},
		{"a greater surge of all ranks", []float64{90, 70, 120}, []float64{3, 2.3, 4}, 0.2},
		{"a surge of the most urgent", []float64{200, 40, 40}, []float64{5, 1, 1}, 0.3},
		{"a surge of the least urgent", []float64{40, 40, 200}, []float64{1, 1, 5}, 0.3},
		{"a hot key that rank 0 alone requests", []float64{240, 0, 0}, perDaemon, 0.55},
		{"a very hot key that rank 0 alone requests", []float64{240, 0, 0}, perDaemon, 0.2},
	} {
		for _, daemons := range sizes {
			Convey(fmt.Sprintf("In %s at %d daemons, more urgent requests go first within the fraction", tc.name, daemons), t, func() {
				o := offer{daemons: daemons, bucket: tc.bucket, others: scaled(tc.perOther, float64(daemons)), fraction: tc.fraction}
				w := newWorld(daemons)
				w.run(offer{daemons: daemons, bucket: o.bucket, others: o.others}, 5*time.Second)
				w.run(o, 5*time.Second)
				if daemons > 300 { // each gets a request for the bucket every five seconds
					w.run(o, 15*time.Second)
				}
				out := w.run(o, 80*time.Second) // 3,200 requests of the rarest rank, of which some 280 are let through
				t.Logf("%s, %d daemons, fraction %.2f: by rank %.3f %.3f %.3f, total %.3f of the fraction", tc.name, daemons, tc.fraction,
					out.of(0), out.of(1), out.of(2), out.ofAll()/tc.fraction)
				So(out.ofAll(), ShouldBeBetween, 0.9*tc.fraction, 1.1*tc.fraction)
				if o.fits() {
					So(out.of(0), ShouldBeGreaterThanOrEqualTo, 0.95)
				}
				last := out.of(0)
				for rank := 1; rank < 3 && tc.bucket[rank] > 0; rank++ {
					So(out.of(rank), ShouldBeLessThanOrEqualTo, last+0.02) // the rest is chance
					last = out.of(rank)
				}
				if tc.bucket[2] > 0 {
					So(out.of(2), ShouldBeGreaterThanOrEqualTo, out.ofAll()/4)
				}
			})
		}
	}
}

// Guards against a holder that gets more than the leader allows in the first seconds of a limit for a hot key that
// rank 0 alone requests, since each daemon takes the key's mix for that of the service.
func TestHotKeyAtStartOfLimit(t *testing.T) {
	for _, fraction := range []float64{0.55, 0.2} {
		for _, daemons := range sizes {
			Convey(fmt.Sprintf("At %d daemons the total stays within a tenth of the fraction %.2f", daemons, fraction), t, func() {
				o := offer{daemons: daemons, bucket: []float64{240, 0, 0}, others: scaled(perDaemon, float64(daemons)), fraction: fraction}
				w := newWorld(daemons)
				w.run(offer{daemons: daemons, bucket: o.bucket, others: o.others}, 5*time.Second)
				start := w.run(o, 5*time.Second)
				t.Logf("%d daemons, fraction %.2f: total %.3f of the fraction in the first 5 s", daemons, fraction, start.ofAll()/fraction)
				So(start.ofAll(), ShouldBeBetween, 0.9*fraction, 1.1*fraction)
			})
		}
	}
}

// Guards against daemons that start during an overload and refuse or admit by a mix that they don't
// know.
func TestRanksAfterStart(t *testing.T) {
	Convey("The first request that a daemon gets is admitted with the fraction of all", t, func() {
		for rank := range 3 {
			admitted := 0
			for seed := range uint64(2000) {
				l := NewLimiter(seed)
				l.SetLimits(t0, []Limit{{Service: "s", Bucket: 1, Fraction: 0.4}})
				req := Request{Service: "s", Bucket: 1, Rank: rank, ServiceTime: serviceTimes[rank]}
				l.Arrive(t0, req)
				if _, ok := l.Admit(t0, req); ok {
					admitted++
				}
			}
			So(admitted, ShouldBeBetween, 700, 900)
		}
	})
	for _, daemons := range sizes {
		Convey(fmt.Sprintf("After a start of all %d daemons, the total stays within the fraction, and ranks count within seconds", daemons), t, func() {
			o := offer{daemons: daemons, bucket: []float64{90, 70, 120}, others: scaled(perDaemon, float64(daemons)), fraction: 0.55}
			w := newWorld(daemons)
			first, next := w.run(o, 5*time.Second), w.run(o, 10*time.Second)
			t.Logf("%d daemons after a start: total %.3f, then %.3f of the fraction; rank 0 %.3f, then %.3f", daemons, first.ofAll()/0.55, next.ofAll()/0.55, first.of(0), next.of(0))
			So(first.ofAll(), ShouldBeBetween, 0.85*0.55, 1.15*0.55)
			So(next.of(0), ShouldBeGreaterThan, 0.85)
			So(next.of(2), ShouldBeLessThan, next.of(0))
		})
	}
}

// Guards against requests that are refused by the limits of a leader that is lost.
func TestRanksWithoutLeader(t *testing.T) {
	Convey("All ranks are admitted once the limits have expired, and divided again when new ones arrive", t, func() {
		o := offer{daemons: 90, bucket: []float64{90, 70, 120}, others: scaled(perDaemon, 90), fraction: 0.55}
		w := newWorld(90)
		w.run(o, 10*time.Second)
		lost := o
		lost.fraction = 0
		w.run(lost, limitTTL)
		out := w.run(lost, 5*time.Second)
		So(out.of(0)+out.of(1)+out.of(2), ShouldEqual, 3)
		out = w.run(o, 5*time.Second)
		So(out.of(0), ShouldBeGreaterThanOrEqualTo, 0.95)
		So(out.ofAll(), ShouldBeBetween, 0.9*0.55, 1.1*0.55)
	})
	Convey("A bucket that was not limited for long keeps no state", t, func() {
		l := NewLimiter(1)
		l.SetLimits(t0, []Limit{{Service: "s", Bucket: 1, Fraction: 0.5}})
		l.SetLimits(t0.Add(mixRetention), nil)
		So(l.buckets, ShouldHaveLength, 1)
		_, ok := l.Admit(t0.Add(mixRetention), Request{Service: "s", Bucket: 1})
		So(ok, ShouldBeTrue)
		l.SetLimits(t0.Add(mixRetention+time.Second), nil)
		So(l.buckets, ShouldBeEmpty)
	})
}

// Guards against ranks that are divided by a mix of an earlier load: no limits arrive while nothing is limited.
func TestLimitAfterLongPause(t *testing.T) {
	Convey("A limit that begins again after a long pause starts with an empty mix, and one after a short pause does not", t, func() {
		for pause, kept := range map[time.Duration]bool{mixRetention: true, time.Hour: false} {
			l, limits := NewLimiter(1), []Limit{{Service: "s", Bucket: 1, Fraction: 0.5}}
			l.SetLimits(t0, limits)
			for range 50 {
				l.Admit(t0, Request{Service: "s", Bucket: 1, Rank: 2, ServiceTime: time.Second})
			}
			l.SetLimits(t0.Add(pause), limits)
			So(l.buckets[bucketKey{service: "s", bucket: 1}].mix.requests > 0, ShouldEqual, kept)
		}
	})
}

// Guards against mixes that grow in number with each service that a configuration ever had.
func TestServicesArePruned(t *testing.T) {
	Convey("The mixes of a service that leaves the configuration are removed", t, func() {
		l := NewLimiter(1)
		l.SetLimits(t0, []Limit{{Service: "s", Bucket: 1, Fraction: 0.5}, {Service: "gone", Bucket: 1, Fraction: 0.5}})
		l.Arrive(t0, Request{Service: "s"})
		l.Arrive(t0, Request{Service: "gone"})
		l.PruneServices(func(service string) bool { return service == "s" })
		So(l.mixes, ShouldHaveLength, 1)
		So(l.mixes["s"], ShouldNotBeNil)
		So(l.buckets, ShouldHaveLength, 1)
		So(l.buckets[bucketKey{service: "s", bucket: 1}], ShouldNotBeNil)
	})
}

// Guards against a change for services whose routes have one priority.
func TestOneRankIsAdmittedAsWithoutRanks(t *testing.T) {
	Convey("Decisions and delays are those of the fraction alone", t, func() {
		const fraction = 0.37
		l, random := NewLimiter(5), rand.New(rand.NewPCG(5, 37))
		for i := range 5000 {
			now := t0.Add(time.Duration(i) * time.Millisecond)
			l.SetLimits(now, []Limit{{Service: "s", Bucket: 1, Fraction: fraction}})
			req, expected := Request{Service: "s", Bucket: 1, Deferred: i%3 == 0, ServiceTime: time.Duration(1+i%7) * time.Millisecond}, fraction
			if req.Deferred {
				expected *= fraction
			}
			l.Arrive(now, req)
			retryAfter, ok := l.Admit(now, req)
			So(ok, ShouldEqual, random.Float64() < expected)
			if !ok {
				wait := time.Duration(float64(minRetryAfter) / expected)
				So(retryAfter, ShouldEqual, time.Duration(float64(wait)*(1+retryJitter*(2*random.Float64()-1))))
			}
		}
	})
}

// Guards against urgent callers that return later than others, and against a heavy workspace whose
// requests are all admitted because they are urgent.
func TestDelaysAndDeferredRequestsByRank(t *testing.T) {
	l, delay, refused := NewLimiter(1), [3]time.Duration{}, [3]int{}
	l.SetLimits(t0, []Limit{{Service: "s", Bucket: 1, Fraction: 0.2}})
	for i := range 3000 {
		req := Request{Service: "s", Bucket: 1, Rank: i % 3, ServiceTime: time.Second}
		l.Arrive(t0, req)
		if retryAfter, ok := l.Admit(t0, req); !ok {
			delay[i%3] += retryAfter
			refused[i%3]++
		}
	}
	Convey("The more urgent a refused request, the sooner its caller returns", t, func() {
		So(delay[0]/time.Duration(refused[0]), ShouldBeLessThan, time.Second)
		So(delay[1]/time.Duration(refused[1]), ShouldBeGreaterThan, time.Second)
		So(delay[2]/time.Duration(refused[2]), ShouldBeGreaterThan, time.Second)
	})
	Convey("Deferred requests of each rank are refused first", t, func() {
		o := offer{daemons: 8, bucket: []float64{90, 70, 120}, others: scaled(perDaemon, 8), fraction: 0.55}
		usual := newWorld(8).run(o, 20*time.Second)
		o.deferredShare = 1
		deferred := newWorld(8).run(o, 20*time.Second)
		for rank := range 3 {
			So(deferred.of(rank), ShouldBeLessThan, 0.7*usual.of(rank))
		}
	})
}

// Package bench measures the five measures over the stand-ins, for catkinstep
// and for the baseline in which each entry host sends on its own.
//
// # Usage
//
//	rows, err := bench.Run(ctx, "slowed", bench.WithSeed(1), bench.Against("direct"))
//
// A run takes under 40 s a variant. Errors say what could not be started; what
// must never happen is counted in the rows.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"catkinstep/io/standin/direct"
	"catkinstep/io/standin/load"
	"catkinstep/io/standin/oracle"
	"catkinstep/io/standin/stage"
)

// Row is what one service's callers got from one variant.
type Row struct {
	Scenario      string   `json:"scenario"`
	Variant       string   `json:"variant"`
	Seed          uint64   `json:"seed"`
	Service       string   `json:"service"`
	Requests      uint64   `json:"requests"`
	Answered      uint64   `json:"answered"`
	RefusedNotRun uint64   `json:"refusedNotRun"`
	Unknown       uint64   `json:"unknown"`
	P50           Duration `json:"p50"`
	P99           Duration `json:"p99"`
	P999          Duration `json:"p999"`
	// P99All counts a lookup that was not answered as the caller's time limit.
	P99All      Duration       `json:"p99All"`
	Imbalance   float64        `json:"imbalance"`
	Churn       int            `json:"churn"`
	LeastChurn  int            `json:"leastChurn"`
	Unavailable Duration       `json:"unavailableTime"`
	ExtraWork   float64        `json:"extraWork"`
	Violations  oracle.Verdict `json:"violations"`

	Codes map[string]uint64 `json:"codes,omitempty"`
}

// Duration is a time that JSON shows as Go text.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).Round(100 * time.Microsecond).String() }

// Variants.
const (
	Catkinstep = "catkinstep"
	Baseline   = "direct"
)

// Option changes a run.
type Option func(*run)

// WithSeed seeds everything.
func WithSeed(seed uint64) Option { return func(r *run) { r.seed = seed } }

// WithPlan sets the site; Lakeshore by default.
func WithPlan(p stage.Plan) Option { return func(r *run) { r.plan = p } }

// WithFor sets how long the load runs.
func WithFor(d time.Duration) Option { return func(r *run) { r.length = d } }

// WithProgress tells what happens, a line each.
func WithProgress(w io.Writer) Option { return func(r *run) { r.progress = w } }

// WithLogger sets where the daemons log.
func WithLogger(l *slog.Logger) Option { return func(r *run) { r.log = l } }

// WithRate sets the requests a second of each service.
func WithRate(rate float64) Option { return func(r *run) { r.rate = rate } }

// Against adds a variant to measure after catkinstep.
func Against(variant string) Option { return func(r *run) { r.variants = append(r.variants, variant) } }

// run is one variant's run in the making.
type run struct {
	plan     stage.Plan
	seed     uint64
	length   time.Duration
	rate     float64
	progress io.Writer
	log      *slog.Logger
	variants []string
	scenario scenario

	stage  *stage.Stage
	direct *direct.Direct
	churn  *stage.Churn
	gens   []*load.Generator
	began  time.Time
}

// ErrScenario is an unknown scenario.
var ErrScenario = errors.New("no such scenario")

// Run measures a scenario, catkinstep first.
func Run(ctx context.Context, name string, opts ...Option) ([]Row, error) {
	base := newRun(opts)
	s, ok := scenarios()[name]
	if !ok {
		return nil, fmt.Errorf("bench: %w: %q", ErrScenario, name)
	}
	base.scenario = s
	var rows []Row
	for _, v := range base.variants {
		r := base
		got, err := r.measure(ctx, name, v)
		if err != nil {
			return rows, err
		}
		rows = append(rows, got...)
	}
	return rows, nil
}

// newRun fills in what the options leave open.
func newRun(opts []Option) run {
	r := run{plan: stage.Lakeshore(), seed: 1, length: 20 * time.Second, rate: 600, progress: io.Discard,
		log: slog.New(slog.DiscardHandler), variants: []string{Catkinstep}}
	r.plan.Work = 10 * time.Millisecond
	for _, o := range opts {
		o(&r)
	}
	return r
}

func (r *run) measure(ctx context.Context, name, variant string) ([]Row, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.start(ctx, variant); err != nil {
		return nil, err
	}
	defer r.stop()
	r.say("%s: %s is up: curl http://%s/%s", name, variant, r.Pick(0), r.example())
	r.warm(ctx)
	r.churn = stage.NewChurn(ctx, r.stage)
	r.load(ctx)
	verdict := r.stage.Oracle.Verdict()
	var rows []Row
	for _, g := range r.gens {
		rows = append(rows, r.row(name, variant, g.Result(), verdict))
	}
	return rows, nil
}

func (r *run) start(ctx context.Context, variant string) error {
	opts := []stage.Option{stage.WithSeed(r.seed), stage.WithLogger(r.log)}
	if variant == Baseline {
		opts = append(opts, stage.WithoutDaemons())
	}
	var err error
	if r.stage, err = stage.Start(r.plan, opts...); err != nil {
		return err
	}
	for _, s := range r.stage.Servers {
		s.Warm()
	}
	if variant == Baseline {
		r.direct = direct.New(r.stage.Site())
		for i := range r.stage.BareHosts() {
			if err := r.direct.Start(r.stage.BareAddress(i)); err != nil {
				r.stop()
				return err
			}
		}
		return nil
	}
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := r.stage.Ready(ready); err != nil {
		r.stop()
		return err
	}
	return nil
}

func (r *run) stop() {
	if r.direct != nil {
		r.direct.Stop()
	}
	r.stage.Stop()
}

// Pick implements load.Balancer for both variants.
func (r *run) Pick(n uint64) string {
	if r.direct != nil {
		return r.stage.BareAddress(int(n % uint64(r.stage.BareHosts())))
	}
	return r.stage.Pick(n)
}

// Killed implements load.Balancer.
func (r *run) Killed(address string) bool { return r.stage.Killed(address) }

func (r *run) say(format string, args ...any) {
	at := ""
	if !r.began.IsZero() {
		at = fmt.Sprintf("%6.1fs ", time.Since(r.began).Seconds())
	}
	_, _ = fmt.Fprintf(r.progress, at+format+"\n", args...)
}

func (r *run) example() string {
	for _, s := range r.stage.Site().Services {
		if s.Keyed {
			return s.Name + "/items/any-key"
		}
	}
	return r.stage.Site().Services[0].Name + "/items"
}

// warm lets the limits climb before anything is measured.
func (r *run) warm(ctx context.Context) {
	for i, s := range r.stage.Site().Services {
		r.gens = append(r.gens, load.New(load.Config{
			Service: s.Name, Path: "/items/KEY", Rate: r.rate, Bookings: r.scenario.bookings,
			Keys: 20000, Skew: r.scenario.skew, Timeout: s.DefaultTimeout, RunsOnce: s.Keyed, Seed: r.seed*100 + uint64(i),
		}, r, r.stage.Oracle))
	}
	warm, cancel := context.WithTimeout(ctx, warmFor)
	defer cancel()
	r.runAll(warm)
	for _, g := range r.gens {
		g.Reset()
	}
}

func (r *run) runAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range r.gens {
		wg.Go(func() { g.Run(ctx) })
	}
	wg.Wait()
}

func (r *run) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.length)
	defer cancel()
	r.began = time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { r.scenario.events(ctx, r) })
	r.runAll(ctx)
	wg.Wait()
}

func (r *run) row(name, variant string, res load.Result, v oracle.Verdict) Row {
	at := func(q float64) Duration {
		return Duration(time.Duration(res.Latency.ValueAtQuantile(q)) * time.Microsecond)
	}
	moves, least := r.churn.Moves(res.Service)
	return Row{
		Scenario: name, Variant: variant, Seed: r.seed, Service: res.Service,
		Requests: res.Requests, Answered: res.Answered, RefusedNotRun: res.NotRun, Unknown: res.Unknown,
		P50: at(50), P99: at(99), P999: at(99.9),
		P99All:    Duration(time.Duration(res.All.ValueAtQuantile(99)) * time.Microsecond),
		Imbalance: r.stage.Oracle.Imbalance(res.Service, r.began, time.Now(), len(r.servers(res.Service))),
		Churn:     moves, LeastChurn: least, Unavailable: Duration(res.LongestOutage),
		ExtraWork: r.stage.Oracle.ExtraWork(res.Service, r.began), Violations: v, Codes: res.Codes,
	}
}

func (r *run) servers(service string) []string {
	var out []string
	for _, d := range r.stage.Site().DataCentres {
		out = append(out, r.stage.ServersIn(d.Name, service)...)
	}
	return out
}

const warmFor = 4 * time.Second

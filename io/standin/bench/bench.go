// Package bench runs benchmarks against the stand-ins, for catkinstep and for the
// baseline, in which each entry host routes on its own. It measures latency, the
// imbalance of load, the churn of keys, unavailable time and duplicate runs.
//
// # Usage
//
//	rows, err := bench.Run(ctx, "slowed", bench.WithSeed(1), bench.WithVariant(bench.Baseline))
//
// A run takes less than 40 s per variant. Errors say what could not be started;
// violations of guarantees are counted in the rows.
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

// Row is the result of one service in one variant.
type Row struct {
	Scenario      string `json:"scenario"`
	Variant       string `json:"variant"`
	Seed          uint64 `json:"seed"`
	Service       string `json:"service"`
	Requests      uint64 `json:"requests"`
	Answered      uint64 `json:"answered"`
	RefusedNotRun uint64 `json:"refusedNotRun"`
	Unknown       uint64 `json:"unknown"`
	// P50, P99 and P999 are latencies of answered idempotent requests.
	P50  Duration `json:"p50"`
	P99  Duration `json:"p99"`
	P999 Duration `json:"p999"`
	// P99All includes idempotent requests that were not answered, each counted as at least the
	// timeout.
	P99All Duration `json:"p99All"`
	// Imbalance is the number of runs on the busiest server, divided by the mean over all servers.
	Imbalance float64 `json:"imbalance"`
	// Churn is how many buckets of keys moved, MinChurn how many the events made necessary.
	Churn    int `json:"churn"`
	MinChurn int `json:"leastChurn"`
	// Unavailable is the longest time that requests for a key range failed.
	Unavailable Duration `json:"unavailableTime"`
	// DuplicateRunShare is the share of runs that were not the first of their request.
	DuplicateRunShare float64 `json:"extraWork"`
	// Violations are those in the whole run of the variant, the same in all its rows.
	Violations oracle.Verdict `json:"violations"`

	ErrorCodes map[string]uint64 `json:"codes,omitempty"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).Round(100 * time.Microsecond).String() }

// Variants that can be measured.
const (
	Catkinstep = "catkinstep"
	Baseline   = "direct"
)

// Option configures a run.
type Option func(*run)

// WithSeed seeds the stand-ins and the load; 1 by default.
func WithSeed(seed uint64) Option { return func(r *run) { r.seed = seed } }

// WithPlan sets the site; Lakeshore by default.
func WithPlan(p stage.Plan) Option { return func(r *run) { r.plan = p } }

// WithDuration sets how long the load runs; 20s by default.
func WithDuration(d time.Duration) Option { return func(r *run) { r.duration = d } }

// WithProgress sets the writer to which each event is reported as a line.
func WithProgress(w io.Writer) Option { return func(r *run) { r.progress = w } }

// WithLogger sets the daemons' logger. By default, they don't log.
func WithLogger(l *slog.Logger) Option { return func(r *run) { r.log = l } }

// WithRate sets the number of requests per second for each service; 600 by default.
func WithRate(rate float64) Option { return func(r *run) { r.rate = rate } }

// WithVariant adds a variant to measure after catkinstep.
func WithVariant(variant string) Option {
	return func(r *run) { r.variants = append(r.variants, variant) }
}

// run is the run of one variant, with its configuration.
type run struct {
	plan     stage.Plan
	seed     uint64
	duration time.Duration
	rate     float64
	progress io.Writer
	log      *slog.Logger
	variants []string
	scenario scenario

	cluster       *stage.Cluster
	baseline      *direct.Baseline
	churn         *stage.Churn
	generators    []*load.Generator
	loadStartedAt time.Time
}

// ErrUnknownScenario is returned for a scenario or a kind of outage that does not exist.
var ErrUnknownScenario = errors.New("no such scenario")

// Run runs a scenario for each variant, catkinstep first, and returns a row per service.
func Run(ctx context.Context, name string, opts ...Option) ([]Row, error) {
	base := newRun(opts)
	s, ok := scenarios()[name]
	if !ok {
		return nil, fmt.Errorf("bench: %w: %q", ErrUnknownScenario, name)
	}
	base.scenario = s
	var rows []Row
	for _, variant := range base.variants {
		r := base
		variantRows, err := r.measure(ctx, name, variant)
		if err != nil {
			return rows, err
		}
		rows = append(rows, variantRows...)
	}
	return rows, nil
}

// newRun applies the options to the defaults.
func newRun(opts []Option) run {
	r := run{plan: stage.Lakeshore(), seed: 1, duration: 20 * time.Second, rate: 600, progress: io.Discard,
		log: slog.New(slog.DiscardHandler), variants: []string{Catkinstep}}
	r.plan.MeanServiceTime = 10 * time.Millisecond
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
	r.progressf("%s: %s is up: curl http://%s/%s", name, variant, r.Pick(0), r.exampleRoute())
	r.warmUp(ctx)
	r.churn = stage.NewChurn(ctx, r.cluster)
	r.runLoad(ctx)
	verdict := r.cluster.Oracle.Verdict()
	var rows []Row
	for _, g := range r.generators {
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
	if r.cluster, err = stage.Start(r.plan, opts...); err != nil {
		return err
	}
	for _, s := range r.cluster.Servers {
		s.Warm()
	}
	if variant == Baseline {
		r.baseline = direct.New(r.cluster.Site())
		for i := range r.cluster.BaselineHostCount() {
			if err := r.baseline.Start(r.cluster.BaselineHostAddress(i)); err != nil {
				r.stop()
				return err
			}
		}
		return nil
	}
	configureCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := r.cluster.Configure(configureCtx); err != nil {
		r.stop()
		return err
	}
	return nil
}

func (r *run) stop() {
	if r.baseline != nil {
		r.baseline.Stop()
	}
	r.cluster.Stop()
}

// Pick implements load.Balancer. The baseline's hosts are all picked in turn.
func (r *run) Pick(n uint64) string {
	if r.baseline != nil {
		return r.cluster.BaselineHostAddress(int(n % uint64(r.cluster.BaselineHostCount())))
	}
	return r.cluster.Pick(n)
}

// WasKilled implements load.Balancer.
func (r *run) WasKilled(address string) bool { return r.cluster.WasKilled(address) }

// progressf reports an event, with the time since the start of the load.
func (r *run) progressf(format string, args ...any) {
	elapsed := ""
	if !r.loadStartedAt.IsZero() {
		elapsed = fmt.Sprintf("%6.1fs ", time.Since(r.loadStartedAt).Seconds())
	}
	_, _ = fmt.Fprintf(r.progress, elapsed+format+"\n", args...)
}

// exampleRoute returns a path for callers, of a keyed service if there is one.
func (r *run) exampleRoute() string {
	for _, s := range r.cluster.Site().Services {
		if s.Keyed {
			return s.Name + "/items/any-key"
		}
	}
	return r.cluster.Site().Services[0].Name + "/items"
}

// warmUp runs the load without measuring it, so that the daemons' adaptive limits can grow.
func (r *run) warmUp(ctx context.Context) {
	for i, s := range r.cluster.Site().Services {
		r.generators = append(r.generators, load.New(load.Config{
			Service: s.Name, Path: "/items/KEY", Rate: r.rate, NonIdempotentShare: r.scenario.nonIdempotentShare,
			Keys: 20000, ZipfExponent: r.scenario.zipfExponent, Timeout: s.DefaultTimeout, DedupByID: s.Keyed, Seed: r.seed*100 + uint64(i),
		}, r, r.cluster.Oracle))
	}
	warmUpCtx, cancel := context.WithTimeout(ctx, warmUpDuration)
	defer cancel()
	r.runGenerators(warmUpCtx)
	for _, g := range r.generators {
		g.Reset()
	}
}

func (r *run) runGenerators(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range r.generators {
		wg.Go(func() { g.Run(ctx) })
	}
	wg.Wait()
}

func (r *run) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.duration)
	defer cancel()
	r.loadStartedAt = time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { r.scenario.injectEvents(ctx, r) })
	r.runGenerators(ctx)
	wg.Wait()
}

func (r *run) row(name, variant string, res load.Result, v oracle.Verdict) Row {
	quantile := func(q float64) Duration {
		return Duration(time.Duration(res.AnsweredLatency.ValueAtQuantile(q)) * time.Microsecond)
	}
	moves, minMoves := r.churn.Moves(res.Service)
	return Row{
		Scenario: name, Variant: variant, Seed: r.seed, Service: res.Service,
		Requests: res.Requests, Answered: res.Answered, RefusedNotRun: res.NotRun, Unknown: res.Unknown,
		P50: quantile(50), P99: quantile(99), P999: quantile(99.9),
		P99All:    Duration(time.Duration(res.AllLatency.ValueAtQuantile(99)) * time.Microsecond),
		Imbalance: r.cluster.Oracle.Imbalance(res.Service, r.loadStartedAt, time.Now(), len(r.serverAddresses(res.Service))),
		Churn:     moves, MinChurn: minMoves, Unavailable: Duration(res.LongestOutage),
		DuplicateRunShare: r.cluster.Oracle.DuplicateRunShare(res.Service, r.loadStartedAt), Violations: v, ErrorCodes: res.ErrorCodes,
	}
}

func (r *run) serverAddresses(service string) []string {
	var addresses []string
	for _, d := range r.cluster.Site().DataCentres {
		addresses = append(addresses, r.cluster.ServersIn(d.Name, service)...)
	}
	return addresses
}

const warmUpDuration = 4 * time.Second

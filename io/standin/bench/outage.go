package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"catkinstep/core/version/site"
)

// Outage is what one kind of loss cost over several tries.
type Outage struct {
	Kind   string `json:"kind"`
	Trials int    `json:"tries"`
	// Median and Longest are the longest time that any of the keys asked for was
	// not served, in each try.
	Median  Duration `json:"median"`
	Longest Duration `json:"longest"`
	// LastWork is, for a data centre taken out, when after the command's return
	// the last new order began there, at the latest.
	LastStart Duration `json:"lastWork"`
}

// OutageKinds lists the losses that Outages knows.
func OutageKinds() []string {
	return []string{"server", "frozenServer", "daemon", "leader", "dataCentre"}
}

// probes is how many keys are asked for without a pause, each by one caller.
const probeCount = 48

// Outages measures how long keys are not served after a loss.
func MeasureOutages(ctx context.Context, kind string, trials int, opts ...Option) (Outage, error) {
	r := newRun(opts)
	if !slices.Contains(OutageKinds(), kind) {
		return Outage{}, fmt.Errorf("bench: %w: %q", ErrUnknownScenario, kind)
	}
	if err := r.start(ctx, Catkinstep); err != nil {
		return Outage{}, err
	}
	defer r.stop()
	out := Outage{Kind: kind, Trials: trials}
	var gaps []time.Duration
	for n := range trials {
		if ctx.Err() != nil {
			return out, ctx.Err()
		}
		gap, lastStart, err := r.measureOutage(ctx, kind, n)
		if err != nil {
			return out, err
		}
		gaps = append(gaps, gap)
		out.LastStart = max(out.LastStart, Duration(lastStart))
		r.progressf("try %d: %v", n+1, gap.Round(time.Millisecond))
	}
	slices.Sort(gaps)
	out.Median, out.Longest = Duration(gaps[len(gaps)/2]), Duration(gaps[len(gaps)-1])
	if v := r.cluster.Oracle.Verdict(); v.Total() > 0 {
		return out, fmt.Errorf("bench: the oracle found: %s", strings.Join(v.Findings, "; "))
	}
	return out, nil
}

// outage makes one loss while callers ask without a pause, then repairs it.
func (r *run) measureOutage(ctx context.Context, kind string, n int) (longest, lastStart time.Duration, err error) {
	probeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	gaps := make([]time.Duration, probeCount)
	var wg sync.WaitGroup
	for i := range probeCount {
		wg.Go(func() { gaps[i] = r.longestGap(probeCtx, fmt.Sprintf("probe-%d", i)) })
	}
	time.Sleep(500 * time.Millisecond)
	repair, lossAt, err := r.causeLoss(ctx, kind, n)
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(3500 * time.Millisecond)
	cancel()
	wg.Wait()
	if kind == "dataCentre" {
		lastStart = r.cluster.Oracle.LastStartAfter(r.dataCentreFor(n), lossAt)
	}
	if err := repair(); err != nil {
		return 0, 0, err
	}
	time.Sleep(3 * time.Second)
	return slices.Max(gaps), lastStart, nil
}

func (r *run) dataCentreFor(n int) string {
	all := r.cluster.Site().DataCentres
	return all[n%len(all)].Name
}

// lose makes a loss and returns how to repair it, and when it was done.
func (r *run) causeLoss(ctx context.Context, kind string, n int) (repair func() error, at time.Time, err error) {
	dataCentre := r.dataCentreFor(n)
	switch kind {
	case "server", "frozenServer":
		keyed := ""
		for _, s := range r.cluster.Site().Services {
			if s.Keyed {
				keyed = s.Name
			}
		}
		s := r.cluster.Servers[r.cluster.ServersIn(dataCentre, keyed)[n%3]]
		if kind == "server" {
			s.Stop()
			return s.Start, time.Now(), nil
		}
		s.Freeze(true)
		return func() error { s.Freeze(false); return nil }, time.Now(), nil
	case "daemon", "leader":
		hosts := r.cluster.HostsIn(dataCentre)
		at := slices.IndexFunc(hosts, func(i int) bool { return r.cluster.IsLeader(i) == (kind == "leader") })
		if at < 0 {
			at = 0
		}
		lost := hosts[at]
		r.cluster.KillDaemon(lost)
		return func() error { return r.cluster.StartDaemon(lost) }, time.Now(), nil
	}
	_, err = r.cluster.Operator().Out(ctx, site.Exclusion{DataCentre: dataCentre})
	return func() error {
		_, err := r.cluster.Operator().In(ctx, site.Exclusion{DataCentre: dataCentre})
		return err
	}, time.Now(), err
}

// longestGap asks for one key again and again, and returns the longest time
// from one answer to the next, less what an answer takes at other times.
func (r *run) longestGap(ctx context.Context, key string) time.Duration {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: false, MaxIdleConnsPerHost: 2}}
	keyed := strings.SplitN(r.exampleRoute(), "/", 2)[0]
	lastAnswer, longest := time.Now(), time.Duration(0)
	for n := uint64(0); ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, "http://"+r.Pick(n)+"/"+keyed+"/items/"+key, nil)
		if err != nil {
			return longest
		}
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				longest = max(longest, time.Since(lastAnswer))
				lastAnswer = time.Now()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return max(longest, time.Since(lastAnswer))
}

// Idle is what daemons without any caller cost.
type Idle struct {
	Daemons     int            `json:"daemons"`
	Period      Duration       `json:"for"`
	CallsPerMin map[string]int `json:"callsPerMinute"` // of the platform, by kind and data centre
	// BytesPerSecond are the control messages of the busiest daemon, out and in.
	MaxBytesPerSecond  float64 `json:"bytesPerSecond"`
	MeanBytesPerSecond float64 `json:"meanBytesPerSecond"`
}

// MeasureIdle counts control traffic and platform calls without any load.
func MeasureIdle(ctx context.Context, hosts int, duration time.Duration, opts ...Option) (Idle, error) {
	r := newRun(opts)
	for name := range r.plan.HostsPerDataCentre {
		r.plan.HostsPerDataCentre[name] = max(1, hosts/len(r.plan.HostsPerDataCentre))
	}
	if hosts%len(r.plan.HostsPerDataCentre) != 0 {
		r.plan.HostsPerDataCentre[r.plan.Site.DataCentres[0].Name] += hosts % len(r.plan.HostsPerDataCentre)
	}
	if err := r.start(ctx, Catkinstep); err != nil {
		return Idle{}, err
	}
	defer r.stop()
	time.Sleep(5 * time.Second) // the first handovers
	callsBefore, bytesBefore := r.cluster.Store.CallCounts(), r.controlBytes()
	time.Sleep(duration)
	out := Idle{Daemons: r.cluster.HostCount(), Period: Duration(duration), CallsPerMin: map[string]int{}}
	for k, n := range r.cluster.Store.CallCounts() {
		if n -= callsBefore[k]; n > 0 {
			out.CallsPerMin[k] = int(float64(n) / duration.Minutes())
		}
	}
	for i, n := range r.controlBytes() {
		v := float64(n-bytesBefore[i]) / duration.Seconds()
		out.MaxBytesPerSecond = max(out.MaxBytesPerSecond, v)
		out.MeanBytesPerSecond += v / float64(r.cluster.HostCount())
	}
	return out, nil
}

// bytes returns the control bytes of each daemon so far, what it was asked by
// others included.
func (r *run) controlBytes() []int64 {
	out := make([]int64, r.cluster.HostCount())
	for i := range out {
		out[i] = r.cluster.ControlBytes(i)
	}
	return out
}

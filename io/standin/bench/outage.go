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

// Outage is the unavailability that one kind of loss causes, over several trials.
type Outage struct {
	Kind   string `json:"kind"`
	Trials int    `json:"tries"`
	// Median and Longest are over the trials. The value of a trial is the longest time that any
	// of the probed keys was not served.
	Median  Duration `json:"median"`
	Longest Duration `json:"longest"`
	// LastStart is, for the exclusion of a data centre, the longest time from the command's
	// return to the start of the last request there.
	LastStart Duration `json:"lastWork"`
}

// OutageKinds returns the kinds of loss whose outages MeasureOutages can measure.
func OutageKinds() []string {
	return []string{"server", "frozenServer", "daemon", "leader", "dataCentre"}
}

// probeCount is the number of keys that are probed, each by one caller in a loop.
const probeCount = 48

// MeasureOutages measures how long keys are not served after a loss.
func MeasureOutages(ctx context.Context, kind string, trials int, opts ...Option) (Outage, error) {
	r := newRun(opts)
	if !slices.Contains(OutageKinds(), kind) {
		return Outage{}, fmt.Errorf("bench: %w: %q", ErrUnknownScenario, kind)
	}
	if err := r.start(ctx, Catkinstep); err != nil {
		return Outage{}, err
	}
	defer r.stop()
	outage := Outage{Kind: kind, Trials: trials}
	var gaps []time.Duration
	for trial := range trials {
		if ctx.Err() != nil {
			return outage, ctx.Err()
		}
		gap, lastStart, err := r.measureOutage(ctx, kind, trial)
		if err != nil {
			return outage, err
		}
		gaps = append(gaps, gap)
		outage.LastStart = max(outage.LastStart, Duration(lastStart))
		r.progressf("trial %d: %v", trial+1, gap.Round(time.Millisecond))
	}
	slices.Sort(gaps)
	outage.Median, outage.Longest = Duration(gaps[len(gaps)/2]), Duration(gaps[len(gaps)-1])
	if v := r.cluster.Oracle.Verdict(); v.Total() > 0 {
		return outage, fmt.Errorf("bench: the oracle found: %s", strings.Join(v.Findings, "; "))
	}
	return outage, nil
}

// measureOutage causes one loss while the keys are probed, then repairs it.
func (r *run) measureOutage(ctx context.Context, kind string, trial int) (longest, lastStart time.Duration, err error) {
	probeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	gaps := make([]time.Duration, probeCount)
	var wg sync.WaitGroup
	for i := range probeCount {
		wg.Go(func() { gaps[i] = r.longestGap(probeCtx, fmt.Sprintf("probe-%d", i)) })
	}
	time.Sleep(500 * time.Millisecond)
	repair, lossAt, err := r.causeLoss(ctx, kind, trial)
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(3500 * time.Millisecond)
	cancel()
	wg.Wait()
	if kind == "dataCentre" {
		lastStart = r.cluster.Oracle.LastStartAfter(r.dataCentreFor(trial), lossAt)
	}
	if err := repair(); err != nil {
		return 0, 0, err
	}
	time.Sleep(3 * time.Second)
	return slices.Max(gaps), lastStart, nil
}

// dataCentreFor returns the name of the data centre in which a trial causes its loss.
func (r *run) dataCentreFor(trial int) string {
	all := r.cluster.Site().DataCentres
	return all[trial%len(all)].Name
}

// causeLoss causes a loss. It returns a function that repairs the loss, and the time at which
// the loss was caused.
func (r *run) causeLoss(ctx context.Context, kind string, trial int) (repair func() error, causedAt time.Time, err error) {
	dataCentre := r.dataCentreFor(trial)
	switch kind {
	case "server", "frozenServer":
		keyedService := ""
		for _, s := range r.cluster.Site().Services {
			if s.Keyed {
				keyedService = s.Name
			}
		}
		s := r.cluster.Servers[r.cluster.ServersIn(dataCentre, keyedService)[trial%3]]
		if kind == "server" {
			s.Stop()
			return s.Start, time.Now(), nil
		}
		s.Freeze(true)
		return func() error { s.Freeze(false); return nil }, time.Now(), nil
	case "daemon", "leader":
		hosts := r.cluster.HostsIn(dataCentre)
		hostIndex := slices.IndexFunc(hosts, func(i int) bool { return r.cluster.IsLeader(i) == (kind == "leader") })
		if hostIndex < 0 {
			hostIndex = 0
		}
		lostHost := hosts[hostIndex]
		r.cluster.KillDaemon(lostHost)
		return func() error { return r.cluster.StartDaemon(lostHost) }, time.Now(), nil
	}
	_, err = r.cluster.Operator().Exclude(ctx, site.Exclusion{DataCentre: dataCentre})
	return func() error {
		_, err := r.cluster.Operator().RemoveExclusion(ctx, site.Exclusion{DataCentre: dataCentre})
		return err
	}, time.Now(), err
}

// longestGap sends requests for one key in a loop and returns the longest time from one
// successful reply to the next.
func (r *run) longestGap(ctx context.Context, key string) time.Duration {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: false, MaxIdleConnsPerHost: 2}}
	keyedService := strings.SplitN(r.exampleRoute(), "/", 2)[0]
	lastAnswered, longest := time.Now(), time.Duration(0)
	for n := uint64(0); ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, "http://"+r.Pick(n)+"/"+keyedService+"/items/"+key, nil)
		if err != nil {
			return longest
		}
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				longest = max(longest, time.Since(lastAnswered))
				lastAnswered = time.Now()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return max(longest, time.Since(lastAnswered))
}

// Idle is the cost of daemons without any callers.
type Idle struct {
	Daemons        int            `json:"daemons"`
	Period         Duration       `json:"for"`
	CallsPerMinute map[string]int `json:"callsPerMinute"` // of the platform, by kind and data centre
	// MaxBytesPerSecond counts the control messages that the busiest daemon sends and receives.
	MaxBytesPerSecond  float64 `json:"bytesPerSecond"`
	MeanBytesPerSecond float64 `json:"meanBytesPerSecond"`
}

// MeasureIdle measures control traffic and calls of the platform without any load.
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
	time.Sleep(5 * time.Second) // waits for the first handovers
	callsBefore, bytesBefore := r.cluster.Store.CallCounts(), r.controlBytes()
	time.Sleep(duration)
	idle := Idle{Daemons: r.cluster.HostCount(), Period: Duration(duration), CallsPerMinute: map[string]int{}}
	for call, n := range r.cluster.Store.CallCounts() {
		if n -= callsBefore[call]; n > 0 {
			idle.CallsPerMinute[call] = int(float64(n) / duration.Minutes())
		}
	}
	for i, n := range r.controlBytes() {
		bytesPerSecond := float64(n-bytesBefore[i]) / duration.Seconds()
		idle.MaxBytesPerSecond = max(idle.MaxBytesPerSecond, bytesPerSecond)
		idle.MeanBytesPerSecond += bytesPerSecond / float64(r.cluster.HostCount())
	}
	return idle, nil
}

// controlBytes returns how many bytes of control messages each daemon has sent and received,
// including those of requests from other daemons.
func (r *run) controlBytes() []int64 {
	bytes := make([]int64, r.cluster.HostCount())
	for i := range bytes {
		bytes[i] = r.cluster.ControlBytes(i)
	}
	return bytes
}

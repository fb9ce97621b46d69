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
	Kind  string `json:"kind"`
	Tries int    `json:"tries"`
	// Median and Longest are the longest time that any of the keys asked for was
	// not served, in each try.
	Median  Duration `json:"median"`
	Longest Duration `json:"longest"`
	// LastWork is, for a data centre taken out, when after the command's return
	// the last new order began there, at the latest.
	LastWork Duration `json:"lastWork"`
}

// OutageKinds lists the losses that Outages knows.
func OutageKinds() []string {
	return []string{"server", "frozenServer", "daemon", "leader", "dataCentre"}
}

// probes is how many keys are asked for without a pause, each by one caller.
const probes = 48

// Outages measures how long keys are not served after a loss.
func Outages(ctx context.Context, kind string, tries int, opts ...Option) (Outage, error) {
	r := newRun(opts)
	if !slices.Contains(OutageKinds(), kind) {
		return Outage{}, fmt.Errorf("bench: %w: %q", ErrScenario, kind)
	}
	if err := r.start(ctx, Catkinstep); err != nil {
		return Outage{}, err
	}
	defer r.stop()
	out := Outage{Kind: kind, Tries: tries}
	var worst []time.Duration
	for n := range tries {
		if ctx.Err() != nil {
			return out, ctx.Err()
		}
		d, last, err := r.outage(ctx, kind, n)
		if err != nil {
			return out, err
		}
		worst = append(worst, d)
		out.LastWork = max(out.LastWork, Duration(last))
		r.say("try %d: %v", n+1, d.Round(time.Millisecond))
	}
	slices.Sort(worst)
	out.Median, out.Longest = Duration(worst[len(worst)/2]), Duration(worst[len(worst)-1])
	if v := r.stage.Oracle.Verdict(); v.Total() > 0 {
		return out, fmt.Errorf("bench: the oracle found: %s", strings.Join(v.Findings, "; "))
	}
	return out, nil
}

// outage makes one loss while callers ask without a pause, then repairs it.
func (r *run) outage(ctx context.Context, kind string, n int) (worst, last time.Duration, err error) {
	ask, cancel := context.WithCancel(ctx)
	defer cancel()
	gaps := make([]time.Duration, probes)
	var wg sync.WaitGroup
	for i := range probes {
		wg.Go(func() { gaps[i] = r.longestGap(ask, fmt.Sprintf("probe-%d", i)) })
	}
	time.Sleep(500 * time.Millisecond)
	repair, from, err := r.lose(ctx, kind, n)
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(3500 * time.Millisecond)
	cancel()
	wg.Wait()
	if kind == "dataCentre" {
		last = r.stage.Oracle.LastStart(r.place(n), from)
	}
	if err := repair(); err != nil {
		return 0, 0, err
	}
	time.Sleep(3 * time.Second)
	return slices.Max(gaps), last, nil
}

func (r *run) place(n int) string {
	all := r.stage.Site().DataCentres
	return all[n%len(all)].Name
}

// lose makes a loss and returns how to repair it, and when it was done.
func (r *run) lose(ctx context.Context, kind string, n int) (repair func() error, at time.Time, err error) {
	place := r.place(n)
	switch kind {
	case "server", "frozenServer":
		keyed := ""
		for _, s := range r.stage.Site().Services {
			if s.Keyed {
				keyed = s.Name
			}
		}
		s := r.stage.Servers[r.stage.ServersIn(place, keyed)[n%3]]
		if kind == "server" {
			s.Stop()
			return s.Start, time.Now(), nil
		}
		s.Freeze(true)
		return func() error { s.Freeze(false); return nil }, time.Now(), nil
	case "daemon", "leader":
		hosts := r.stage.HostsIn(place)
		at := slices.IndexFunc(hosts, func(i int) bool { return r.stage.Leads(i) == (kind == "leader") })
		if at < 0 {
			at = 0
		}
		lost := hosts[at]
		r.stage.KillDaemon(lost)
		return func() error { return r.stage.StartDaemon(lost) }, time.Now(), nil
	}
	_, err = r.stage.Operator().Exclude(ctx, site.Exclusion{DataCentre: place})
	return func() error {
		_, err := r.stage.Operator().RemoveExclusion(ctx, site.Exclusion{DataCentre: place})
		return err
	}, time.Now(), err
}

// longestGap asks for one key again and again, and returns the longest time
// from one answer to the next, less what an answer takes at other times.
func (r *run) longestGap(ctx context.Context, key string) time.Duration {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: false, MaxIdleConnsPerHost: 2}}
	keyed := strings.SplitN(r.example(), "/", 2)[0]
	answered, worst := time.Now(), time.Duration(0)
	for n := uint64(0); ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, "http://"+r.Pick(n)+"/"+keyed+"/items/"+key, nil)
		if err != nil {
			return worst
		}
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				worst = max(worst, time.Since(answered))
				answered = time.Now()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return max(worst, time.Since(answered))
}

// Idle is what daemons without any caller cost.
type Idle struct {
	Daemons     int            `json:"daemons"`
	For         Duration       `json:"for"`
	CallsPerMin map[string]int `json:"callsPerMinute"` // of the platform, by kind and data centre
	// BytesPerSecond are the control messages of the busiest daemon, out and in.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	MeanBytes      float64 `json:"meanBytesPerSecond"`
}

// MeasureIdle counts control traffic and platform calls without any load.
func MeasureIdle(ctx context.Context, hosts int, length time.Duration, opts ...Option) (Idle, error) {
	r := newRun(opts)
	for name := range r.plan.Hosts {
		r.plan.Hosts[name] = max(1, hosts/len(r.plan.Hosts))
	}
	if hosts%len(r.plan.Hosts) != 0 {
		r.plan.Hosts[r.plan.Site.DataCentres[0].Name] += hosts % len(r.plan.Hosts)
	}
	if err := r.start(ctx, Catkinstep); err != nil {
		return Idle{}, err
	}
	defer r.stop()
	time.Sleep(5 * time.Second) // the first handovers
	before, bytes := r.stage.Store.Calls(), r.bytes()
	time.Sleep(length)
	out := Idle{Daemons: r.stage.Hosts(), For: Duration(length), CallsPerMin: map[string]int{}}
	for k, n := range r.stage.Store.Calls() {
		if n -= before[k]; n > 0 {
			out.CallsPerMin[k] = int(float64(n) / length.Minutes())
		}
	}
	for i, n := range r.bytes() {
		v := float64(n-bytes[i]) / length.Seconds()
		out.BytesPerSecond = max(out.BytesPerSecond, v)
		out.MeanBytes += v / float64(r.stage.Hosts())
	}
	return out, nil
}

// bytes returns the control bytes of each daemon so far, what it was asked by
// others included.
func (r *run) bytes() []int64 {
	out := make([]int64, r.stage.Hosts())
	for i := range out {
		out[i] = r.stage.ControlBytes(i)
	}
	return out
}

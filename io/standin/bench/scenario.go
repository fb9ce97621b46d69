package bench

import (
	"context"
	"time"

	"catkinstep/core/version/site"
	"catkinstep/io/standin/server"
)

// scenario is a load and the events that happen during it.
type scenario struct {
	zipfExponent       float64
	nonIdempotentShare float64
	injectEvents       func(ctx context.Context, r *run)
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"steady":     {zipfExponent: 1.1, nonIdempotentShare: 0.2, injectEvents: func(context.Context, *run) {}},
		"slowed":     {nonIdempotentShare: 0.1, injectEvents: slowed},
		"departure":  {nonIdempotentShare: 0.1, injectEvents: departure},
		"turnsCold":  {nonIdempotentShare: 0.1, injectEvents: turnsCold},
		"hotKey":     {zipfExponent: 1.6, nonIdempotentShare: 0.1, injectEvents: func(context.Context, *run) {}},
		"serverLoss": {nonIdempotentShare: 0.1, injectEvents: serverLoss},
		"hostLoss":   {nonIdempotentShare: 0.2, injectEvents: hostLoss},
		"story":      {zipfExponent: 1.05, nonIdempotentShare: 0.2, injectEvents: story},
	}
}

// ScenarioNames returns the names of the benchmarks' scenarios. It omits story, which only the
// demo runs.
func ScenarioNames() []string {
	return []string{"steady", "slowed", "departure", "turnsCold", "hotKey", "serverLoss", "hostLoss"}
}

// waitUntilFraction blocks until a fraction of the run has passed. It returns false if the
// context ends first.
func (r *run) waitUntilFraction(ctx context.Context, fraction float64) bool {
	t := time.NewTimer(time.Until(r.loadStartedAt.Add(time.Duration(fraction * float64(r.duration)))))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// slowed makes a fifth of each service's servers ten times slower, in three phases.
func slowed(ctx context.Context, r *run) {
	for phase := 0; phase < 3; phase++ {
		if !r.waitUntilFraction(ctx, 0.1+float64(phase)*0.3) {
			return
		}
		var slowServers []*server.Server
		for _, s := range r.cluster.Site().Services {
			all := r.serverAddresses(s.Name)
			for i := range max(1, len(all)/5) {
				v := r.cluster.Servers[all[(i*5+phase*2)%len(all)]]
				v.SetFaults(server.Faults{SlowdownFactor: 10})
				slowServers = append(slowServers, v)
			}
		}
		r.progressf("%d servers are ten times slower", len(slowServers))
		reached := r.waitUntilFraction(ctx, 0.1+float64(phase)*0.3+0.15)
		for _, v := range slowServers {
			v.SetFaults(server.Faults{})
		}
		r.progressf("the slowed servers are back to normal speed")
		if !reached {
			return
		}
	}
}

// departure takes a data centre out of service, and later back in.
func departure(ctx context.Context, r *run) {
	if !r.waitUntilFraction(ctx, 0.2) {
		return
	}
	dataCentre := r.cluster.Site().DataCentres[1].Name
	r.exclude(ctx, dataCentre)
	if !r.waitUntilFraction(ctx, 0.6) {
		return
	}
	r.include(ctx, dataCentre)
}

func (r *run) exclude(ctx context.Context, dataCentre string) {
	for _, s := range r.cluster.Site().Services {
		r.churn.ExpectMoves(s.Name, r.cluster.ServersIn(dataCentre, s.Name), 2)
	}
	if r.baseline != nil {
		r.baseline.SetExcluded(dataCentre, true)
	} else if _, err := r.cluster.Operator().Exclude(ctx, site.Exclusion{DataCentre: dataCentre}); err != nil {
		r.progressf("data centre out %s: %v", dataCentre, err)
		return
	}
	r.cluster.Oracle.RecordExclusion(dataCentre, "", time.Now())
	r.progressf("data centre %s is out of service", dataCentre)
}

func (r *run) include(ctx context.Context, dataCentre string) {
	r.cluster.Oracle.RecordInclusion(dataCentre, "", time.Now())
	if r.baseline != nil {
		r.baseline.SetExcluded(dataCentre, false)
	} else if _, err := r.cluster.Operator().RemoveExclusion(ctx, site.Exclusion{DataCentre: dataCentre}); err != nil {
		r.progressf("data centre in %s: %v", dataCentre, err)
		return
	}
	r.progressf("data centre %s is back in service", dataCentre)
}

// turnsCold makes one server of each service cold without a restart, and restarts another.
func turnsCold(ctx context.Context, r *run) {
	if !r.waitUntilFraction(ctx, 0.25) {
		return
	}
	for _, s := range r.cluster.Site().Services {
		r.cluster.Servers[r.serverAddresses(s.Name)[0]].TurnCold()
	}
	r.progressf("a server of each service has turned cold without a restart")
	if !r.waitUntilFraction(ctx, 0.5) {
		return
	}
	for _, s := range r.cluster.Site().Services {
		v := r.cluster.Servers[r.serverAddresses(s.Name)[1]]
		v.Stop()
		if err := v.Start(); err != nil {
			r.progressf("restart: %v", err)
		}
	}
	r.progressf("another server of each service has restarted, cold")
}

// serverLoss crashes a server of each service and restarts it.
func serverLoss(ctx context.Context, r *run) {
	if !r.waitUntilFraction(ctx, 0.2) {
		return
	}
	r.crashServers()
	if !r.waitUntilFraction(ctx, 0.6) {
		return
	}
	r.restartServers()
}

func (r *run) crashServers() {
	for _, s := range r.cluster.Site().Services {
		lost := r.serverAddresses(s.Name)[2]
		r.churn.ExpectMoves(s.Name, []string{lost}, 2)
		r.cluster.Servers[lost].Stop()
	}
	r.progressf("a server of each service has crashed")
}

func (r *run) restartServers() {
	for _, s := range r.cluster.Site().Services {
		if err := r.cluster.Servers[r.serverAddresses(s.Name)[2]].Start(); err != nil {
			r.progressf("restart: %v", err)
		}
	}
	r.progressf("the crashed servers have restarted, cold")
}

// hostLoss kills two entry hosts of the first data centre in turn, and restarts them. One of
// them is meant to be the leader, but nothing ensures it.
func hostLoss(ctx context.Context, r *run) {
	if r.baseline != nil {
		return
	}
	hosts := r.cluster.HostsIn(r.cluster.Site().DataCentres[0].Name)
	for i, fraction := range []float64{0.2, 0.5} {
		if !r.waitUntilFraction(ctx, fraction) {
			return
		}
		host := hosts[i]
		r.cluster.KillDaemon(host)
		r.progressf("killed daemon %d", host)
		if !r.waitUntilFraction(ctx, fraction+0.2) {
			return
		}
		if err := r.cluster.StartDaemon(host); err != nil {
			r.progressf("daemon %d: %v", host, err)
		}
		r.progressf("restarted daemon %d, without state", host)
	}
}

// story is the demo's scenario: the common faults and the commands of an operator.
func story(ctx context.Context, r *run) {
	host := r.cluster.HostCount() - 1
	dataCentre := r.cluster.Site().DataCentres[2].Name
	slowServer := r.serverAddresses(r.cluster.Site().Services[0].Name)[4]
	for _, step := range []struct {
		fraction float64
		do       func()
	}{
		{0.05, func() { r.usePreset(ctx, "peak") }},
		{0.10, func() { r.crashServers() }},
		{0.25, func() { r.restartServers() }},
		{0.32, func() {
			r.cluster.KillDaemon(host)
			r.progressf("killed the daemon on %s", r.cluster.HostAddress(host))
		}},
		{0.42, func() { r.restartDaemon(host) }},
		{0.45, func() { r.exclude(ctx, dataCentre) }},
		{0.65, func() { r.include(ctx, dataCentre) }},
		{0.72, func() {
			r.cluster.Servers[slowServer].SetFaults(server.Faults{SlowdownFactor: 10})
			r.progressf("the server %s is ten times slower", slowServer)
		}},
		{0.82, func() { r.stopDaemon(host) }},
		{0.92, func() { r.usePreset(ctx, "ordinary") }},
	} {
		if !r.waitUntilFraction(ctx, step.fraction) {
			return
		}
		step.do()
	}
}

func (r *run) usePreset(ctx context.Context, preset string) {
	applied, err := r.cluster.Operator().UsePreset(ctx, preset)
	if err != nil {
		r.progressf("preset use %s: %v", preset, err)
		return
	}
	r.progressf("preset %s is in force as version %d", applied.Preset, applied.Version)
}

func (r *run) restartDaemon(host int) {
	if err := r.cluster.StartDaemon(host); err != nil {
		r.progressf("daemon: %v", err)
		return
	}
	r.progressf("restarted the daemon on %s, without state", r.cluster.HostAddress(host))
}

func (r *run) stopDaemon(host int) {
	if err := r.cluster.StopDaemon(host); err != nil {
		r.progressf("graceful stop: %v", err)
		return
	}
	r.progressf("the daemon on %s has stopped gracefully", r.cluster.HostAddress(host))
}

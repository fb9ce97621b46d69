package bench

import (
	"context"
	"time"

	"catkinstep/core/version/site"
	"catkinstep/io/standin/server"
)

// scenario is a load and what happens during it.
type scenario struct {
	zipfExponent       float64
	nonIdempotentShare float64
	inject             func(ctx context.Context, r *run)
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"steady":     {zipfExponent: 1.1, nonIdempotentShare: 0.2, inject: func(context.Context, *run) {}},
		"slowed":     {nonIdempotentShare: 0.1, inject: slowed},
		"departure":  {nonIdempotentShare: 0.1, inject: departure},
		"turnsCold":  {nonIdempotentShare: 0.1, inject: turnsCold},
		"hotKey":     {zipfExponent: 1.6, nonIdempotentShare: 0.1, inject: func(context.Context, *run) {}},
		"serverLoss": {nonIdempotentShare: 0.1, inject: serverLoss},
		"hostLoss":   {nonIdempotentShare: 0.2, inject: hostLoss},
		"story":      {zipfExponent: 1.05, nonIdempotentShare: 0.2, inject: story},
	}
}

// Names lists the scenarios.
func ScenarioNames() []string {
	return []string{"steady", "slowed", "departure", "turnsCold", "hotKey", "serverLoss", "hostLoss"}
}

// at waits until a part of the run has passed.
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

// slowed makes a fifth of each service's servers ten times slower for spells.
func slowed(ctx context.Context, r *run) {
	for phase := 0; phase < 3; phase++ {
		if !r.waitUntilFraction(ctx, 0.1+float64(phase)*0.3) {
			return
		}
		var slow []*server.Server
		for _, s := range r.cluster.Site().Services {
			all := r.servers(s.Name)
			for i := range max(1, len(all)/5) {
				v := r.cluster.Servers[all[(i*5+phase*2)%len(all)]]
				v.SetFaults(server.Faults{SlowdownFactor: 10})
				slow = append(slow, v)
			}
		}
		r.progressf("%d servers are ten times slower", len(slow))
		ok := r.waitUntilFraction(ctx, 0.1+float64(phase)*0.3+0.15)
		for _, v := range slow {
			v.SetFaults(server.Faults{})
		}
		r.progressf("they are as fast as before")
		if !ok {
			return
		}
	}
}

// departure takes a data centre out and in again.
func departure(ctx context.Context, r *run) {
	if !r.waitUntilFraction(ctx, 0.2) {
		return
	}
	name := r.cluster.Site().DataCentres[1].Name
	r.exclude(ctx, name)
	if !r.waitUntilFraction(ctx, 0.6) {
		return
	}
	r.include(ctx, name)
}

func (r *run) exclude(ctx context.Context, name string) {
	for _, s := range r.cluster.Site().Services {
		r.churn.ExpectMoves(s.Name, r.cluster.ServersIn(name, s.Name), 2)
	}
	if r.baseline != nil {
		r.baseline.SetExcluded(name, true)
	} else if _, err := r.cluster.Operator().Out(ctx, site.Exclusion{DataCentre: name}); err != nil {
		r.progressf("data centre out %s: %v", name, err)
		return
	}
	r.cluster.Oracle.RecordExclusion(name, "", time.Now())
	r.progressf("data centre %s is out", name)
}

func (r *run) include(ctx context.Context, name string) {
	r.cluster.Oracle.RecordInclusion(name, "", time.Now())
	if r.baseline != nil {
		r.baseline.SetExcluded(name, false)
	} else if _, err := r.cluster.Operator().In(ctx, site.Exclusion{DataCentre: name}); err != nil {
		r.progressf("data centre in %s: %v", name, err)
		return
	}
	r.progressf("data centre %s is in again", name)
}

// turnsCold lets one server of each service turn cold without a warning, and
// another restart.
func turnsCold(ctx context.Context, r *run) {
	if !r.waitUntilFraction(ctx, 0.25) {
		return
	}
	for _, s := range r.cluster.Site().Services {
		r.cluster.Servers[r.servers(s.Name)[0]].TurnCold()
	}
	r.progressf("a server of each service has turned cold")
	if !r.waitUntilFraction(ctx, 0.5) {
		return
	}
	for _, s := range r.cluster.Site().Services {
		v := r.cluster.Servers[r.servers(s.Name)[1]]
		v.Stop()
		if err := v.Start(); err != nil {
			r.progressf("restart: %v", err)
		}
	}
	r.progressf("another server of each service has restarted, cold")
}

// serverLoss ends a server of each service and brings it back.
func serverLoss(ctx context.Context, r *run) {
	if !r.waitUntilFraction(ctx, 0.2) {
		return
	}
	r.stopServers()
	if !r.waitUntilFraction(ctx, 0.6) {
		return
	}
	r.startServers()
}

func (r *run) stopServers() {
	for _, s := range r.cluster.Site().Services {
		lost := r.servers(s.Name)[2]
		r.churn.ExpectMoves(s.Name, []string{lost}, 2)
		r.cluster.Servers[lost].Stop()
	}
	r.progressf("a server of each service is lost")
}

func (r *run) startServers() {
	for _, s := range r.cluster.Site().Services {
		if err := r.cluster.Servers[r.servers(s.Name)[2]].Start(); err != nil {
			r.progressf("return: %v", err)
		}
	}
	r.progressf("the lost servers are back, cold")
}

// hostLoss kills entry hosts, a leader among them, and starts them again.
func hostLoss(ctx context.Context, r *run) {
	if r.baseline != nil {
		return
	}
	hosts := r.cluster.HostsIn(r.cluster.Site().DataCentres[0].Name)
	for i, fraction := range []float64{0.2, 0.5} {
		if !r.waitUntilFraction(ctx, fraction) {
			return
		}
		index := hosts[i]
		r.cluster.KillDaemon(index)
		r.progressf("daemon %d is killed", index)
		if !r.waitUntilFraction(ctx, fraction+0.2) {
			return
		}
		if err := r.cluster.StartDaemon(index); err != nil {
			r.progressf("daemon %d: %v", index, err)
		}
		r.progressf("daemon %d is started again from nothing", index)
	}
}

// story is the demo's: some of everything an operator meets.
func story(ctx context.Context, r *run) {
	last := r.cluster.HostCount() - 1
	name := r.cluster.Site().DataCentres[2].Name
	slow := r.servers(r.cluster.Site().Services[0].Name)[4]
	for _, step := range []struct {
		part float64
		do   func()
	}{
		{0.05, func() { r.usePreset(ctx, "peak") }},
		{0.10, func() { r.stopServers() }},
		{0.25, func() { r.startServers() }},
		{0.32, func() {
			r.cluster.KillDaemon(last)
			r.progressf("the daemon on %s is killed", r.cluster.HostAddress(last))
		}},
		{0.42, func() { r.startDaemon(last) }},
		{0.45, func() { r.exclude(ctx, name) }},
		{0.65, func() { r.include(ctx, name) }},
		{0.72, func() {
			r.cluster.Servers[slow].SetFaults(server.Faults{SlowdownFactor: 10})
			r.progressf("the server %s is ten times slower", slow)
		}},
		{0.82, func() { r.stopDaemon(last) }},
		{0.92, func() { r.usePreset(ctx, "ordinary") }},
	} {
		if !r.waitUntilFraction(ctx, step.part) {
			return
		}
		step.do()
	}
}

func (r *run) usePreset(ctx context.Context, preset string) {
	a, err := r.cluster.Operator().Preset(ctx, preset)
	if err != nil {
		r.progressf("preset use %s: %v", preset, err)
		return
	}
	r.progressf("preset %s is in force as version %d", a.Preset, a.Version)
}

func (r *run) startDaemon(n int) {
	if err := r.cluster.StartDaemon(n); err != nil {
		r.progressf("daemon: %v", err)
		return
	}
	r.progressf("the daemon on %s is started again from nothing", r.cluster.HostAddress(n))
}

func (r *run) stopDaemon(n int) {
	if err := r.cluster.StopDaemon(n); err != nil {
		r.progressf("planned stop: %v", err)
		return
	}
	r.progressf("the daemon on %s has stopped as planned", r.cluster.HostAddress(n))
}

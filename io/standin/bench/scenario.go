package bench

import (
	"context"
	"time"

	"catkinstep/core/version/site"
	"catkinstep/io/standin/server"
)

// scenario is a load and what happens during it.
type scenario struct {
	skew     float64
	bookings float64
	events   func(ctx context.Context, r *run)
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"steady":     {skew: 1.1, bookings: 0.2, events: func(context.Context, *run) {}},
		"slowed":     {bookings: 0.1, events: slowed},
		"departure":  {bookings: 0.1, events: departure},
		"turnsCold":  {bookings: 0.1, events: turnsCold},
		"hotKey":     {skew: 1.6, bookings: 0.1, events: func(context.Context, *run) {}},
		"serverLoss": {bookings: 0.1, events: serverLoss},
		"hostLoss":   {bookings: 0.2, events: hostLoss},
		"story":      {skew: 1.05, bookings: 0.2, events: story},
	}
}

// Names lists the scenarios.
func Names() []string {
	return []string{"steady", "slowed", "departure", "turnsCold", "hotKey", "serverLoss", "hostLoss"}
}

// at waits until a part of the run has passed.
func (r *run) at(ctx context.Context, part float64) bool {
	t := time.NewTimer(time.Until(r.began.Add(time.Duration(part * float64(r.length)))))
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
	for spell := 0; spell < 3; spell++ {
		if !r.at(ctx, 0.1+float64(spell)*0.3) {
			return
		}
		var slow []*server.Server
		for _, s := range r.stage.Site().Services {
			all := r.servers(s.Name)
			for i := range max(1, len(all)/5) {
				v := r.stage.Servers[all[(i*5+spell*2)%len(all)]]
				v.SetFaults(server.Faults{Slow: 10})
				slow = append(slow, v)
			}
		}
		r.say("%d servers are ten times slower", len(slow))
		ok := r.at(ctx, 0.1+float64(spell)*0.3+0.15)
		for _, v := range slow {
			v.SetFaults(server.Faults{})
		}
		r.say("they are as fast as before")
		if !ok {
			return
		}
	}
}

// departure takes a data centre out and in again.
func departure(ctx context.Context, r *run) {
	if !r.at(ctx, 0.2) {
		return
	}
	name := r.stage.Site().DataCentres[1].Name
	r.takeOut(ctx, name)
	if !r.at(ctx, 0.6) {
		return
	}
	r.takeIn(ctx, name)
}

func (r *run) takeOut(ctx context.Context, name string) {
	for _, s := range r.stage.Site().Services {
		r.churn.Expect(s.Name, r.stage.ServersIn(name, s.Name), 2)
	}
	if r.direct != nil {
		r.direct.SetOut(name, true)
	} else if _, err := r.stage.Operator().Exclude(ctx, site.Exclusion{DataCentre: name}); err != nil {
		r.say("data centre out %s: %v", name, err)
		return
	}
	r.stage.Oracle.Out(name, "", time.Now())
	r.say("data centre %s is out", name)
}

func (r *run) takeIn(ctx context.Context, name string) {
	r.stage.Oracle.In(name, "", time.Now())
	if r.direct != nil {
		r.direct.SetOut(name, false)
	} else if _, err := r.stage.Operator().RemoveExclusion(ctx, site.Exclusion{DataCentre: name}); err != nil {
		r.say("data centre in %s: %v", name, err)
		return
	}
	r.say("data centre %s is in again", name)
}

// turnsCold lets one server of each service turn cold without a warning, and
// another restart.
func turnsCold(ctx context.Context, r *run) {
	if !r.at(ctx, 0.25) {
		return
	}
	for _, s := range r.stage.Site().Services {
		r.stage.Servers[r.servers(s.Name)[0]].TurnCold()
	}
	r.say("a server of each service has turned cold")
	if !r.at(ctx, 0.5) {
		return
	}
	for _, s := range r.stage.Site().Services {
		v := r.stage.Servers[r.servers(s.Name)[1]]
		v.Stop()
		if err := v.Start(); err != nil {
			r.say("restart: %v", err)
		}
	}
	r.say("another server of each service has restarted, cold")
}

// serverLoss ends a server of each service and brings it back.
func serverLoss(ctx context.Context, r *run) {
	if !r.at(ctx, 0.2) {
		return
	}
	r.loseServers()
	if !r.at(ctx, 0.6) {
		return
	}
	r.returnServers()
}

func (r *run) loseServers() {
	for _, s := range r.stage.Site().Services {
		lost := r.servers(s.Name)[2]
		r.churn.Expect(s.Name, []string{lost}, 2)
		r.stage.Servers[lost].Stop()
	}
	r.say("a server of each service is lost")
}

func (r *run) returnServers() {
	for _, s := range r.stage.Site().Services {
		if err := r.stage.Servers[r.servers(s.Name)[2]].Start(); err != nil {
			r.say("return: %v", err)
		}
	}
	r.say("the lost servers are back, cold")
}

// hostLoss kills entry hosts, a leader among them, and starts them again.
func hostLoss(ctx context.Context, r *run) {
	if r.direct != nil {
		return
	}
	first := r.stage.HostsIn(r.stage.Site().DataCentres[0].Name)
	for i, part := range []float64{0.2, 0.5} {
		if !r.at(ctx, part) {
			return
		}
		n := first[i]
		r.stage.KillDaemon(n)
		r.say("daemon %d is killed", n)
		if !r.at(ctx, part+0.2) {
			return
		}
		if err := r.stage.StartDaemon(n); err != nil {
			r.say("daemon %d: %v", n, err)
		}
		r.say("daemon %d is started again from nothing", n)
	}
}

// story is the demo's: some of everything an operator meets.
func story(ctx context.Context, r *run) {
	last := r.stage.Hosts() - 1
	name := r.stage.Site().DataCentres[2].Name
	slow := r.servers(r.stage.Site().Services[0].Name)[4]
	for _, step := range []struct {
		part float64
		do   func()
	}{
		{0.05, func() { r.use(ctx, "peak") }},
		{0.10, func() { r.loseServers() }},
		{0.25, func() { r.returnServers() }},
		{0.32, func() { r.stage.KillDaemon(last); r.say("the daemon on %s is killed", r.stage.HostAddress(last)) }},
		{0.42, func() { r.startAgain(last) }},
		{0.45, func() { r.takeOut(ctx, name) }},
		{0.65, func() { r.takeIn(ctx, name) }},
		{0.72, func() {
			r.stage.Servers[slow].SetFaults(server.Faults{Slow: 10})
			r.say("the server %s is ten times slower", slow)
		}},
		{0.82, func() { r.stopPlanned(last) }},
		{0.92, func() { r.use(ctx, "ordinary") }},
	} {
		if !r.at(ctx, step.part) {
			return
		}
		step.do()
	}
}

func (r *run) use(ctx context.Context, preset string) {
	a, err := r.stage.Operator().UsePreset(ctx, preset)
	if err != nil {
		r.say("preset use %s: %v", preset, err)
		return
	}
	r.say("preset %s is in force as version %d", a.Preset, a.Version)
}

func (r *run) startAgain(n int) {
	if err := r.stage.StartDaemon(n); err != nil {
		r.say("daemon: %v", err)
		return
	}
	r.say("the daemon on %s is started again from nothing", r.stage.HostAddress(n))
}

func (r *run) stopPlanned(n int) {
	if err := r.stage.StopDaemon(n); err != nil {
		r.say("planned stop: %v", err)
		return
	}
	r.say("the daemon on %s has stopped as planned", r.stage.HostAddress(n))
}

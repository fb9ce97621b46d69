// Package stage runs a whole site in one process on loopback: the platform's
// stand-in, backend server stand-ins, and daemons on addresses of their own.
// The demo and the bench use it.
//
// # Usage
//
//	r, err := stage.Start(stage.Lakeshore(), stage.WithSeed(1))
//	defer r.Stop()
//	err = r.Ready(ctx)
//	r.KillDaemon(0)
//
// Errors say which part could not be started.
package stage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"catkinstep/core/version/site"
	"catkinstep/io/process/admin"
	"catkinstep/io/process/native"
	"catkinstep/io/process/prefs"
	"catkinstep/io/standin/oracle"
	"catkinstep/io/standin/server"
	"catkinstep/io/standin/store"
)

// Plan is what a stage runs.
type Plan struct {
	Site site.Site
	// Hosts is the number of entry hosts in each data centre.
	Hosts map[string]int
	// Work is the mean time of a request at a server.
	Work time.Duration
}

// Option changes a Stage that Start makes.
type Option func(*Stage)

// WithSeed seeds all stand-ins and daemons.
func WithSeed(seed uint64) Option { return func(r *Stage) { r.seed = seed } }

// WithLogger sets where the daemons log.
func WithLogger(l *slog.Logger) Option { return func(r *Stage) { r.log = l } }

// WithoutDaemons runs the stand-ins alone, for the baseline.
func WithoutDaemons() Option { return func(r *Stage) { r.bare = true } }

// Stage is a running site.
type Stage struct {
	Oracle  *oracle.Oracle
	Store   *store.Store
	Servers map[string]*server.Server

	plan     Plan
	seed     uint64
	log      *slog.Logger
	bare     bool
	octet    int
	platform *http.Server

	mu     sync.Mutex
	hosts  []*host
	killed map[string]bool
}

type host struct {
	prefs  prefs.Prefs
	daemon *native.Daemon // nil while it is down
}

const (
	platformPort = 7000
	callersPort  = 8080
	meshPort     = 7100
	operatorPort = 7200
	serverPort   = 9000
	stopPatience = 10 * time.Second
)

// Start runs the plan. Addresses are 127.N.x.y, with the first N that is free.
func Start(p Plan, opts ...Option) (*Stage, error) {
	r := &Stage{Oracle: oracle.New(), Servers: map[string]*server.Server{}, plan: p, seed: 1,
		log: slog.New(slog.DiscardHandler), killed: map[string]bool{}}
	for _, o := range opts {
		o(r)
	}
	r.Store = store.New(store.WithSeed(r.seed))
	l, err := r.claim()
	if err != nil {
		return nil, err
	}
	r.platform = &http.Server{Handler: r.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.platform.Serve(l) }()
	r.address()
	if err := r.startServers(); err != nil {
		r.Stop()
		return nil, err
	}
	if r.bare {
		return r, nil
	}
	if err := r.startHosts(); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// claim finds a free range of addresses by listening on its platform port.
func (r *Stage) claim() (net.Listener, error) {
	var last error
	for n := 20; n < 120; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, platformPort))
		if err == nil {
			r.octet = n
			return l, nil
		}
		last = err
	}
	return nil, fmt.Errorf("stage: no free addresses: %w", last)
}

// address gives each server of the plan its address.
func (r *Stage) address() {
	places := make([]site.DataCentre, len(r.plan.Site.DataCentres))
	for i, d := range r.plan.Site.DataCentres {
		places[i] = site.DataCentre{Name: d.Name}
		for j, v := range d.Servers {
			v.Address = fmt.Sprintf("127.%d.%d.%d:%d", r.octet, 100+i, j+1, serverPort)
			places[i].Servers = append(places[i].Servers, v)
		}
	}
	r.plan.Site.DataCentres = places
}

func (r *Stage) startServers() error {
	n := r.seed * 1000
	for _, d := range r.plan.Site.DataCentres {
		for _, v := range d.Servers {
			n++
			s, _ := r.plan.Site.Service(v.Service)
			sv := server.New(server.Config{
				Address: v.Address, Service: v.Service, DataCentre: d.Name, Slots: s.Slots,
				Keyed: s.Keyed && !r.bare, Work: r.plan.Work, Cold: s.ColdPeriod, ColdRate: s.ColdRate, Seed: n,
			}, r.Oracle)
			if err := sv.Start(); err != nil {
				return err
			}
			r.Servers[v.Address] = sv
		}
	}
	return nil
}

func (r *Stage) startHosts() error {
	var peers []string
	for i, d := range r.plan.Site.DataCentres {
		for j := range r.plan.Hosts[d.Name] {
			ip := fmt.Sprintf("127.%d.%d.%d", r.octet, i+1, j+1)
			r.hosts = append(r.hosts, &host{prefs: prefs.Prefs{
				DataCentre:      d.Name,
				CallerAddress:   fmt.Sprintf("%s:%d", ip, callersPort),
				MeshAddress:     fmt.Sprintf("%s:%d", ip, meshPort),
				OperatorAddress: fmt.Sprintf("%s:%d", ip, operatorPort),
				PlatformAddress: fmt.Sprintf("127.%d.0.1:%d", r.octet, platformPort),
				MaxBodyBytes:    1 << 20,
			}})
			peers = append(peers, fmt.Sprintf("%s:%d", ip, meshPort))
		}
	}
	for i, h := range r.hosts {
		h.prefs.Peers = peers
		if err := r.StartDaemon(i); err != nil {
			return err
		}
	}
	return nil
}

// Ready applies the site and waits until every key has a holder that can be
// sent to, as an operator's first minute would go.
func (r *Stage) Ready(ctx context.Context) error {
	data, err := r.plan.Site.Marshal()
	if err != nil {
		return err
	}
	if _, err := r.Operator().Apply(ctx, "demo.yaml", data); err != nil {
		return fmt.Errorf("stage: apply: %w", err)
	}
	for ctx.Err() == nil {
		if r.settled() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("stage: the keys did not get holders in time")
}

func (r *Stage) settled() bool {
	for _, h := range r.live() {
		if !h.daemon.Ready() || !h.daemon.AllRangesOpen() {
			return false
		}
	}
	return true
}

// Stop ends everything at once.
func (r *Stage) Stop() {
	var wg sync.WaitGroup
	for _, h := range r.live() {
		wg.Go(h.daemon.Kill)
	}
	wg.Wait()
	for _, s := range r.Servers {
		s.Stop()
	}
	_ = r.platform.Close()
}

// Site returns the configuration with its addresses.
func (r *Stage) Site() site.Site { return r.plan.Site }

// Operator returns a client of a live daemon.
func (r *Stage) Operator() *admin.Client {
	return admin.NewClient(r.live()[0].prefs.OperatorAddress, "")
}

// ServersIn returns the addresses of a data centre's servers of a service.
func (r *Stage) ServersIn(dataCentre, service string) []string {
	var out []string
	d, _ := r.plan.Site.DataCentre(dataCentre)
	for _, v := range d.Servers {
		if v.Service == service || service == "" {
			out = append(out, v.Address)
		}
	}
	return out
}

// Pick implements load.Balancer: the hosts whose readiness check passes.
func (r *Stage) Pick(n uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []string
	for _, h := range r.hosts {
		if h.daemon != nil && h.daemon.Ready() {
			ready = append(ready, h.prefs.CallerAddress)
		}
	}
	if len(ready) == 0 {
		return r.hosts[0].prefs.CallerAddress
	}
	return ready[n%uint64(len(ready))]
}

// Killed implements load.Balancer.
func (r *Stage) Killed(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.killed[address]
}

// Package stage runs a whole site in one process on loopback addresses: stand-ins for
// the platform and for the backend servers, and a daemon for each entry host. The demo
// and the benchmarks use it.
//
// # Usage
//
//	c, err := stage.Start(stage.Lakeshore(), stage.WithSeed(1))
//	defer c.Stop()
//	err = c.Configure(ctx)
//	c.KillDaemon(0)
//
// Errors say which component could not be started.
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

// Plan describes what a Cluster runs.
type Plan struct {
	Site site.Site
	// HostsPerDataCentre is the number of entry hosts, by data centre.
	HostsPerDataCentre map[string]int
	// MeanServiceTime is the mean time that a request runs on a server that is not slowed down.
	MeanServiceTime time.Duration
}

// Option configures a Cluster.
type Option func(*Cluster)

// WithSeed seeds the stand-ins; 1 by default.
func WithSeed(seed uint64) Option { return func(c *Cluster) { c.seed = seed } }

// WithLogger sets the daemons' logger. By default, they don't log.
func WithLogger(l *slog.Logger) Option { return func(c *Cluster) { c.log = l } }

// WithoutDaemons runs only the stand-ins, for the baseline.
func WithoutDaemons() Option { return func(c *Cluster) { c.withoutDaemons = true } }

// Cluster is a running site.
type Cluster struct {
	Oracle  *oracle.Oracle
	Store   *store.Store
	Servers map[string]*server.Server

	plan           Plan
	seed           uint64
	log            *slog.Logger
	withoutDaemons bool
	secondOctet    int
	platformServer *http.Server

	mu     sync.Mutex
	hosts  []*host
	killed map[string]bool
}

type host struct {
	prefs  prefs.Prefs
	daemon *native.Daemon // nil while it does not run
}

const (
	platformPort = 7000
	callersPort  = 8080
	meshPort     = 7100
	operatorPort = 7200
	serverPort   = 9000
	stopTimeout  = 10 * time.Second
)

// Start starts the plan's site. All addresses are in 127.N.0.0/16, with the first N that is
// free, so that several clusters can run on one machine.
func Start(p Plan, opts ...Option) (*Cluster, error) {
	c := &Cluster{Oracle: oracle.New(), Servers: map[string]*server.Server{}, plan: p, seed: 1,
		log: slog.New(slog.DiscardHandler), killed: map[string]bool{}}
	for _, o := range opts {
		o(c)
	}
	c.Store = store.New(store.WithSeed(c.seed))
	l, err := c.reserveAddresses()
	if err != nil {
		return nil, err
	}
	c.platformServer = &http.Server{Handler: c.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = c.platformServer.Serve(l) }()
	c.assignAddresses()
	if err := c.startServers(); err != nil {
		c.Stop()
		return nil, err
	}
	if c.withoutDaemons {
		return c, nil
	}
	if err := c.startHosts(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// reserveAddresses finds a free range of addresses and listens on the platform's address in it,
// which marks the range as in use.
func (c *Cluster) reserveAddresses() (net.Listener, error) {
	var lastErr error
	for n := 20; n < 120; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, platformPort))
		if err == nil {
			c.secondOctet = n
			return l, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("stage: no free addresses: %w", lastErr)
}

// assignAddresses sets the address of each server in the plan.
func (c *Cluster) assignAddresses() {
	dataCentres := make([]site.DataCentre, len(c.plan.Site.DataCentres))
	for i, d := range c.plan.Site.DataCentres {
		dataCentres[i] = site.DataCentre{Name: d.Name}
		for j, v := range d.Servers {
			v.Address = fmt.Sprintf("127.%d.%d.%d:%d", c.secondOctet, 100+i, j+1, serverPort)
			dataCentres[i].Servers = append(dataCentres[i].Servers, v)
		}
	}
	c.plan.Site.DataCentres = dataCentres
}

func (c *Cluster) startServers() error {
	n := c.seed * 1000
	for _, d := range c.plan.Site.DataCentres {
		for _, v := range d.Servers {
			n++
			s, _ := c.plan.Site.Service(v.Service)
			sv := server.New(server.Config{
				Address: v.Address, Service: v.Service, DataCentre: d.Name, Slots: s.Slots,
				Keyed: s.Keyed && !c.withoutDaemons, MeanServiceTime: c.plan.MeanServiceTime, ColdPeriod: s.ColdPeriod, ColdRate: s.ColdRate, Seed: n,
			}, c.Oracle)
			if err := sv.Start(); err != nil {
				return err
			}
			c.Servers[v.Address] = sv
		}
	}
	return nil
}

func (c *Cluster) startHosts() error {
	var peers []string
	for i, d := range c.plan.Site.DataCentres {
		for j := range c.plan.HostsPerDataCentre[d.Name] {
			ip := fmt.Sprintf("127.%d.%d.%d", c.secondOctet, i+1, j+1)
			c.hosts = append(c.hosts, &host{prefs: prefs.Prefs{
				DataCentre:      d.Name,
				CallerAddress:   fmt.Sprintf("%s:%d", ip, callersPort),
				MeshAddress:     fmt.Sprintf("%s:%d", ip, meshPort),
				OperatorAddress: fmt.Sprintf("%s:%d", ip, operatorPort),
				PlatformAddress: fmt.Sprintf("127.%d.0.1:%d", c.secondOctet, platformPort),
				MaxBodyBytes:    1 << 20,
			}})
			peers = append(peers, fmt.Sprintf("%s:%d", ip, meshPort))
		}
	}
	for i, h := range c.hosts {
		h.prefs.Peers = peers
		if err := c.StartDaemon(i); err != nil {
			return err
		}
	}
	return nil
}

// Configure applies the site's configuration, as an operator does on a new site, and waits until
// every daemon is ready and every key has a holder that accepts requests.
func (c *Cluster) Configure(ctx context.Context) error {
	data, err := c.plan.Site.Marshal()
	if err != nil {
		return err
	}
	if _, err := c.Operator().Apply(ctx, "demo.yaml", data); err != nil {
		return fmt.Errorf("stage: apply: %w", err)
	}
	for ctx.Err() == nil {
		if c.allReady() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("stage: timed out waiting for a holder of every key")
}

func (c *Cluster) allReady() bool {
	for _, h := range c.runningHosts() {
		if !h.daemon.Ready() || !h.daemon.AllRangesOpen() {
			return false
		}
	}
	return true
}

// Stop kills the daemons and stops the stand-ins at once.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, h := range c.runningHosts() {
		wg.Go(h.daemon.Kill)
	}
	wg.Wait()
	for _, s := range c.Servers {
		s.Stop()
	}
	_ = c.platformServer.Close()
}

// Site returns the site's configuration, with the servers' addresses.
func (c *Cluster) Site() site.Site { return c.plan.Site }

// Operator returns an operator's client of a daemon that runs.
func (c *Cluster) Operator() *admin.Client {
	return admin.NewClient(c.runningHosts()[0].prefs.OperatorAddress, "")
}

// ServersIn returns the addresses of the servers of a service in a data centre; those of all
// services if the service is empty.
func (c *Cluster) ServersIn(dataCentre, service string) []string {
	var addresses []string
	d, _ := c.plan.Site.DataCentre(dataCentre)
	for _, v := range d.Servers {
		if v.Service == service || service == "" {
			addresses = append(addresses, v.Address)
		}
	}
	return addresses
}

// Pick implements load.Balancer. It chooses among the hosts that pass their readiness check.
func (c *Cluster) Pick(n uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []string
	for _, h := range c.hosts {
		if h.daemon != nil && h.daemon.Ready() {
			ready = append(ready, h.prefs.CallerAddress)
		}
	}
	if len(ready) == 0 {
		return c.hosts[0].prefs.CallerAddress
	}
	return ready[n%uint64(len(ready))]
}

// WasKilled implements load.Balancer.
func (c *Cluster) WasKilled(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed[address]
}

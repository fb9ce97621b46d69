package router

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"catkinstep/core/process/reach"
	"catkinstep/io/connection/link"
)

const (
	// reachCheckInterval is the time between two checks of whether this host reaches servers.
	reachCheckInterval = 100 * time.Millisecond
	// minDialWait is how long an attempt to connect must have waited for its time-out to say something of
	// the server. One that ends earlier had little time because of its caller's deadline.
	minDialWait = 2 * link.DialTimeout / 3
)

// reachMsg carries a message to the monitor of the links to servers.
type reachMsg struct{ msg reach.Msg }

// observedDialer reports the attempts to connect to servers to the control loop.
type observedDialer struct {
	r     *Router
	inner link.Dialer
}

// DialContext implements link.Dialer.
func (d observedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	startedAt := time.Now()
	conn, err := d.inner.DialContext(ctx, network, address)
	switch {
	case err == nil:
		d.r.connectedAt.Store(d.r.now().UnixNano())
	case isServerUnreachable(ctx, err, time.Since(startedAt)):
		d.r.tryPost(reachMsg{reach.DialFailedMsg{Address: address}})
	}
	return conn, err
}

// isServerUnreachable reports whether a failed attempt to connect says that the server cannot be reached.
func isServerUnreachable(ctx context.Context, err error, waited time.Duration) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	var netErr net.Error
	if ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout() {
		return waited >= minDialWait
	}
	return true
}

// updateReach passes a message to the monitor of the links to servers and executes its commands.
func (c *control) updateReach(now time.Time, m reach.Msg) {
	for _, cmd := range c.reach.Update(now, m) {
		switch cmd := cmd.(type) {
		case reach.ProbeCmd:
			go c.r.probe(cmd.Addresses)
		case reach.ChangedCmd:
			c.setCutOff(now, cmd)
		}
	}
}

// checkReach looks whether servers still respond, if that is due.
func (c *control) checkReach(now time.Time) {
	if !c.due(now, &c.lastRuns.reachCheck, reachCheckInterval) {
		return
	}
	c.r.mu.Lock()
	silent := c.r.balancer.Silent(time.Now())
	c.r.mu.Unlock()
	c.updateReach(now, reach.ConnectedMsg{At: time.Unix(0, c.r.connectedAt.Load())})
	c.updateReach(now, reach.TickMsg{Silent: silent})
}

// updateReachableServers tells the monitor which servers there are.
func (c *control) updateReachableServers(now time.Time) {
	var servers []reach.Server
	for _, s := range c.r.current.Load().fleet.All() {
		servers = append(servers, reach.Server{Address: s.Address, Local: s.DataCentre == c.r.self.DataCentre})
	}
	c.updateReach(now, reach.ServersMsg{Servers: servers})
}

// setCutOff puts into force that this host reaches no servers, or does again. In the first case other
// daemons carry its requests, and another one leads.
func (c *control) setCutOff(now time.Time, change reach.ChangedCmd) {
	c.members.SetCutOff(change.CutOff)
	c.r.cutOff.Store(change.CutOff)
	if change.CutOff {
		c.r.log.Warn("servers: none can be reached from this host", "failed", change.Failed, "since", now.Sub(change.Since).String(), "leading", c.keeper != nil)
		c.r.metrics.increment("servers.cutOff")
		c.r.clientPool.closeIdle()
		c.r.withdrawLosses(time.Now().Add(change.Since.Sub(now)))
		c.offerCarry(now)
	} else {
		c.r.log.Info("servers: reached again from this host")
		c.r.mu.Lock()
		c.r.balancer.ForgetFailures()
		c.r.mu.Unlock()
	}
	if c.keeper != nil {
		c.propagateToAll(now)
		return
	}
	c.propagateChange(now, true)
}

// probe tries to open a connection to each of some servers.
func (r *Router) probe(addresses []string) {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), link.DialTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	result := reach.ProbedMsg{}
	for _, address := range addresses {
		wg.Go(func() {
			conn, err := r.clientPool.plainDialer().DialContext(ctx, "tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.Failed = append(result.Failed, address)
				return
			}
			result.AnyOK = true
		})
	}
	wg.Wait()
	r.post(reachMsg{result})
}

package stage

import (
	"context"
	"fmt"

	"catkinstep/io/process/admin"
	"catkinstep/io/process/native"
)

// HostCount returns the number of entry hosts.
func (c *Cluster) HostCount() int { return len(c.hosts) }

// HostAddress returns the address on which an entry host serves callers.
func (c *Cluster) HostAddress(i int) string { return c.hosts[i].prefs.CallerAddress }

// Daemon returns an entry host's daemon; nil while it does not run.
func (c *Cluster) Daemon(i int) *native.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[i].daemon
}

// HostsIn returns the indexes of a data centre's entry hosts.
func (c *Cluster) HostsIn(dataCentre string) []int {
	var indexes []int
	for i, h := range c.hosts {
		if h.prefs.DataCentre == dataCentre {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// StartDaemon starts an entry host's daemon, without any state of an earlier incarnation.
func (c *Cluster) StartDaemon(i int) error {
	h := c.hosts[i]
	d, err := native.Start(h.prefs, native.WithLogger(c.log.With("host", h.prefs.MeshAddress)), native.WithOperatorHandler(admin.Handler))
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.daemon = d
	delete(c.killed, h.prefs.CallerAddress)
	return nil
}

// KillDaemon kills an entry host's daemon at once, as SIGKILL does.
func (c *Cluster) KillDaemon(i int) {
	c.mu.Lock()
	h := c.hosts[i]
	d := h.daemon
	h.daemon = nil
	c.killed[h.prefs.CallerAddress] = true
	c.mu.Unlock()
	if d != nil {
		d.Kill()
	}
}

// StopDaemon stops an entry host's daemon gracefully.
func (c *Cluster) StopDaemon(i int) error {
	c.mu.Lock()
	h := c.hosts[i]
	d := h.daemon
	c.mu.Unlock()
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := d.Stop(ctx)
	c.mu.Lock()
	h.daemon = nil
	c.mu.Unlock()
	return err
}

func (c *Cluster) runningHosts() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []*host
	for _, h := range c.hosts {
		if h.daemon != nil {
			running = append(running, h)
		}
	}
	return running
}

// BaselineHostCount returns the number of entry hosts in the plan. Unlike HostCount, it also
// counts them if the cluster runs without daemons.
func (c *Cluster) BaselineHostCount() int {
	n := 0
	for _, h := range c.plan.HostsPerDataCentre {
		n += h
	}
	return n
}

// BaselineHostAddress returns the address for an entry host of the baseline.
func (c *Cluster) BaselineHostAddress(i int) string {
	return fmt.Sprintf("127.%d.200.%d:%d", c.secondOctet, i+1, callersPort)
}

// IsLeader reports whether an entry host's daemon is the leader, which grants keys.
func (c *Cluster) IsLeader(i int) bool {
	d := c.Daemon(i)
	return d != nil && d.IsLeader()
}

// ControlBytes returns how many bytes of control messages an entry host's daemon has sent and
// received; zero if it does not run.
func (c *Cluster) ControlBytes(i int) int64 {
	d := c.Daemon(i)
	if d == nil {
		return 0
	}
	return d.ControlBytes()
}

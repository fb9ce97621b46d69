package stage

import (
	"context"
	"fmt"

	"catkinstep/io/process/admin"
	"catkinstep/io/process/native"
)

// Hosts returns the number of entry hosts.
func (r *Stage) Hosts() int { return len(r.hosts) }

// HostAddress returns the address for callers of an entry host.
func (r *Stage) HostAddress(i int) string { return r.hosts[i].prefs.CallerAddress }

// Daemon returns an entry host's daemon; nil while it is down.
func (r *Stage) Daemon(i int) *native.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[i].daemon
}

// HostsIn returns the numbers of a data centre's entry hosts.
func (r *Stage) HostsIn(dataCentre string) []int {
	var out []int
	for i, h := range r.hosts {
		if h.prefs.DataCentre == dataCentre {
			out = append(out, i)
		}
	}
	return out
}

// StartDaemon starts an entry host's daemon from nothing.
func (r *Stage) StartDaemon(i int) error {
	h := r.hosts[i]
	d, err := native.Start(h.prefs, native.WithLogger(r.log.With("host", h.prefs.MeshAddress)), native.WithOperatorHandler(admin.Handler))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h.daemon = d
	delete(r.killed, h.prefs.CallerAddress)
	return nil
}

// KillDaemon ends a daemon at once, as SIGKILL does.
func (r *Stage) KillDaemon(i int) {
	r.mu.Lock()
	h := r.hosts[i]
	d := h.daemon
	h.daemon = nil
	r.killed[h.prefs.CallerAddress] = true
	r.mu.Unlock()
	if d != nil {
		d.Kill()
	}
}

// StopDaemon ends a daemon as planned.
func (r *Stage) StopDaemon(i int) error {
	r.mu.Lock()
	h := r.hosts[i]
	d := h.daemon
	r.mu.Unlock()
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopPatience)
	defer cancel()
	err := d.Stop(ctx)
	r.mu.Lock()
	h.daemon = nil
	r.mu.Unlock()
	return err
}

func (r *Stage) live() []*host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*host
	for _, h := range r.hosts {
		if h.daemon != nil {
			out = append(out, h)
		}
	}
	return out
}

// BareHosts returns how many entry hosts the plan has, running or not.
func (r *Stage) BareHosts() int {
	n := 0
	for _, h := range r.plan.Hosts {
		n += h
	}
	return n
}

// BareAddress returns an address for an entry host of the baseline.
func (r *Stage) BareAddress(i int) string {
	return fmt.Sprintf("127.%d.200.%d:%d", r.octet, i+1, callersPort)
}

// Leads tells whether an entry host's daemon grants keys.
func (r *Stage) Leads(i int) bool {
	d := r.Daemon(i)
	return d != nil && d.IsLeader()
}

// ControlBytes returns the bytes of control messages of a daemon so far, out and
// in.
func (r *Stage) ControlBytes(i int) int64 {
	d := r.Daemon(i)
	if d == nil {
		return 0
	}
	return d.ControlBytes()
}

package router

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/burn"
)

// Status is what the fleet has in force.
type Status struct {
	Daemons []DaemonStatus
	// Missing are addresses of daemons that did not answer.
	Missing []string
}

// DaemonStatus is what one daemon has in force.
type DaemonStatus struct {
	Name, DataCentre string
	// Leader is the daemon that grants keys, as this one knows it.
	Leader string
	// Config is the version of the configuration in force.
	Config uint64
	// Reaches tells whether the store answered it within the last seconds.
	Reaches  bool
	Stopping bool
	Counts   burn.Counts
}

// status is a daemon's own, with the addresses of the others.
type status struct {
	own    *wire.StatusReply
	others []string
}

// Fleet asks all known daemons at once what they have in force.
func (r *Router) Fleet(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	own, ok := r.ownStatus(ctx)
	if !ok {
		return Status{Missing: []string{r.self.Address}}
	}
	out := Status{Daemons: []DaemonStatus{r.readStatus(own.own)}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range own.others {
		wg.Go(func() {
			reply, err := r.call(ctx, address, &wire.Call{Kind: &wire.Call_Status{Status: &wire.Status{}}})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.GetStatus() == nil {
				r.log.Info("status: no answer", "daemon", address, "err", err)
				out.Missing = append(out.Missing, address)
				return
			}
			out.Daemons = append(out.Daemons, r.readStatus(reply.GetStatus()))
		})
	}
	wg.Wait()
	slices.SortFunc(out.Daemons, func(a, b DaemonStatus) int { return strings.Compare(a.DataCentre+a.Name, b.DataCentre+b.Name) })
	slices.Sort(out.Missing)
	return out
}

func (r *Router) ownStatus(ctx context.Context) (status, bool) {
	reply := make(chan status, 1)
	if !r.post(statusMsg{reply: reply}) {
		return status{}, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-ctx.Done():
		return status{}, false
	}
}

// reachedWithin is how long ago the store may have answered a daemon that is
// said to reach it. Daemons that do not read it themselves learn from others.
const reachedWithin = 10 * time.Second

func (r *Router) readStatus(s *wire.StatusReply) DaemonStatus {
	out := DaemonStatus{Name: s.Daemon, DataCentre: s.DataCentre, Leader: s.Leader, Config: s.Config, Stopping: s.Stopping,
		Reaches: s.StoredAgeMillis >= 0 && time.Duration(s.StoredAgeMillis)*time.Millisecond < reachedWithin}
	if err := json.Unmarshal(s.Counters, &out.Counts); err != nil {
		r.log.Warn("status: counters not readable", "daemon", s.Daemon, "err", err)
	}
	return out
}

// status describes this daemon.
func (c *control) status(now time.Time) status {
	s := c.r.current.Load()
	c.r.mu.Lock()
	counts := c.r.burn.Counts(now, c.r.self.DataCentre)
	c.r.mu.Unlock()
	counters, err := json.Marshal(counts)
	if err != nil {
		c.r.log.Error("status: counters not written", "err", err)
	}
	newest := c.members.LastStoreResponse()
	for _, cache := range c.caches {
		if cache.CurrentAt().After(newest) {
			newest = cache.CurrentAt()
		}
	}
	own := &wire.StatusReply{Daemon: c.r.self.Name, DataCentre: c.r.self.DataCentre, Leader: s.table.Leader.Daemon,
		StoredAgeMillis: age(now, newest), Config: s.config.Version, Stopping: c.leaving, Counters: counters}
	return status{own: own, others: c.members.AllPeers(now)}
}

// Ready tells whether callers should be sent here.
func (r *Router) Ready() bool { return r.ready.Load() }

// ControlBytes is what messages between daemons took so far, out and in.
func (r *Router) ControlBytes() int64 { return r.meters.controlBytes() }

// Leading tells whether this daemon grants keys, as far as it knows.
func (r *Router) Leading() bool {
	l := r.current.Load().table.Leader
	return l.Daemon == r.self.Name && l.Incarnation == r.self.Incarnation
}

// Settled tells whether every key has a holder that takes requests, as far as
// this daemon knows.
func (r *Router) Settled() bool {
	s := r.current.Load()
	for _, service := range s.keyedServices() {
		shares := 0
		for _, share := range s.table.Services {
			if share.Service != service {
				continue
			}
			shares++
			for _, g := range share.Ranges {
				if !g.IsOpen() {
					return false
				}
			}
		}
		if shares == 0 {
			return false
		}
	}
	return s.configured
}

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

// Status is the status of all known daemons.
type Status struct {
	Daemons []DaemonStatus
	// Missing holds the addresses of daemons that did not answer.
	Missing []string
}

// DaemonStatus is the status of one daemon.
type DaemonStatus struct {
	Name, DataCentre string
	// Leader is the name of the leader, the daemon that grants keys, as far as this one knows.
	Leader string
	// Config is the version of the configuration in force.
	Config uint64
	// StoreReachable reports whether the daemon got data from the store within the last
	// seconds, directly or by way of other daemons.
	StoreReachable bool
	Stopping       bool
	// CutOff reports whether the daemon's host reaches no servers, so that other daemons serve its requests.
	CutOff bool
	Counts burn.Counts
}

// ownStatus is the status of this daemon, with the addresses of the other daemons.
type ownStatus struct {
	status *wire.StatusReply
	peers  []string
}

// ClusterStatus requests the status of all known daemons, concurrently.
func (r *Router) ClusterStatus(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	own, ok := r.ownStatus(ctx)
	if !ok {
		return Status{Missing: []string{r.self.Address}}
	}
	out := Status{Daemons: []DaemonStatus{r.decodeStatus(own.status)}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range own.peers {
		wg.Go(func() {
			reply, err := r.call(ctx, address, &wire.Call{Kind: &wire.Call_Status{Status: &wire.Status{}}})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || reply.GetStatus() == nil {
				r.log.Info("status: daemon did not answer", "daemon", address, "err", err)
				out.Missing = append(out.Missing, address)
				return
			}
			out.Daemons = append(out.Daemons, r.decodeStatus(reply.GetStatus()))
		})
	}
	wg.Wait()
	slices.SortFunc(out.Daemons, func(a, b DaemonStatus) int { return strings.Compare(a.DataCentre+a.Name, b.DataCentre+b.Name) })
	slices.Sort(out.Missing)
	return out
}

// ownStatus returns the status of this daemon, or false if the context ends first or the router
// stops.
func (r *Router) ownStatus(ctx context.Context) (ownStatus, bool) {
	reply := make(chan ownStatus, 1)
	return ask(ctx, r, statusMsg{reply: reply}, reply)
}

// storeReachableWindow is how old a daemon's newest data from the store may be for the
// store to count as reachable. Daemons that do not read the store receive its data from
// other daemons.
const storeReachableWindow = 10 * time.Second

func (r *Router) decodeStatus(s *wire.StatusReply) DaemonStatus {
	out := DaemonStatus{Name: s.Daemon, DataCentre: s.DataCentre, Leader: s.Leader, Config: s.Config, Stopping: s.Stopping, CutOff: s.CutOff,
		StoreReachable: s.StoredAgeMillis >= 0 && time.Duration(s.StoredAgeMillis)*time.Millisecond < storeReachableWindow}
	if err := json.Unmarshal(s.Counters, &out.Counts); err != nil {
		r.log.Warn("status: could not decode counters", "daemon", s.Daemon, "err", err)
	}
	return out
}

// status returns the status of this daemon.
func (c *control) status(now time.Time) ownStatus {
	s := c.r.current.Load()
	c.r.mu.Lock()
	counts := c.r.burnMeter.Counts(now, c.r.self.DataCentre)
	c.r.mu.Unlock()
	counters, err := json.Marshal(counts)
	if err != nil {
		c.r.log.Error("status: could not encode counters", "err", err)
	}
	newest := c.members.LastStoreResponse()
	for _, cache := range c.caches {
		if cache.CurrentAt().After(newest) {
			newest = cache.CurrentAt()
		}
	}
	own := &wire.StatusReply{Daemon: c.r.self.Name, DataCentre: c.r.self.DataCentre, Leader: s.table.Leader.Daemon,
		StoredAgeMillis: ageMillis(now, newest), Config: s.config.Version, Stopping: c.stopping, CutOff: c.reach.CutOff(), Counters: counters}
	return ownStatus{status: own, peers: c.members.AllPeers(now)}
}

// Ready reports whether this daemon should get requests.
func (r *Router) Ready() bool { return r.ready.Load() }

// ControlBytes is the total size of the messages between daemons so far, sent and received.
func (r *Router) ControlBytes() int64 { return r.metrics.controlBytes() }

// IsLeader reports whether this daemon is the leader, as far as it knows.
func (r *Router) IsLeader() bool {
	l := r.current.Load().table.Leader
	return l.Daemon == r.self.Name && l.Incarnation == r.self.Incarnation
}

// AllRangesOpen reports whether there is a configuration and every key has a holder that
// accepts requests, as far as this daemon knows.
func (r *Router) AllRangesOpen() bool {
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
